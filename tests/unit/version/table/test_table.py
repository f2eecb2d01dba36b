"""Shares, moved flows, determinism and cache invalidation of tables."""

import random
import subprocess
import sys
import unittest

from kumquatport.version import members, table
from tests.builders import members as builders

_PRINT_OWNERS = """
from kumquatport.version import table
from tests.builders import members as builders
built = table.build('s', [builders.candidate(n) for n in range(5)])
print([built.rank(n * 7919, 1)[0].instance for n in range(50)])
"""


def _document(**changes):
    domains = [{'name': 'accra-a', 'out': False}]
    return {'failure_domains': domains, 'rules': []} | changes


class TableTest(unittest.TestCase):
    """Ranking of candidates by rendezvous hashing."""

    def setUp(self):
        source = random.Random(4)
        self.flows = [source.getrandbits(64) for _ in range(20000)]
        self.all = [builders.candidate(number) for number in range(7)]

    def test_order_of_candidates_does_not_matter(self):
        one = table.build('s', self.all)
        other = table.build('s', reversed(self.all))
        for flow in self.flows[:200]:
            self.assertEqual(one.rank(flow, 3), other.rank(flow, 3))

    def test_same_owners_in_another_process(self):
        printed = {
            subprocess.run(
                (sys.executable, '-c', _PRINT_OWNERS),
                env={'PYTHONHASHSEED': seed, 'PYTHONPATH': '.'},
                capture_output=True,
                check=True,
            ).stdout
            for seed in ('1', '2')
        }
        self.assertEqual(len(printed), 1)

    def test_removed_candidate_moves_only_its_own_flows(self):
        before = table.build('s', self.all)
        after = table.build('s', self.all[1:])
        for flow in self.flows[:2000]:
            owner, following = before.rank(flow, 2)
            expected = following if owner == self.all[0] else owner
            self.assertEqual(after.rank(flow, 1), (expected,))

    def test_shares_follow_weights(self):
        self.all[0] = builders.candidate(0, weight=0.25)
        built = table.build('s', self.all)
        owned = sum(
            built.rank(flow, 1)[0].instance == 'agent-0' for flow in self.flows
        )
        expected = len(self.flows) * 0.25 / 6.25
        self.assertAlmostEqual(owned / expected, 1, delta=0.15)

    def test_weight_zero_is_never_ranked(self):
        self.all[0] = builders.candidate(0, weight=0.0)
        built = table.build('s', self.all)
        self.assertEqual(len(built.rank(1, 10)), 6)

    def test_no_candidates_no_owner(self):
        self.assertEqual(table.build('s', []).rank(1, 3), ())

    def test_rank_of_one_equals_first_of_many(self):
        built = table.build('s', self.all)
        for flow in self.flows[:200]:
            self.assertEqual(built.rank(flow, 1), built.rank(flow, 7)[:1])


class TableCacheTest(unittest.TestCase):
    """Changes that invalidate a cached table."""

    def setUp(self):
        self.registry = members.Registry()
        self.cache = table.TableCache(self.registry)

    def test_follows_instance_states(self):
        self.registry.merge(builders.agent(state='starting'))
        self.assertEqual(len(self.cache.table('storefront')), 0)
        self.registry.merge(builders.agent(sequence=2))
        self.assertEqual(len(self.cache.table('storefront')), 1)
        self.registry.merge(builders.agent(sequence=3, state='leaving'))
        self.assertEqual(len(self.cache.table('storefront')), 0)

    def test_agent_that_changes_service_leaves_the_old_table(self):
        self.registry.merge(builders.agent())
        self.assertEqual(len(self.cache.table('storefront')), 1)
        self.registry.merge(builders.agent(service='manuals', sequence=2))
        self.assertEqual(len(self.cache.table('storefront')), 0)
        self.assertEqual(len(self.cache.table('manuals')), 1)

    def test_failure_domain_out_and_back(self):
        self.registry.merge(builders.agent())
        out = [{'name': 'accra-a', 'out': True}]
        self.cache.apply(_document(failure_domains=out))
        self.assertEqual(len(self.cache.table('storefront')), 0)
        self.cache.apply(_document())
        self.assertEqual(len(self.cache.table('storefront')), 1)

    def test_rule_scales_the_weight(self):
        self.registry.merge(builders.agent(weight=0.5))
        rule = {
            'service': 'storefront',
            'failure_domain': 'accra-a',
            'weight': 0.5,
        }
        self.cache.apply(_document(rules=[rule]))
        (only,) = self.cache.table('storefront').candidates
        self.assertEqual(only.weight, 0.25)
