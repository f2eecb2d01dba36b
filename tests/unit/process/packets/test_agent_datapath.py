"""The agent's packets, one by one."""

import unittest
from unittest import mock

from kumquatport.connection.packets import frame, pending_queries
from kumquatport.process.packets import (
    agent_datapath,
    known_configuration,
    mesh,
    messages,
    peers,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import packets as builders

BALANCER = '10.0.0.1'
OTHER = '10.0.0.3'


class Clock:
    """Time that a test sets."""

    def __init__(self):
        self.now = 1000.0

    def unix_ms(self):
        return int(self.now * 1000)


class CarrierTest(unittest.TestCase):
    """What is delivered, returned, reset."""

    def setUp(self):
        self.clock = Clock()
        for name, call in (
            ('now', lambda: self.clock.now),
            ('unix_ms', self.clock.unix_ms),
        ):
            patch = mock.patch(f'kumquatport.helpers.clock.{name}', call)
            patch.start()
            self.addCleanup(patch.stop)
        self.sent = []
        self.delivered = []
        self.beliefs = known_configuration.KnownConfiguration('side-1')
        settings = builders.settings()
        self.mesh = mesh.Mesh(settings, members.KIND_AGENT, self.beliefs)
        self.mesh.connect(
            peers.Transport(self._send, lambda call: None, lambda *_: None)
        )
        self.carrier = agent_datapath.AgentDatapath(
            settings,
            builders.CODEC,
            self.beliefs,
            self.mesh,
            self.delivered.append,
        )
        self.beliefs.update_routes(routes.encode(builders.table()), 'test')
        self.flow = builders.flow()

    def _send(self, datagram, endpoint):
        self.sent.append((datagram, endpoint))
        return True

    def forward(self, datagram, detail=0, version=1, sender=BALANCER):
        self.sent.clear()
        self.delivered.clear()
        self.carrier.on_frame(
            frame.pack(frame.KIND_FORWARD, detail, version, datagram), sender
        )

    def open(self, port=40001):
        """Open a flow through the handshake."""
        flow = builders.flow(port)
        self.forward(builders.datagram(flow, builders.SYN))
        self.from_server(flow, builders.SYN | builders.ACK, sequence=500)
        self.forward(builders.datagram(flow, acknowledged=501))
        return flow

    def from_server(self, flow, flags=builders.ACK, **fields):
        self.carrier.on_outbound(
            builders.answer(flow, flags, **fields), ('10.0.0.2', 4)
        )

    def bounce(self, datagram):
        bounced = bytearray(datagram)
        bounced[24] |= builders.BOUNCED
        self.sent.clear()
        self.carrier.on_outbound(bytes(bounced), ('10.0.0.2', 4))

    def returned(self):
        """Return the reasons of what was sent back."""
        return [
            (frame.unpack(datagram).detail, endpoint[0])
            for datagram, endpoint in self.sent
            if datagram[0] == frame.KIND_RETURN
        ]

    def resets(self):
        return [
            endpoint[0]
            for datagram, endpoint in self.sent
            if endpoint[1] == 9000 and datagram[24] == builders.RST
        ]

    def test_a_flow_opens_and_answers_go_to_the_client(self):
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(len(self.delivered), 1)
        self.from_server(self.flow, builders.SYN | builders.ACK, sequence=5)
        self.assertEqual(self.sent[-1][1], (builders.CLIENT, 9000))
        self.forward(builders.datagram(self.flow, acknowledged=6))
        self.assertEqual(len(self.delivered), 1)

    def test_an_offer_that_asks_is_answered_with_the_load(self):
        """Also one that is turned away, and with what it changed."""
        for state in ('ready', 'draining'):
            report = builders.report(is_draining=state == 'draining')
            self.carrier.handle_report(report)
            self.mesh.load = self.carrier.load
            packet = builders.datagram(self.flow, builders.SYN)
            self.forward(packet, frame.FORWARD_REPORT_LOAD)
            told = [
                messages.decode_short_heartbeat(datagram)
                for datagram, endpoint in self.sent
                if datagram[0] == frame.KIND_HEARTBEAT
                and endpoint[0] == BALANCER
            ]
            self.assertEqual(
                [beat.load for beat in told], [self.carrier.load()]
            )
            self.assertEqual(told[0].load.accepts, state == 'ready')
        self.forward(builders.datagram(builders.flow(40009), builders.SYN))
        kinds = {datagram[0] for datagram, _ in self.sent}
        self.assertNotIn(frame.KIND_HEARTBEAT, kinds)

    def test_half_open_gets_no_packet_of_a_flow_opened_elsewhere(self):
        """A backend server would answer it with a reset (grown trouble-1)."""
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.forward(builders.datagram(self.flow, acknowledged=77))
        self.assertEqual(self.delivered, [])
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])
        self.from_server(self.flow, builders.SYN | builders.ACK, sequence=500)
        self.forward(builders.datagram(self.flow, acknowledged=77))
        self.assertEqual(self.delivered, [])
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])

    def test_a_reset_of_a_flow_not_open_here_is_held_back(self):
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.sent.clear()
        self.from_server(self.flow, builders.RST)
        self.assertEqual(self.sent, [])
        flow = self.open(40002)
        self.sent.clear()
        self.from_server(flow, builders.RST)
        self.assertEqual(len(self.sent), 1)

    def test_a_bounced_open_flow_is_lost_at_once(self):
        flow = self.open()
        packet = builders.datagram(flow, acknowledged=900, data=b'x')
        self.forward(packet)
        self.bounce(self.delivered[0])
        self.assertEqual(self.resets(), [builders.CLIENT])

    def test_a_bounced_unknown_flow_goes_back_to_who_sent_it(self):
        packet = builders.datagram(self.flow, acknowledged=900, data=b'x')
        self.forward(
            packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE, sender=OTHER
        )
        self.bounce(self.delivered[0])
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, OTHER)])
        self.assertEqual(self.resets(), [])

    def test_a_bounced_opening_packet_is_offered_elsewhere(self):
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.bounce(self.delivered[0])
        self.assertEqual(self.returned(), [(frame.REASON_REJECTED, BALANCER)])

    def test_an_unsure_agent_tests_only_when_asked_to(self):
        packet = builders.datagram(self.flow, acknowledged=900)
        self.forward(packet, frame.FORWARD_QUERY)
        self.assertEqual((self.delivered, self.sent), ([], []))
        self.carrier.on_frame(
            frame.pack_flows(frame.KIND_HELD, [self.flow]), BALANCER
        )
        self.forward(packet, frame.FORWARD_QUERY)
        self.assertEqual(len(self.delivered), 1)

    def test_who_heard_the_first_heartbeat_knows_all_flows(self):
        packet = builders.datagram(self.flow, acknowledged=900)
        self.carrier.handle_report(builders.report(sequence=4))
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(len(self.delivered), 1)
        self.carrier.handle_report(builders.report(identifier='i-2'))
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])

    def test_it_answers_by_itself_once_it_knows_all_flows(self):
        """Searches waited for the client's next packet (grown trouble-1)."""
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY)
        self.forward(
            packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE, sender=OTHER
        )
        self.assertEqual(self.returned(), [])
        self.carrier.handle_report(builders.report())
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, OTHER)])

    def test_a_flow_that_turns_out_to_be_here_is_not_returned(self):
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.from_server(self.flow)
        self.sent.clear()
        self.carrier.handle_report(builders.report())
        self.assertEqual(self.returned(), [])

    def test_a_bounced_question_is_answered_once(self):
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.bounce(self.delivered[0])
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])
        self.sent.clear()
        self.carrier.handle_report(builders.report())
        self.assertEqual(self.returned(), [])

    def test_an_old_question_is_left(self):
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY)
        self.clock.now += pending_queries.MAX_AGE_S
        self.carrier.handle_report(builders.report())
        self.assertEqual(self.returned(), [])

    def test_a_draining_backend_server_opens_nothing(self):
        flow = self.open()
        self.carrier.handle_report(builders.report(is_draining=True))
        self.forward(builders.datagram(builders.flow(5), builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        self.forward(builders.datagram(flow, acknowledged=502))
        self.assertEqual(len(self.delivered), 1)

    def test_a_domain_taken_out_opens_nothing(self):
        self.beliefs.update_domains(9, ('a',), 'test')
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )

    def test_routes_decide_unless_the_sender_knows_newer_ones(self):
        table = routes.encode(builders.table(2, 'manuals'))
        self.beliefs.update_routes(table, 'test')
        packet = builders.datagram(self.flow, builders.SYN)
        self.forward(packet, version=1)
        self.assertEqual(
            self.returned(), [(frame.REASON_ROUTE_UNKNOWN, BALANCER)]
        )
        self.forward(packet, version=3)
        self.assertEqual(len(self.delivered), 1)

    def test_peers_tell_of_a_drain_after_a_restart(self):
        self.carrier.backend_server.note_reported_draining()
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        self.carrier.handle_report(builders.report())
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(len(self.delivered), 1)

    def test_flows_of_an_earlier_incarnation_are_reset(self):
        self.open(40001)
        self.carrier.handle_report(builders.report())
        self.clock.now += 5
        self.open(40002)
        self.sent.clear()
        self.carrier.handle_report(builders.report(identifier='i-2'))
        self.assertEqual(self.resets(), [builders.CLIENT])

    def test_the_first_heartbeat_resets_nothing(self):
        """Whatever its time of day says (lakes scale-2, seed 45731937)."""
        self.open(40001)
        self.sent.clear()
        ahead_ms = self.clock.unix_ms() + 2400
        self.carrier.handle_report(builders.report(born_ms=ahead_ms))
        self.assertEqual(self.resets(), [])

    def test_a_flow_that_may_be_of_the_new_incarnation_is_left(self):
        self.carrier.handle_report(builders.report())
        self.clock.now += 1
        self.open(40001)
        self.sent.clear()
        ahead_ms = self.clock.unix_ms() + 2400
        self.carrier.handle_report(
            builders.report(identifier='i-2', born_ms=ahead_ms)
        )
        self.assertEqual(self.resets(), [])

    def test_a_clock_set_back_hides_no_new_incarnation(self):
        self.carrier.handle_report(builders.report(born_ms=9000))
        server = self.carrier.backend_server
        for sequence in range(1, 4):
            self.clock.now += 1.0
            self.carrier.handle_report(
                builders.report(
                    identifier='i-2', born_ms=7000, sequence=sequence
                )
            )
        self.assertEqual(server.report.identifier, 'i-2')

    def test_a_late_heartbeat_changes_nothing(self):
        self.carrier.handle_report(builders.report(born_ms=5000))
        self.carrier.handle_report(
            builders.report(identifier='i-2', born_ms=9000)
        )
        late = builders.report(sequence=9, born_ms=5000, is_draining=True)
        self.carrier.handle_report(late)
        server = self.carrier.backend_server
        self.assertEqual(server.report.identifier, 'i-2')
        self.assertFalse(server.is_draining)
        older = builders.report(identifier='i-0', born_ms=1, is_draining=True)
        self.carrier.handle_report(older)
        self.assertFalse(server.is_draining)

    def test_a_backend_server_that_leaves_loses_its_flows(self):
        self.carrier.handle_report(builders.report())
        self.open()
        self.sent.clear()
        self.assertFalse(self.carrier.backend_server.note_exit('i-9'))
        self.carrier.reset_flows_if_gone()
        self.assertEqual(self.resets(), [])
        self.assertTrue(self.carrier.backend_server.note_exit('i-1'))
        self.carrier.reset_flows_if_gone()
        self.assertEqual(self.resets(), [builders.CLIENT])

    def look(self):
        """Find that no process of the backend server is there."""
        self.sent.clear()
        return self.carrier.note_absent(self.clock.now)

    def test_an_absent_backend_server_holds_nothing(self):
        """Its agent left unsure and held up all searches (grown trouble-1)."""
        packet = builders.datagram(self.flow, acknowledged=900)
        self.assertTrue(self.carrier.backend_server.should_check_presence())
        self.assertTrue(self.look())
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])
        self.assertFalse(self.carrier.load().accepts)
        self.assertEqual(self.carrier.state, members_const.STATE_VACANT)
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        # All flows of one that starts now pass through this process.
        self.clock.now += 1
        self.carrier.handle_report(builders.report(sequence=4))
        self.assertTrue(self.carrier.load().accepts)
        self.assertEqual(self.carrier.state, members_const.STATE_READY)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])

    def test_flows_of_a_backend_server_found_absent_are_reset(self):
        self.carrier.handle_report(builders.report())
        self.open(40001)
        self.clock.now += 5
        looked_at = self.clock.now
        self.clock.now += 0.01
        self.open(40002)
        self.sent.clear()
        self.assertTrue(self.carrier.note_absent(looked_at))
        self.assertEqual(self.resets(), [builders.CLIENT])
        self.assertTrue(self.carrier.load().is_draining)

    def test_one_that_reported_since_is_not_absent(self):
        self.clock.now += 1
        self.carrier.handle_report(builders.report())
        self.assertFalse(self.carrier.note_absent(self.clock.now - 0.1))
        self.assertTrue(self.carrier.load().accepts)

    def test_a_late_heartbeat_does_not_revive_an_absent_one(self):
        server = self.carrier.backend_server
        self.carrier.handle_report(builders.report())
        self.clock.now += 0.1
        self.look()
        self.clock.now += 0.1
        self.carrier.handle_report(builders.report(sequence=2))
        self.assertTrue(server.is_gone)
        self.clock.now += 2 * server.heartbeat_s
        # Others are told, also of one that drains and holds its flows.
        going_on = builders.report(sequence=3, is_draining=True)
        self.assertTrue(self.carrier.handle_report(going_on))
        self.assertEqual(self.carrier.state, members_const.STATE_READY)

    def test_an_agent_that_has_left_does_not_come_back(self):
        """Its backend server's exit is taken up a moment later."""
        self.carrier.handle_report(builders.report())
        self.carrier.backend_server.note_exit('i-1')
        self.assertEqual(self.carrier.state, members_const.STATE_VACANT)
        self.carrier.is_leaving = True
        self.assertEqual(self.carrier.state, members_const.STATE_LEAVING)
        self.carrier.has_left = True
        self.carrier.reset_flows_if_gone()
        self.assertEqual(self.carrier.state, members_const.STATE_GONE)

    def test_it_is_looked_for_in_doubt_and_not_often(self):
        server = self.carrier.backend_server
        self.carrier.handle_report(builders.report())
        self.assertFalse(server.should_check_presence())
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.bounce(self.delivered[0])
        self.assertTrue(server.should_check_presence())
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.bounce(self.delivered[0])
        self.assertFalse(server.should_check_presence())
        self.clock.now += server.heartbeat_s
        self.assertTrue(server.should_check_presence())
        self.assertFalse(server.should_check_presence())
        self.clock.now += 3 * server.heartbeat_s
        self.assertTrue(server.should_check_presence())

    def test_a_silent_backend_server_is_offered_little(self):
        self.carrier.handle_report(builders.report())
        for port in range(2):
            self.forward(builders.datagram(builders.flow(port), builders.SYN))
            self.clock.now += 0.2
        self.forward(builders.datagram(builders.flow(3), builders.SYN))
        self.assertEqual(len(self.delivered), 1)
        self.forward(builders.datagram(builders.flow(4), builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        self.from_server(self.flow, builders.SYN | builders.ACK)
        self.forward(builders.datagram(builders.flow(5), builders.SYN))
        self.assertEqual(len(self.delivered), 1)

    def test_malformed_frames_are_left_out(self):
        for datagram in (b'\x01', b'\x01\x00', b'\x02' + bytes(60), b'\x07'):
            self.carrier.on_frame(datagram, BALANCER)
        self.forward(b'short')
        self.assertEqual((self.sent, self.delivered), ([], []))
