"""Tests of single unusable records and datagrams among usable ones."""

import asyncio
import socket
import struct
import unittest

import msgspec

from kumquatport import exceptions, objects
from kumquatport.connection.packets import frame
from kumquatport.process.packets import (
    const,
    datagrams,
    discovery,
    known_configuration,
    mesh,
    messages,
)
from kumquatport.version import members
from tests.builders import memberships, odd_entries
from tests.builders import packets as builders

ODD_FIELDS = (
    {'address': 'nowhere'},
    {'address': ''},
    {'address': 'a\0b'},
    {'control_port': 70_000},
    {'control_port': -1},
    {'data_port': 65_536},
    {'incarnation': 2**64 - 1},
    {'incarnation': -1},
    {'sequence': 2**32 - 1},
    {'weight': float('nan')},
    {'state': 'unknown'},
    {'kind': 'unknown'},
)
ODD_STATES = (
    {'age_s': float('nan')},
    {'age_s': -1.0},
    {'routes_version': 2**63},
    {'routes_version': -1},
    {'domains_revision': 2**63},
)
STATE = messages.ConfigurationState(1, 1, (), 0.0, 'front-1')


class RecordsTest(unittest.IsolatedAsyncioTestCase):
    """An odd record in the store does not hide the others."""

    async def test_odd_record_does_not_end_the_discovery(self):
        encoded = [
            msgspec.msgpack.encode(
                builders.record('side-1', incarnation=7)._replace(**fields)
            )
            for fields in ODD_FIELDS
        ]
        encoded += [odd_entries.DEEP_JSON, b'\x91' * odd_entries.DEPTH, b'']
        for index, value in enumerate(encoded):
            with self.subTest(index=index):
                await self.assert_other_is_learned(value)

    async def assert_other_is_learned(self, value):
        store = memberships.MemoryPlatform()
        other = builders.record('side-2', address='10.0.0.8')
        for name, content in (
            ('b-side-1', value),
            ('b-side-2', msgspec.msgpack.encode(other)),
        ):
            key = f'{const.KIND_INSTANCES}/{name}'
            store.objects[key] = objects.StoredObject(key, 1, content)
        settings = builders.settings(instance='front-1', address='10.0.0.1')
        peer_mesh = mesh.Mesh(
            settings,
            members.KIND_BALANCER,
            known_configuration.KnownConfiguration('front-1'),
        )
        found = discovery.Discovery(store, peer_mesh, is_first_start=True)
        await found.async_join()
        self.assertIsNotNone(peer_mesh.registry.get('side-2'))
        self.assertIsNone(peer_mesh.registry.get('side-1'))


class MessagesTest(unittest.TestCase):
    """Messages with values that cannot be used are rejected."""

    def assert_rejected(self, message):
        with self.assertRaises(exceptions.FramePayloadError):
            messages.decode(messages.encode(message))

    def test_odd_record_is_rejected(self):
        for fields in ODD_FIELDS:
            with self.subTest(**fields):
                record = builders.record('side-1')._replace(**fields)
                self.assert_rejected(
                    messages.Heartbeat(record, None, STATE, wants_reply=False)
                )
                self.assert_rejected(messages.Records((record,)))

    def test_odd_configuration_is_rejected(self):
        record = builders.record('side-1')
        for fields in ODD_STATES:
            with self.subTest(**fields):
                state = STATE._replace(**fields)
                self.assert_rejected(
                    messages.Heartbeat(record, None, state, wants_reply=False)
                )
                self.assert_rejected(
                    messages.Confirmation(1, state, receiver_was_draining=False)
                )

    def test_odd_age_of_a_short_heartbeat_is_rejected(self):
        for age_s in (float('nan'), -1.0, float('inf')):
            datagram = bytes((frame.KIND_HEARTBEAT,)) + struct.pack(
                '!QIQQQfHBHHHf', 1, 1, 1, 1, 1, age_s, 300, 0, 0, 0, 0, 0
            )
            with self.assertRaises(exceptions.FramePayloadError):
                messages.decode_short_heartbeat(datagram)


class SendTest(unittest.IsolatedAsyncioTestCase):
    """A datagram to an impossible endpoint is not sent and raises nothing."""

    async def test_impossible_endpoint_raises_nothing(self):
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(bound.close)
        for endpoint in (
            ('127.0.0.1', 70_000),
            ('127.0.0.1', -1),
            ('127.0.0.1', 2**70),
            ('a\0b', 80),
        ):
            with self.subTest(endpoint=endpoint):
                self.assertFalse(datagrams.send(bound, b'x', endpoint))
        await asyncio.sleep(0)


if __name__ == '__main__':
    unittest.main()
