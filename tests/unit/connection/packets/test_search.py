"""The order of the search for a flow, and how placement follows it."""

import random
import unittest
from unittest import mock

from kumquatport.connection.packets import hash_ring, placement, search

NAMES = [f'side-{number:02}' for number in range(50)]


class RingTest(unittest.TestCase):
    """Each flow has an order of the agents that few changes disturb."""

    def setUp(self):
        rng = random.Random(3)
        self.flows = [rng.randbytes(12) for _ in range(2000)]

    def test_each_agent_comes_once(self):
        for flow in self.flows[:50]:
            self.assertEqual(
                sorted(hash_ring.HashRing(NAMES).walk(flow)), NAMES
            )

    def test_no_agents(self):
        self.assertEqual(list(hash_ring.HashRing(()).walk(b'flow')), [])

    def test_the_holder_is_likely_after_a_release(self):
        """Flows are placed, a third of the agents is replaced, all forget."""
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

    def test_a_ring_is_kept_until_its_agents_change(self):
        rings = hash_ring.HashRings()
        first = rings.of_service('store', 1, lambda: NAMES)
        self.assertIs(rings.of_service('store', 1, lambda: ()), first)
        self.assertEqual(sorted(first.walk(b'flow')), NAMES)
        self.assertEqual(
            list(rings.of_service('store', 2, lambda: ()).walk(b'flow')), []
        )

    def test_a_ring_that_follows_is_the_one_built_at_once(self):
        rng = random.Random(5)
        followed = hash_ring.HashRing()
        for _ in range(60):
            names = rng.sample(NAMES, rng.randint(0, len(NAMES)))
            followed.update(names)
            built = hash_ring.HashRing(names)
            for flow in self.flows[:20]:
                self.assertEqual(
                    list(followed.walk(flow)), list(built.walk(flow))
                )

    def test_a_release_places_only_the_agents_that_are_new(self):
        """One after the other changes its state, goes and comes anew."""
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
    """Likely agents are asked first, all others when these say no."""

    def setUp(self):
        self.search = search.FlowSearch()
        self.holders = set(NAMES)

    def agents(self, now):
        return self.search.next_agents(self.holders, iter(NAMES), now)

    def begins_wide(self):
        return self.search.should_ask_all(self.holders, iter(NAMES))

    def test_likely_ones_first(self):
        self.assertEqual(self.agents(1.0), NAMES[: search.LIKELY_AGENTS])
        self.assertFalse(self.begins_wide())
        self.search.not_holding.update(NAMES[: search.LIKELY_AGENTS])
        self.assertTrue(self.begins_wide())
        self.assertEqual(self.agents(1.01), NAMES[search.LIKELY_AGENTS :])
        self.assertFalse(self.begins_wide())

    def test_one_that_holds_nothing_is_not_waited_for(self):
        """Eight of ten lost flows waited for copies (grown trouble-1)."""
        vacant = NAMES[3]
        self.holders.discard(vacant)
        asked = self.agents(1.0)
        self.assertNotIn(vacant, asked)
        self.search.not_holding.update(asked)
        self.assertTrue(self.begins_wide())

    def test_silent_likely_ones_are_waited_for_shortly(self):
        self.agents(1.0)
        self.assertEqual(self.agents(1.0 + 2 * search.ANSWER_TIMEOUT_S), NAMES)

    def test_nobody_left(self):
        self.search.not_holding.update(NAMES)
        self.assertEqual(self.agents(1.0), [])

    def test_registrars_in_turn(self):
        names = ('front-1', 'front-2')
        self.assertEqual(self.search.next_registrar(names, 1.0), 'front-1')
        self.assertEqual(self.search.next_registrar(names, 1.05), 'front-1')
        later = 1.0 + 2 * search.ANSWER_TIMEOUT_S
        self.assertEqual(self.search.next_registrar(names, later), 'front-2')
        self.search.unknown_to.add('front-2')
        self.assertEqual(self.search.next_registrar(names, later), '')
