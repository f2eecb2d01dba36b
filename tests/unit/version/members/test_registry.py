"""Merges, tombstones and digests of the registry."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from kumquatport.version import members
from kumquatport.version.members import const
from tests.builders import members as builders


def _histories():
    return strategies.lists(
        strategies.builds(
            builders.agent,
            instance=strategies.sampled_from(('a', 'b', 'c')),
            state=strategies.sampled_from(sorted(const.STATES)),
            incarnation=strategies.integers(1, 3),
            sequence=strategies.integers(1, 3),
            weight=strategies.sampled_from((0.0, 0.5, 1.0)),
        ),
        max_size=12,
    )


class RegistryTest(unittest.TestCase):
    """Merges are commutative, and departed instances don't reappear."""

    def setUp(self):
        self.now = 100.0
        self.registry = members.Registry(clock=lambda: self.now)

    def test_highest_incarnation_then_sequence_wins(self):
        first = builders.agent(incarnation=1, sequence=9)
        second = builders.agent(incarnation=2, sequence=1)
        self.assertTrue(self.registry.merge(first))
        self.assertTrue(self.registry.merge(second))
        self.assertFalse(self.registry.merge(first))
        self.assertEqual(self.registry.get(first.instance), second)

    @hypothesis.given(_histories(), strategies.integers(0, 12))
    def test_agents_are_those_present_after_each_change(
        self, history, forget_step
    ):
        registry = members.Registry(clock=lambda: self.now)
        for step, record in enumerate(history):
            registry.merge(record)
            if step == forget_step:
                registry.forget(record.instance)
            expected = [
                known
                for known in sorted(registry.all_records())
                if not members.is_departed(known)
                and known.service == record.service
            ]
            self.assertEqual(registry.agents(record.service), tuple(expected))

    def test_lapse_outranks_its_record_and_is_refuted_by_the_next(self):
        record = builders.agent(sequence=4)
        lapse = record._replace(state=const.STATE_LAPSED)
        self.registry.merge(record)
        self.assertTrue(self.registry.merge(lapse))
        self.assertFalse(self.registry.merge(record))
        self.assertEqual(self.registry.agents(record.service), ())
        self.assertTrue(self.registry.merge(record._replace(sequence=5)))
        self.assertEqual(len(self.registry.agents(record.service)), 1)

    def test_lapse_of_an_older_record_changes_nothing(self):
        record = builders.agent(sequence=4)
        self.registry.merge(record)
        stale = record._replace(state=const.STATE_LAPSED, sequence=3)
        self.assertFalse(self.registry.merge(stale))

    def test_tombstone_holds_off_older_records_and_then_expires(self):
        record = builders.agent(sequence=1)
        self.registry.merge(record)
        gone = record._replace(state=const.STATE_GONE, sequence=2)
        self.registry.merge(gone)
        self.assertFalse(self.registry.merge(record))
        self.now += const.TOMBSTONE_S
        self.assertEqual(self.registry.expire(), 1)
        self.assertIsNone(self.registry.get(record.instance))

    def test_departed_record_of_an_unknown_instance_is_not_kept(self):
        gone = builders.agent(state=const.STATE_GONE)
        self.assertFalse(self.registry.merge(gone))
        self.assertEqual(len(self.registry), 0)

    def test_records_that_are_not_valid_are_refused(self):
        for weight in (float('nan'), -0.1, 1.5):
            self.assertFalse(self.registry.merge(builders.agent(weight=weight)))
        self.assertFalse(self.registry.merge(builders.agent(state='odd')))

    def test_a_change_of_service_moves_the_agent(self):
        self.registry.merge(builders.agent(service='storefront'))
        self.registry.merge(builders.agent(service='manuals', sequence=2))
        self.assertEqual(self.registry.agents('storefront'), ())
        self.assertEqual(len(self.registry.agents('manuals')), 1)
        self.assertEqual(self.registry.service_digest('storefront'), 0)

    def test_listener_gets_both_records_until_it_unsubscribes(self):
        seen = []
        unsubscribe = self.registry.subscribe(
            lambda record, previous: seen.append((record, previous)),
        )
        first, second = builders.agent(), builders.agent(sequence=2)
        self.registry.merge(first)
        self.registry.merge(second)
        unsubscribe()
        self.registry.merge(builders.agent(sequence=3))
        self.assertEqual(seen, [(first, None), (second, first)])

    @hypothesis.given(_histories())
    def test_order_of_live_records_does_not_matter(self, history):
        base = [builders.agent(instance=name) for name in 'abc']
        forward, backward = members.Registry(), members.Registry()
        for record in itertools.chain(base, history):
            forward.merge(record)
        for record in itertools.chain(base, reversed(history)):
            backward.merge(record)
        self.assertEqual(forward.digests(), backward.digests())
        self.assertEqual(
            sorted(forward.all_records()),
            sorted(backward.all_records()),
        )

    @hypothesis.given(_histories())
    def test_digests_equal_those_of_a_new_registry(self, history):
        merged, rebuilt = members.Registry(), members.Registry()
        for record in history:
            merged.merge(record)
        for record in merged.all_records():
            rebuilt.merge(record)
        self.assertEqual(merged.digests(), rebuilt.digests())
        for service in merged.services():
            self.assertEqual(
                merged.service_digest(service),
                rebuilt.service_digest(service),
            )
