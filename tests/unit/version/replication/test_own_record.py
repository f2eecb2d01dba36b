"""The record that only its own process may write."""

import math
import unittest

import msgspec

from kumquatport.version import members
from kumquatport.version.replication import own_record
from tests.builders import members as builders


class OwnRecordTest(unittest.TestCase):
    """Updates, refutations and supersession."""

    def setUp(self):
        self.registry = members.Registry()
        self.own = own_record.OwnRecord(builders.agent(), self.registry)

    def test_weight_keeps_its_fingerprint_when_decoded(self):
        for given, kept in ((1, 1.0), (0, 0.0), (7, 1.0), (math.nan, 0.0)):
            self.own.update(None, 0.5)
            self.own.update(None, given)
            encoded = msgspec.msgpack.encode(self.own.current)
            decoded = msgspec.msgpack.decode(
                encoded, type=members.InstanceRecord
            )
            self.assertEqual(decoded.weight, kept)
            self.assertEqual(
                members.fingerprint(decoded),
                members.fingerprint(self.registry.get('agent-1')),
            )

    def test_unchanged_record_is_not_published(self):
        self.own.update('ready', 1.0)
        self.assertEqual(self.own.current.sequence, 1)

    def test_lapse_is_refuted(self):
        self.registry.merge(self.own.current._replace(state='lapsed'))
        self.assertEqual(self.registry.get('agent-1').state, 'ready')
        self.assertEqual(self.own.current.sequence, 2)

    def test_earlier_process_with_clock_ahead_is_outranked(self):
        self.registry.merge(builders.agent(incarnation=9, sequence=5))
        self.assertEqual(self.own.current.incarnation, 10)
        self.assertFalse(self.own.superseded)

    def test_newer_process_supersedes(self):
        self.own.confirmed = True
        newer = builders.agent(incarnation=9)
        self.registry.merge(newer)
        self.assertTrue(self.own.superseded)
        self.assertEqual(self.registry.get('agent-1'), newer)

    def test_other_process_with_same_incarnation_is_outranked(self):
        other = builders.agent(address='127.40.9.9', sequence=3)
        self.registry.merge(other)
        self.assertEqual(self.own.current.incarnation, 2)
