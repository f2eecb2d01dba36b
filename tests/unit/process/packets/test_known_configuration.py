"""Beliefs never go back; who watches the store; short heartbeats."""

import asyncio
import unittest
from unittest import mock

import hypothesis
import msgspec
from hypothesis import strategies

from kumquatport import exceptions, objects
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    const,
    discovery,
    known_configuration,
    mesh,
    messages,
    peers,
    store_watch,
)
from kumquatport.version import members, routes
from tests.builders import memberships
from tests.builders import packets as builders


class BeliefsTest(unittest.TestCase):
    """Routes and failure domains taken out."""

    def setUp(self):
        self.held = known_configuration.KnownConfiguration('front-9')

    def test_routes_never_go_back(self):
        for version in (3, 7, 5, 7, 1):
            self.held.update_routes(
                routes.encode(builders.table(version)), 'test'
            )
        self.assertEqual(self.held.routes_version, 7)

    def test_malformed_routes_change_nothing(self):
        self.held.update_routes(routes.encode(builders.table(3)), 'test')
        with self.assertRaises(exceptions.DocumentRejectedError):
            self.held.update_routes(b'\x93', 'test')
        self.assertEqual(self.held.routes_version, 3)

    def test_domains_follow_the_revision(self):
        self.assertTrue(self.held.update_domains(5, ('a',), 'test'))
        self.assertFalse(self.held.update_domains(4, (), 'test'))
        self.assertEqual(self.held.domains_out, {'a'})
        self.assertTrue(self.held.update_domains(6, (), 'test'))

    def test_the_same_set_at_a_later_revision_is_no_change(self):
        self.held.update_domains(5, ('a',), 'test')
        self.assertFalse(self.held.update_domains(9, ('a',), 'test'))
        self.assertEqual(self.held.domains_revision, 9)

    def test_only_who_holds_the_same_confirms(self):
        self.held.update_routes(routes.encode(builders.table(3)), 'test')
        self.assertFalse(self.held.compare(2, 0, 0.1))
        self.assertGreater(self.held.age_s, 1000)
        self.assertFalse(self.held.compare(3, 0, 0.1))
        self.assertLess(self.held.age_s, 1)
        self.assertTrue(self.held.compare(4, 0, 0.1))
        self.assertTrue(self.held.compare(3, 2, 0.1))


class WatchTest(unittest.TestCase):
    """Two watch; others join when nobody has an answer."""

    def test_ranks(self):
        self.assertTrue(store_watch.should_watch(0, 0.0))
        self.assertTrue(store_watch.should_watch(const.MIN_WATCHERS - 1, 0.0))
        self.assertFalse(store_watch.should_watch(const.MIN_WATCHERS, 1.0))
        self.assertTrue(store_watch.should_watch(const.MIN_WATCHERS, 5.0))
        self.assertFalse(store_watch.should_watch(40, 5.0))
        self.assertTrue(store_watch.should_watch(40, 60.0))


class MessagesTest(unittest.TestCase):
    """Between instances."""

    def test_short_heartbeats(self):
        for load in (None, builders.load(busy=70000, is_cold=True)):
            beat = messages.ShortHeartbeat(1, 2, 3, 4, 5, 0.5, 0.25, load)
            found = messages.decode_short_heartbeat(
                messages.encode_short_heartbeat(beat)
            )
            if load is not None:
                beat = beat._replace(load=load._replace(busy=0xFFFF))
            self.assertEqual(found, beat)
        self.assertLessEqual(
            len(messages.encode_short_heartbeat(beat)) + 28,
            const.HEARTBEAT_BYTES + 8,
        )

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes(self, datagram):
        for read in (messages.decode, messages.decode_short_heartbeat):
            try:
                read(datagram)
            except exceptions.FramePayloadError:
                continue

    def test_heartbeats_become_rarer_with_the_number_of_peers(self):
        self.assertEqual(peers.round_s(10), const.HEARTBEAT_S)
        for count in (1000, 12000):
            per_s = count / const.REMOTE_INTERVAL_ROUNDS / peers.round_s(count)
            self.assertLessEqual(per_s * const.HEARTBEAT_BYTES, 25_000)


class Loop:
    """Two meshes that hear each other at once."""

    def __init__(self):
        self.meshes = {}
        self.queue = []

    def add(self, name, address, kind):
        settings = builders.settings(
            instance=name,
            address=address,
            service='store' if kind == members.KIND_AGENT else '',
        )
        made = mesh.Mesh(
            settings, kind, known_configuration.KnownConfiguration(name)
        )
        self.meshes[address] = made
        made.connect(
            peers.Transport(
                lambda datagram, target: self._send(datagram, address, target),
                lambda call: self.queue.append(call),
                lambda *_: None,
            )
        )
        return made

    def run(self):
        while self.queue:
            self.queue.pop(0)()

    def _send(self, datagram, source, target):
        made = self.meshes.get(target[0])
        if made is not None:
            self.queue.append(
                lambda: made.on_datagram(datagram, (source, 7000))
            )
        return True


class MeshTest(unittest.TestCase):
    """Finding each other, and addresses that are used again."""

    def setUp(self):
        self.loop = Loop()

    def test_a_greeting_makes_both_known(self):
        one = self.loop.add('front-1', '10.0.0.1', members.KIND_BALANCER)
        two = self.loop.add('side-1', '10.0.0.2', members.KIND_AGENT)
        one.greet(('10.0.0.2',))
        self.loop.run()
        self.assertFalse(one.is_suspect('side-1'))
        self.assertFalse(two.is_suspect('front-1'))
        self.assertEqual(two.live_balancers(), ['front-1'])

    def test_members_spread_by_comparison(self):
        front = self.loop.add('front-1', '10.0.0.1', members.KIND_BALANCER)
        other = self.loop.add('front-2', '10.0.0.3', members.KIND_BALANCER)
        self.loop.add('side-1', '10.0.0.2', members.KIND_AGENT)
        front.greet(('10.0.0.2', '10.0.0.3'))
        self.loop.run()
        front.send_heartbeats(0)
        other.send_heartbeats(0)
        self.loop.run()
        self.assertFalse(other.is_suspect('side-1'))

    def test_an_address_used_again_ends_the_earlier_instance(self):
        front = self.loop.add('front-1', '10.0.0.1', members.KIND_BALANCER)
        front.learn_record(builders.record('side-1', incarnation=5))
        front.learn_record(
            builders.record('side-2', incarnation=9, service='other')
        )
        self.assertIsNone(front.registry.get('side-1'))
        self.assertEqual(front.instance_at('10.0.0.9'), 'side-2')
        front.learn_record(builders.record('side-1', incarnation=5))
        self.assertEqual(front.instance_at('10.0.0.9'), 'side-2')


class DiscoveryTest(unittest.IsolatedAsyncioTestCase):
    """Finding others through the store."""

    def setUp(self):
        self.store = memberships.MemoryPlatform()
        self.loop = Loop()

    async def find(self, name, address, *, is_first=False):
        made = self.loop.add(name, address, members.KIND_BALANCER)
        found = discovery.Discovery(self.store, made, is_first_start=is_first)
        await found.async_join()
        return made, found

    async def test_any_two_find_each_other(self):
        one, _ = await self.find('front-1', '10.0.0.1', is_first=True)
        two, _ = await self.find('front-2', '10.0.0.2', is_first=True)
        self.loop.run()
        self.assertEqual(one.live_balancers(), ['front-1', 'front-2'])
        self.assertEqual(two.live_balancers(), ['front-1', 'front-2'])

    async def test_a_restart_costs_one_call(self):
        await self.find('front-1', '10.0.0.1', is_first=True)
        before = self.store.calls
        await self.find('front-1', '10.0.0.1')
        self.assertEqual(self.store.calls, before + 1)

    async def test_a_foreign_object_is_left_out(self):
        key = f'{const.KIND_INSTANCES}/x'
        self.store.objects[key] = objects.StoredObject(key, 1, b'{}')
        made, _ = await self.find('front-1', '10.0.0.1', is_first=True)
        self.assertEqual(len(made.registry), 1)

    async def test_only_the_record_of_the_same_place_is_removed(self):
        made, found = await self.find('front-1', '10.0.0.1', is_first=True)
        record = made.own_record.current
        made.registry.forget('front-1')
        with mock.patch.object(const, 'REMOVE_RECORD_DELAY_S', 0):
            await found.async_remove_expired(
                record._replace(address='10.9.9.9')
            )
        key = f'{const.KIND_INSTANCES}/a-front-1'
        self.assertIn(key, self.store.objects)
        held = msgspec.msgpack.decode(
            self.store.objects[key].value, type=members.InstanceRecord
        )
        self.assertEqual(held.address, '10.0.0.1')
        await found.async_withdraw()
        self.assertNotIn(key, self.store.objects)

    async def test_a_dead_instance_is_removed_unless_somebody_hears_it(self):
        made, found = await self.find('front-1', '10.0.0.1', is_first=True)
        dead = builders.record('side-9', address='10.0.0.9')
        key = f'{const.KIND_INSTANCES}/b-side-9'
        self.store.objects[key] = objects.StoredObject(
            key, 1, msgspec.msgpack.encode(dead)
        )
        forgotten = []
        made.on_peer_expired = forgotten.append
        made.learn_record(dead)
        beat = messages.Heartbeat(
            dead,
            builders.load(),
            made._configuration.snapshot(with_changes=False),
            wants_reply=False,
        )
        made.on_datagram(messages.encode(beat), ('10.0.0.9', 7000))
        later = clock.now() + const.PEER_EXPIRY_S + 1
        with mock.patch('kumquatport.helpers.clock.now', lambda: later):
            made.send_heartbeats(0)
        self.assertEqual(forgotten, [dead])
        with mock.patch.object(const, 'REMOVE_RECORD_DELAY_S', 0):
            made.registry.merge(dead)
            await found.async_remove_expired(dead)
            self.assertIn(key, self.store.objects)
            made.registry.forget('side-9')
            await found.async_remove_expired(dead)
        self.assertNotIn(key, self.store.objects)

    async def test_an_outage_is_waited_out(self):
        made = self.loop.add('front-1', '10.0.0.1', members.KIND_BALANCER)
        found = discovery.Discovery(self.store, made, is_first_start=True)
        self.store.down = True
        with self.assertRaises(exceptions.PlatformUnavailableError):
            await found.async_join()
        self.store.down = False
        await found.async_join()
        await asyncio.sleep(0)
        self.assertIn(f'{const.KIND_INSTANCES}/a-front-1', self.store.objects)
