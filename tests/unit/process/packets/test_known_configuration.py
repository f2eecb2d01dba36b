"""Tests of the known configuration, messages, the mesh and discovery."""

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
)
from kumquatport.version import members, routes
from tests.builders import former_builds, memberships
from tests.builders import packets as builders


class KnownConfigurationTest(unittest.TestCase):
    """Routes and failure domains taken out never return to older versions."""

    def setUp(self):
        self.configuration = known_configuration.KnownConfiguration('front-9')

    def test_older_routes_are_ignored(self):
        for version in (3, 7, 5, 7, 1):
            self.configuration.update_routes(
                routes.encode(builders.table(version)), 'test'
            )
        self.assertEqual(self.configuration.routes_version, 7)

    def test_malformed_routes_change_nothing(self):
        self.configuration.update_routes(
            routes.encode(builders.table(3)), 'test'
        )
        with self.assertRaises(exceptions.DocumentRejectedError):
            self.configuration.update_routes(b'\x93', 'test')
        self.assertEqual(self.configuration.routes_version, 3)

    def test_domains_follow_the_revision(self):
        self.assertTrue(self.configuration.update_domains(5, ('a',), 'test'))
        self.assertFalse(self.configuration.update_domains(4, (), 'test'))
        self.assertEqual(self.configuration.domains_out, {'a'})
        self.assertTrue(self.configuration.update_domains(6, (), 'test'))

    def test_the_same_set_at_a_later_revision_is_no_change(self):
        self.configuration.update_domains(5, ('a',), 'test')
        self.assertFalse(self.configuration.update_domains(9, ('a',), 'test'))
        self.assertEqual(self.configuration.domains_revision, 9)

    def test_domains_of_a_restored_store_replace_those_of_higher_revisions(
        self,
    ):
        """EVAC: a store that is restored from a copy counts back."""
        self.configuration.update_domains(500, ('a',), 'test', era=1)
        self.assertTrue(
            self.configuration.update_domains(90, ('b',), 'test', era=2)
        )
        self.assertEqual(self.configuration.domains_out, {'b'})
        for era, revision in ((1, 501), (0, 900), (2, 90), (2, 89)):
            self.assertFalse(
                self.configuration.update_domains(revision, (), 'test', era=era)
            )
        self.assertTrue(
            self.configuration.update_domains(91, (), 'test', era=2)
        )

    def test_peer_that_missed_a_restoration_confirms_nothing(self):
        self.configuration.update_domains(500, (), 'test', era=1)
        self.assertFalse(self.configuration.compare(0, 500, 0.1, era=1))
        self.assertLess(self.configuration.age_s, 1)
        self.configuration = known_configuration.KnownConfiguration('front-9')
        self.configuration.update_domains(500, (), 'test', era=1)
        self.configuration.note_era(2)
        for era in (0, 1):
            self.assertFalse(self.configuration.compare(0, 500, 0.1, era=era))
        self.assertGreater(self.configuration.age_s, 1000)
        self.assertTrue(self.configuration.compare(0, 90, 0.1, era=2))

    def test_era_reaches_peers_in_the_state(self):
        self.configuration.update_domains(90, ('b', 'a'), 'test', era=2)
        peer = known_configuration.KnownConfiguration('front-8')
        peer.update_domains(500, ('c',), 'test', era=1)
        self.assertTrue(peer.compare(0, 90, 0.1, era=2))
        state = self.configuration.snapshot(with_changes=False)
        peer.merge(state, 'front-9')
        self.assertEqual(peer.domains_out, {'a', 'b'})
        self.assertEqual((peer.store_era, peer.domains_revision), (2, 90))
        self.assertFalse(self.configuration.compare(0, 500, 0.1, era=1))

    def test_only_a_peer_with_equal_versions_confirms(self):
        self.configuration.update_routes(
            routes.encode(builders.table(3)), 'test'
        )
        self.assertFalse(self.configuration.compare(2, 0, 0.1))
        self.assertGreater(self.configuration.age_s, 1000)
        self.assertFalse(self.configuration.compare(3, 0, 0.1))
        self.assertLess(self.configuration.age_s, 1)
        self.assertTrue(self.configuration.compare(4, 0, 0.1))
        self.assertTrue(self.configuration.compare(3, 2, 0.1))


class MessagesTest(unittest.TestCase):
    """Encoding and rate of messages between instances."""

    def test_short_heartbeats(self):
        for load in (None, builders.load(busy=70000, is_cold=True)):
            heartbeat = messages.ShortHeartbeat(1, 2, 3, 4, 5, 0.5, 0.25, load)
            decoded = messages.decode_short_heartbeat(
                messages.encode_short_heartbeat(heartbeat)
            )
            if load is not None:
                heartbeat = heartbeat._replace(load=load._replace(busy=0xFFFF))
            self.assertEqual(decoded, heartbeat)
        for is_informed in (False, True):
            sent = heartbeat._replace(is_informed=is_informed)
            decoded = messages.decode_short_heartbeat(
                messages.encode_short_heartbeat(sent)
            )
            self.assertEqual(decoded, sent)
        self.assertLessEqual(
            len(messages.encode_short_heartbeat(heartbeat)) + 28,
            const.HEARTBEAT_BYTES + 8,
        )

    def test_era_follows_a_short_heartbeat_of_the_former_size(self):
        """Builds without eras read the heartbeat as before."""
        plain = messages.ShortHeartbeat(1, 2, 3, 4, 5, 0.5, 0.25, None)
        encoded = messages.encode_short_heartbeat(plain._replace(store_era=7))
        self.assertTrue(
            encoded.startswith(messages.encode_short_heartbeat(plain))
        )
        fields = former_builds.SHORT_HEARTBEAT.unpack_from(encoded, 1)
        self.assertEqual(fields[:5], plain[:5])
        self.assertEqual(messages.decode_short_heartbeat(encoded).store_era, 7)
        with self.assertRaises(exceptions.FramePayloadError):
            messages.decode_short_heartbeat(encoded[:-8] + b'\xff' * 8)

    def test_builds_without_eras_read_the_state_and_state_none(self):
        state = messages.ConfigurationState(
            3, 90, messages.encode_domains(('b', 'a'), 7), 0.5, 'front-1'
        )
        record = builders.record('front-1', kind=members.KIND_BALANCER)
        for sent, former_type in (
            (
                messages.Heartbeat(record, None, state, wants_reply=True),
                former_builds.Heartbeat,
            ),
            (
                messages.Confirmation(5, state, receiver_was_draining=False),
                former_builds.Confirmation,
            ),
        ):
            encoded = messages.encode(sent)
            former = msgspec.msgpack.decode(encoded[2:], type=former_type)
            self.assertEqual(former.configuration.domains_revision, 90)
            self.assertEqual(former.configuration.domains_out[:2], ('a', 'b'))
            known = messages.decode(encoded).configuration
            self.assertEqual(known.failure_domains, ('a', 'b'))
            self.assertEqual(known.store_era, 7)
            former_state = former_builds.ConfigurationState(
                3, 90, ('a', 'b'), 0.5, 'front-1'
            )
            answered = messages.decode(
                encoded[:2]
                + msgspec.msgpack.encode(
                    former._replace(configuration=former_state)
                )
            ).configuration
            self.assertEqual(answered.failure_domains, ('a', 'b'))
            self.assertEqual(answered.store_era, 0)

    def test_failure_domain_named_like_an_era_is_not_sent(self):
        """Any name may be written to the store by another writer."""
        (forged,) = messages.encode_domains((), 9)
        self.assertEqual(messages.encode_domains((forged, 'a'), 0), ('a',))
        state = messages.ConfigurationState(3, 90, ('\0era=x',), 0.5, 'front-1')
        confirmation = messages.Confirmation(
            5, state, receiver_was_draining=False
        )
        with self.assertRaises(exceptions.FramePayloadError):
            messages.decode(messages.encode(confirmation))

    @hypothesis.given(strategies.binary(max_size=80))
    def test_decoders_reject_any_malformed_bytes(self, datagram):
        for decode in (messages.decode, messages.decode_short_heartbeat):
            try:
                decode(datagram)
            except exceptions.FramePayloadError:
                continue

    def test_heartbeat_rate_falls_with_the_number_of_peers(self):
        self.assertEqual(peers.round_s(10), const.HEARTBEAT_S)
        for count in (1000, 12000):
            per_s = count / const.REMOTE_INTERVAL_ROUNDS / peers.round_s(count)
            self.assertLessEqual(per_s * const.HEARTBEAT_BYTES, 25_000)


class Network:
    """Connects meshes by a queue of datagrams."""

    def __init__(self):
        self.meshes = {}
        self.queue = []

    def add(self, name, address, kind):
        settings = builders.settings(
            instance=name,
            address=address,
            service='store' if kind == members.KIND_AGENT else '',
        )
        peer_mesh = mesh.Mesh(
            settings, kind, known_configuration.KnownConfiguration(name)
        )
        self.meshes[address] = peer_mesh
        peer_mesh.connect(
            peers.Transport(
                lambda datagram, target: self._send(datagram, address, target),
                lambda call: self.queue.append(call),
                lambda *_: None,
                lambda *_: None,
            )
        )
        return peer_mesh

    def run(self):
        while self.queue:
            self.queue.pop(0)()

    def _send(self, datagram, source, target):
        peer_mesh = self.meshes.get(target[0])
        if peer_mesh is not None:
            self.queue.append(
                lambda: peer_mesh.on_datagram(datagram, (source, 7000))
            )
        return True


class MeshTest(unittest.TestCase):
    """Greetings, exchange of members, and reuse of addresses."""

    def setUp(self):
        self.network = Network()

    def test_a_greeting_makes_both_known(self):
        balancer = self.network.add(
            'front-1', '10.0.0.1', members.KIND_BALANCER
        )
        agent = self.network.add('side-1', '10.0.0.2', members.KIND_AGENT)
        balancer.greet(('10.0.0.2',))
        self.network.run()
        self.assertFalse(balancer.is_suspect('side-1'))
        self.assertFalse(agent.is_suspect('front-1'))
        self.assertEqual(agent.live_balancers(), ['front-1'])

    def test_members_are_exchanged_by_anti_entropy(self):
        front = self.network.add('front-1', '10.0.0.1', members.KIND_BALANCER)
        other = self.network.add('front-2', '10.0.0.3', members.KIND_BALANCER)
        self.network.add('side-1', '10.0.0.2', members.KIND_AGENT)
        front.greet(('10.0.0.2', '10.0.0.3'))
        self.network.run()
        front.send_heartbeats(0)
        other.send_heartbeats(0)
        self.network.run()
        self.assertFalse(other.is_suspect('side-1'))

    def test_balancers_without_the_store_do_not_know_all_agents(self):
        """FLOW: after a kill of all processes each knew one agent, and agreed.

        They reset the flows of the other agents.
        """
        names = ('front-1', 'front-2', 'front-3')
        balancers = [
            self.network.add(name, f'10.0.0.{number}', members.KIND_BALANCER)
            for number, name in enumerate(names, 3)
        ]
        self.network.add('side-1', '10.0.0.2', members.KIND_AGENT)
        for balancer in balancers:
            balancer.greet(self.network.meshes)
        self.exchange_heartbeats(balancers)
        for balancer in balancers:
            self.assertFalse(balancer.knows_all_agents('store'))
        balancers[0].note_members_read()
        self.exchange_heartbeats(balancers)
        self.exchange_heartbeats(balancers)
        for balancer in balancers:
            self.assertTrue(balancer.knows_all_agents('store'))

    def exchange_heartbeats(self, balancers):
        """Exchange short heartbeats once no agent is new any more."""
        self.network.run()
        later = clock.now() + const.MEMBERS_SETTLED_S + 0.1
        with mock.patch('kumquatport.helpers.clock.now', lambda: later):
            for round_number in range(const.REMOTE_INTERVAL_ROUNDS):
                for balancer in balancers:
                    balancer.send_heartbeats(round_number)
                self.network.run()
            for balancer in balancers:
                # Forgets the agents that are no longer new.
                balancer.knows_all_agents('store')

    def test_reused_address_removes_the_earlier_instance(self):
        front = self.network.add('front-1', '10.0.0.1', members.KIND_BALANCER)
        front.learn_record(builders.record('side-1', incarnation=5))
        front.learn_record(
            builders.record('side-2', incarnation=9, service='other')
        )
        self.assertIsNone(front.registry.get('side-1'))
        self.assertEqual(front.instance_at('10.0.0.9'), 'side-2')
        front.learn_record(builders.record('side-1', incarnation=5))
        self.assertEqual(front.instance_at('10.0.0.9'), 'side-2')


class DiscoveryTest(unittest.IsolatedAsyncioTestCase):
    """Discovery of instances through the store."""

    def setUp(self):
        self.store = memberships.MemoryPlatform()
        self.network = Network()

    async def join(self, name, address, *, is_first=False):
        peer_mesh = self.network.add(name, address, members.KIND_BALANCER)
        peer_discovery = discovery.Discovery(
            self.store, peer_mesh, is_first_start=is_first
        )
        await peer_discovery.async_join()
        return peer_mesh, peer_discovery

    async def test_any_two_find_each_other(self):
        first, _ = await self.join('front-1', '10.0.0.1', is_first=True)
        second, _ = await self.join('front-2', '10.0.0.2', is_first=True)
        self.network.run()
        self.assertEqual(first.live_balancers(), ['front-1', 'front-2'])
        self.assertEqual(second.live_balancers(), ['front-1', 'front-2'])

    async def test_a_restart_costs_one_call(self):
        await self.join('front-1', '10.0.0.1', is_first=True)
        before = self.store.call_count
        await self.join('front-1', '10.0.0.1')
        self.assertEqual(self.store.call_count, before + 1)

    async def test_foreign_object_is_ignored(self):
        key = f'{const.KIND_INSTANCES}/x'
        self.store.objects[key] = objects.StoredObject(key, 1, b'{}')
        peer_mesh, _ = await self.join('front-1', '10.0.0.1', is_first=True)
        self.assertEqual(len(peer_mesh.registry), 1)

    async def test_only_a_record_with_the_same_addresses_is_removed(self):
        peer_mesh, peer_discovery = await self.join(
            'front-1', '10.0.0.1', is_first=True
        )
        record = peer_mesh.own_record.current
        peer_mesh.registry.forget('front-1')
        with mock.patch.object(const, 'REMOVE_RECORD_DELAY_S', 0):
            await peer_discovery.async_remove_expired(
                record._replace(address='10.9.9.9')
            )
        key = f'{const.KIND_INSTANCES}/a-front-1'
        self.assertIn(key, self.store.objects)
        stored_record = msgspec.msgpack.decode(
            self.store.objects[key].value, type=members.InstanceRecord
        )
        self.assertEqual(stored_record.address, '10.0.0.1')
        await peer_discovery.async_withdraw()
        self.assertNotIn(key, self.store.objects)

    async def test_expired_instance_is_removed_unless_a_peer_hears_it(self):
        peer_mesh, peer_discovery = await self.join(
            'front-1', '10.0.0.1', is_first=True
        )
        record = builders.record('side-9', address='10.0.0.9')
        key = f'{const.KIND_INSTANCES}/b-side-9'
        self.store.objects[key] = objects.StoredObject(
            key, 1, msgspec.msgpack.encode(record)
        )
        expired = []
        peer_mesh.on_peer_expired = expired.append
        peer_mesh.learn_record(record)
        heartbeat = messages.Heartbeat(
            record,
            builders.load(),
            peer_mesh._configuration.snapshot(with_changes=False),
            wants_reply=False,
        )
        peer_mesh.on_datagram(messages.encode(heartbeat), ('10.0.0.9', 7000))
        later = clock.now() + const.PEER_EXPIRY_S + 1
        with mock.patch('kumquatport.helpers.clock.now', lambda: later):
            peer_mesh.send_heartbeats(0)
        self.assertEqual(expired, [record])
        with mock.patch.object(const, 'REMOVE_RECORD_DELAY_S', 0):
            peer_mesh.registry.merge(record)
            await peer_discovery.async_remove_expired(record)
            self.assertIn(key, self.store.objects)
            peer_mesh.registry.forget('side-9')
            await peer_discovery.async_remove_expired(record)
        self.assertNotIn(key, self.store.objects)

    async def test_join_succeeds_after_an_outage(self):
        peer_mesh = self.network.add(
            'front-1', '10.0.0.1', members.KIND_BALANCER
        )
        peer_discovery = discovery.Discovery(
            self.store, peer_mesh, is_first_start=True
        )
        self.store.down = True
        with self.assertRaises(exceptions.PlatformUnavailableError):
            await peer_discovery.async_join()
        self.store.down = False
        await peer_discovery.async_join()
        await asyncio.sleep(0)
        self.assertIn(f'{const.KIND_INSTANCES}/a-front-1', self.store.objects)
