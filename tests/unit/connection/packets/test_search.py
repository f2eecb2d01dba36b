"""Consistent hashing of flows and the search for their agents."""

import random
import unittest
from unittest import mock

from kumquatport.connection.packets import hash_ring, placement, search

NAMES = [f'side-{number:02}' for number in range(50)]


class HashRingTest(unittest.TestCase):
    """The order of agents for a flow is stable when agents change."""

    def setUp(self):
        rng = random.Random(3)
        self.flows = [rng.randbytes(12) for _ in range(2000)]

    def test_each_agent_is_yielded_once(self):
        for flow in self.flows[:50]:
            self.assertEqual(
                sorted(hash_ring.HashRing(NAMES).walk(flow)), NAMES
            )

    def test_no_agents(self):
        self.assertEqual(list(hash_ring.HashRing(()).walk(b'flow')), [])

    def test_holder_is_likely_after_a_rolling_release(self):
        """A third of the agents is replaced; no balancer knows the holders."""
        before, after = (
            hash_ring.HashRing(NAMES),
            hash_ring.HashRing(
                [*NAMES[16:], *(f'side-{number}' for number in range(60, 76))]
            ),
        )
        rng = random.Random(4)
        found = stayed = 0
        for flow in self.flows:
            walk = list(before.walk(flow))[: placement.SAMPLE_SIZE]
            holder = rng.choice(walk)
            if holder in NAMES[16:]:
                stayed += 1
                found += (
                    holder in list(after.walk(flow))[: search.LIKELY_AGENTS]
                )
        self.assertGreater(found / stayed, 0.95)

    def test_ring_is_reused_until_its_agents_change(self):
        rings = hash_ring.HashRings()
        first = rings.of_service('store', 1, lambda: NAMES)
        self.assertIs(rings.of_service('store', 1, lambda: ()), first)
        self.assertEqual(sorted(first.walk(b'flow')), NAMES)
        self.assertEqual(
            list(rings.of_service('store', 2, lambda: ()).walk(b'flow')), []
        )

    def test_updated_ring_equals_a_new_ring(self):
        rng = random.Random(5)
        updated = hash_ring.HashRing()
        for _ in range(60):
            names = rng.sample(NAMES, rng.randint(0, len(NAMES)))
            updated.update(names)
            built = hash_ring.HashRing(names)
            for flow in self.flows[:20]:
                self.assertEqual(
                    list(updated.walk(flow)), list(built.walk(flow))
                )

    def test_rolling_release_hashes_only_new_agents(self):
        """Agents change state and are replaced one after the other."""
        rings = hash_ring.HashRings()
        names = list(NAMES)
        rings.of_service('store', 0, lambda: names)
        with mock.patch.object(
            hash_ring.xxhash,
            'xxh64_intdigest',
            wraps=hash_ring.xxhash.xxh64_intdigest,
        ) as hashed:
            for step in range(30):
                rings.of_service('store', 2 * step + 1, lambda: names)
                names[step] = f'new-{step}'
                rings.of_service('store', 2 * step + 2, lambda: names)
        self.assertEqual(hashed.call_count, 30 * hash_ring.VIRTUAL_NODES)


class SearchTest(unittest.TestCase):
    """Likely agents are asked first, the others when these lack the flow."""

    def setUp(self):
        self.search = search.FlowSearch()
        self.holders = set(NAMES)

    def next_agents(self, now):
        return self.search.next_agents(self.holders, iter(NAMES), now)

    def should_ask_all(self):
        return self.search.should_ask_all(self.holders, iter(NAMES))

    def test_likely_agents_are_asked_first(self):
        self.assertEqual(self.next_agents(1.0), NAMES[: search.LIKELY_AGENTS])
        self.assertFalse(self.should_ask_all())
        self.search.not_holding.update(NAMES[: search.LIKELY_AGENTS])
        self.assertTrue(self.should_ask_all())
        self.assertEqual(self.next_agents(1.01), NAMES[search.LIKELY_AGENTS :])
        self.assertFalse(self.should_ask_all())

    def test_vacant_agent_is_not_waited_for(self):
        """Waiting for its answer delayed eight of ten lost flows.

        It is likely by the order of the ring but holds no flows, so it is never
        asked, and its missing answer must not delay asking all others.
        """
        vacant = NAMES[3]
        self.holders.discard(vacant)
        asked = self.next_agents(1.0)
        self.assertNotIn(vacant, asked)
        self.search.not_holding.update(asked)
        self.assertTrue(self.should_ask_all())

    def test_silent_likely_agents_are_waited_for_briefly(self):
        self.next_agents(1.0)
        self.assertEqual(
            self.next_agents(1.0 + 2 * search.ANSWER_TIMEOUT_S), NAMES
        )

    def test_no_agents_left(self):
        self.search.not_holding.update(NAMES)
        self.assertEqual(self.next_agents(1.0), [])

    def test_registrars_are_asked_in_turn(self):
        names = ('front-1', 'front-2')
        self.assertEqual(self.search.next_registrar(names, 1.0), 'front-1')
        self.assertEqual(self.search.next_registrar(names, 1.05), 'front-1')
        later = 1.0 + 2 * search.ANSWER_TIMEOUT_S
        self.assertEqual(self.search.next_registrar(names, later), 'front-2')
        self.search.unknown_to.add('front-2')
        self.assertEqual(self.search.next_registrar(names, later), '')
