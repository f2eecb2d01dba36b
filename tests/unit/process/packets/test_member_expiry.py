"""Tests of the expiry of members that are reported and not heard."""

import unittest
from unittest import mock

from kumquatport.connection.packets import frame
from kumquatport.process.packets import const, messages
from kumquatport.version import members
from tests.builders import balancers, meshes
from tests.builders import packets as builders

FIRST, SECOND, LOST = '10.0.0.1', '10.0.0.2', '10.0.0.11'
ROUND_S = 0.9
ROUNDS = int(const.PEER_EXPIRY_S / ROUND_S) + 10


class ReportedMembersTest(unittest.TestCase):
    """Two balancers that exchange the records of agents."""

    def setUp(self):
        self.now = 1000.0
        patch = mock.patch('kumquatport.helpers.clock.now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.network = meshes.Network()
        self.first = self.network.start('front-1', FIRST, members.KIND_BALANCER)
        self.second = self.network.start(
            'front-2', SECOND, members.KIND_BALANCER
        )
        self.record = builders.record('side-1', address=LOST)
        self.deleted = []
        self.first.on_peer_expired = self.deleted.append

    def knows(self, mesh):
        return mesh.registry.get('side-1') is not None

    def run_rounds(self, count=ROUNDS, each=None):
        for _ in range(count):
            self.now += ROUND_S
            if each is not None:
                each()
            self.network.run_round()

    def cut_from_first(self):
        """Start the agent with all datagrams to and from front-1 lost."""
        deliver = self.first.on_datagram
        self.first.on_datagram = lambda datagram, sender: (
            None if sender[0] == LOST else deliver(datagram, sender)
        )
        self.agent = self.network.start('side-1', LOST, members.KIND_AGENT)

    def test_balancers_do_not_keep_a_lost_member_for_each_other(self):
        """Lookups of its flows never ended."""
        self.first.learn_record(self.record)
        self.run_rounds(ROUNDS // 2)
        self.second.learn_record(self.record)
        self.assertTrue(self.knows(self.first) and self.knows(self.second))
        self.run_rounds()
        self.assertFalse(self.knows(self.first) or self.knows(self.second))
        self.assertEqual(self.deleted, [self.record])

    def test_list_of_the_store_does_not_keep_a_lost_member(self):
        self.run_rounds(
            2 * ROUNDS, lambda: self.first.learn_record(self.record)
        )
        self.assertFalse(self.knows(self.first) or self.knows(self.second))

    def test_later_record_of_a_lost_member_is_learned(self):
        self.first.learn_record(self.record)
        self.run_rounds()
        self.assertFalse(self.knows(self.first))
        self.first.learn_record(self.record._replace(incarnation=2))
        self.assertTrue(self.knows(self.first))

    def test_member_that_only_another_balancer_hears_is_kept(self):
        """FLOW: a balancer would reset the flows of a live agent."""
        self.cut_from_first()
        self.run_rounds(5)
        self.assertTrue(self.first.is_suspect('side-1'))
        kept = []
        self.run_rounds(2 * ROUNDS, lambda: kept.append(self.knows(self.first)))
        self.assertTrue(all(kept))
        self.assertEqual(self.deleted, [])
        self.network.meshes.pop(LOST)
        self.run_rounds(2 * ROUNDS)
        self.assertFalse(self.knows(self.first) or self.knows(self.second))

    def test_member_that_falls_silent_to_one_balancer_is_kept(self):
        """FLOW: its record was absent until a peer had reported it again."""
        self.agent = self.network.start('side-1', LOST, members.KIND_AGENT)
        self.run_rounds(3)
        self.assertFalse(self.first.is_suspect('side-1'))
        deliver = self.first.on_datagram
        self.first.on_datagram = lambda datagram, sender: (
            None if sender[0] == LOST else deliver(datagram, sender)
        )
        kept = []
        self.run_rounds(2 * ROUNDS, lambda: kept.append(self.knows(self.first)))
        self.assertTrue(all(kept))

    def test_expired_member_is_restored_by_a_balancer_that_hears_it(self):
        self.first.learn_record(self.record)
        self.run_rounds()
        self.assertFalse(self.knows(self.first))
        self.cut_from_first()
        record = self.agent.own_record.current
        self.first._expiry.expire(record)
        self.first.learn_record(record)
        self.run_rounds(10)
        self.assertTrue(self.knows(self.first))

    def test_member_is_asked_about_after_a_pause_of_this_process(self):
        """FLOW: a paused process had no time to ask who hears it."""
        self.cut_from_first()
        self.run_rounds(ROUNDS // 2)
        self.network.meshes.pop(FIRST)
        self.run_rounds(ROUNDS * 3 // 4)
        self.network.meshes[FIRST] = self.first
        kept = []
        self.run_rounds(10, lambda: kept.append(self.knows(self.first)))
        self.assertTrue(all(kept))

    def test_agent_forgets_a_lost_balancer(self):
        """It would report the record to balancers that have forgotten it."""
        agent = self.network.start('side-2', '10.0.0.12', members.KIND_AGENT)
        lost = builders.record(
            'front-9',
            kind=members.KIND_BALANCER,
            service='',
            address='10.0.0.9',
        )
        self.first.learn_record(lost)
        self.run_rounds(ROUNDS // 2)
        self.assertIsNotNone(agent.registry.get('front-9'))
        self.run_rounds(2 * ROUNDS)
        for mesh in (agent, self.first, self.second):
            self.assertIsNone(mesh.registry.get('front-9'))

    def test_many_members_expire(self):
        """All members of the store are lost at once."""
        for number in range(500):
            self.first.learn_record(
                builders.record(
                    f'lost-{number}',
                    address=f'10.1.{number // 250}.{number % 250}',
                )
            )
        self.run_rounds(2 * ROUNDS)
        self.assertEqual(self.first.registry.services(), ())


class FormerBuildTest(balancers.BalancerTestCase):
    """Frames that builds do not know are ignored."""

    def test_unknown_kinds_are_ignored(self):
        self.mesh.learn_record(builders.record('side-1', address=LOST))
        self.sent.clear()
        for kind in range(frame.KIND_HEARD_QUERY, 256):
            message = messages.encode_names(kind, ['side-1'])
            self.forwarder.on_frame(message, LOST)
        self.assertEqual(self.sent, [])

    def test_malformed_names_are_refused(self):
        self.mesh.learn_record(builders.record('side-1', address=LOST))
        for kind in (frame.KIND_HEARD_QUERY, frame.KIND_HEARD):
            for body in (b'', b'\xff', b'\x91\x01', b'\x81'):
                self.mesh.on_datagram(bytes((kind,)) + body, (LOST, 7000))
        self.assertIsNotNone(self.mesh.registry.get('side-1'))

    def test_lookup_of_a_lost_flow_ends_when_the_record_expires(self):
        """The balancer waited for ever for an agent that it never heard."""
        self.hear_agent()
        self.mesh.learn_record(builders.record('side-1', address=LOST))
        self.mesh.note_members_listed(['side-1', 'side-2'])
        packet = builders.datagram(builders.flow(), acknowledged=7)
        for number in range(int(const.PEER_EXPIRY_S / ROUND_S) + 2):
            self.hear_agent()
            self.now += ROUND_S
            self.mesh.send_heartbeats(number)
        self.assertEqual(self.resets(packet), 1)

    def test_lookup_of_a_flow_does_not_end_before(self):
        """FLOW: the agent may be alive and hold the flow."""
        self.hear_agent()
        self.mesh.learn_record(builders.record('side-1', address=LOST))
        self.mesh.note_members_listed(['side-1', 'side-2'])
        self.now += const.MEMBERS_SETTLED_S
        packet = builders.datagram(builders.flow(), acknowledged=7)
        self.assertEqual(self.resets(packet), 0)

    def hear_agent(self):
        heartbeat = messages.Heartbeat(
            builders.record('side-2', address='10.0.0.12'),
            builders.load(),
            self.configuration.snapshot(with_changes=False),
            wants_reply=False,
        )
        self.mesh.on_datagram(messages.encode(heartbeat), ('10.0.0.12', 7000))

    def resets(self, packet):
        """Send a packet of an open flow; the agents say that it is unknown."""
        self.sent.clear()
        returned = frame.pack(
            frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, packet
        )
        for _ in range(3):
            self.now += 0.2
            self.forwarder.on_client(packet, (builders.CLIENT, 9000))
            self.forwarder.on_frame(returned, '10.0.0.12')
        return len(
            {
                datagram
                for datagram, endpoint in self.sent
                if endpoint == (builders.CLIENT, 9000)
            }
        )
