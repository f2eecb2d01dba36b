"""Tests of the agent data path, packet by packet."""

import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.connection.packets import frame, pending_queries
from kumquatport.connection.packets import packet as packets
from kumquatport.process.packets import (
    agent_datapath,
    const,
    known_configuration,
    mesh,
    messages,
    peers,
    udp_sockets,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import packets as builders

BALANCER = '10.0.0.1'
OTHER = '10.0.0.3'


class Clock:
    """Clock that a test sets."""

    def __init__(self):
        self.now = 1000.0

    def unix_ms(self):
        return int(self.now * 1000)


class AgentDatapathTest(unittest.TestCase):
    """Which packets are delivered, returned or reset."""

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
        self.make_datapath(1)
        self.flow = builders.flow()

    def make_datapath(self, routes_version):
        """Build an agent.

        Args:
            routes_version: Version of its routes; None for none.
        """
        self.configuration = known_configuration.KnownConfiguration('side-1')
        settings = builders.settings()
        self.mesh = mesh.Mesh(settings, members.KIND_AGENT, self.configuration)
        self.mesh.connect(
            peers.Transport(
                self._send, lambda call: None, lambda *_: None, lambda *_: None
            )
        )
        self.datapath = agent_datapath.AgentDatapath(
            settings,
            builders.CODEC,
            self.configuration,
            self.mesh,
            self.delivered.append,
        )
        if routes_version is not None:
            self.configuration.update_routes(
                routes.encode(builders.table(routes_version)), 'test'
            )

    def _send(self, datagram, endpoint):
        self.sent.append((datagram, endpoint))
        return True

    def forward(self, datagram, detail=0, version=1, sender=BALANCER):
        self.sent.clear()
        self.delivered.clear()
        self.datapath.on_frame(
            frame.pack(frame.KIND_FORWARD, detail, version, datagram), sender
        )

    def open(self, port=40001):
        """Open a flow by a complete handshake."""
        flow = builders.flow(port)
        self.forward(builders.datagram(flow, builders.SYN))
        self.from_server(flow, builders.SYN | builders.ACK, sequence=500)
        self.forward(builders.datagram(flow, acknowledged=501))
        return flow

    def from_server(self, flow, flags=builders.ACK, **fields):
        self.datapath.on_outbound(
            builders.answer(flow, flags, **fields), ('10.0.0.2', 4)
        )

    def bounce(self, datagram):
        bounced = bytearray(datagram)
        bounced[24] |= builders.BOUNCED
        self.sent.clear()
        self.datapath.on_outbound(bytes(bounced), ('10.0.0.2', 4))

    def returned(self):
        """Return the reason and receiver of each returned packet."""
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

    def test_offer_that_requests_the_load_is_answered(self):
        """A refused offer is answered too, with the load after the offer."""
        for state in ('ready', 'draining'):
            report = builders.report(is_draining=state == 'draining')
            self.datapath.handle_report(report)
            self.mesh.load = self.datapath.load
            packet = builders.datagram(self.flow, builders.SYN)
            self.forward(packet, frame.FORWARD_REPORT_LOAD)
            heartbeats = [
                messages.decode_short_heartbeat(datagram)
                for datagram, endpoint in self.sent
                if datagram[0] == frame.KIND_HEARTBEAT
                and endpoint[0] == BALANCER
            ]
            self.assertEqual(
                [heartbeat.load for heartbeat in heartbeats],
                [self.datapath.load()],
            )
            self.assertEqual(heartbeats[0].load.accepts, state == 'ready')
        self.forward(builders.datagram(builders.flow(40009), builders.SYN))
        kinds = {datagram[0] for datagram, _ in self.sent}
        self.assertNotIn(frame.KIND_HEARTBEAT, kinds)

    def test_half_open_gets_no_packet_of_a_flow_opened_elsewhere(self):
        """A backend server with the flow half open would send a reset."""
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

    def test_bounced_open_flow_is_reset_at_once(self):
        flow = self.open()
        packet = builders.datagram(flow, acknowledged=900, data=b'x')
        self.forward(packet)
        self.bounce(self.delivered[0])
        self.assertEqual(self.resets(), [builders.CLIENT])

    def test_bounced_packet_of_unknown_flow_is_returned_to_its_sender(self):
        packet = builders.datagram(self.flow, acknowledged=900, data=b'x')
        self.forward(
            packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE, sender=OTHER
        )
        self.bounce(self.delivered[0])
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, OTHER)])
        self.assertEqual(self.resets(), [])

    def test_backend_server_is_probed_once_for_a_flow(self):
        """FLOW: each of several balancers probed the same wrong ones."""
        detail = frame.FORWARD_QUERY | frame.FORWARD_PROBE
        packet = builders.datagram(self.flow, acknowledged=900, data=b'x')
        self.forward(packet, detail)
        self.bounce(self.delivered[0])
        for later in (detail, frame.FORWARD_QUERY, 0):
            self.forward(packet, later, sender=OTHER)
            self.assertEqual(self.delivered, [])
            self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, OTHER)])
        # A flow that opens here later is held, also after it has timed out.
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.clock.now += 4
        self.datapath.expire()
        self.forward(packet, detail)
        self.assertEqual(len(self.delivered), 1)

    def test_a_bounced_opening_packet_is_offered_elsewhere(self):
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.bounce(self.delivered[0])
        self.assertEqual(self.returned(), [(frame.REASON_REJECTED, BALANCER)])

    def test_agent_that_does_not_know_all_flows_probes_only_on_request(self):
        packet = builders.datagram(self.flow, acknowledged=900)
        self.forward(packet, frame.FORWARD_QUERY)
        self.assertEqual((self.delivered, self.sent), ([], []))
        self.datapath.on_frame(
            frame.pack_flows(frame.KIND_HELD, [self.flow]), BALANCER
        )
        self.forward(packet, frame.FORWARD_QUERY)
        self.assertEqual(len(self.delivered), 1)

    def test_agent_knows_all_flows_after_the_first_heartbeat(self):
        packet = builders.datagram(self.flow, acknowledged=900)
        self.datapath.handle_report(builders.report(sequence=4))
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(len(self.delivered), 1)
        self.datapath.handle_report(builders.report(identifier='i-2'))
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])

    def test_agent_knows_all_flows_once_the_earlier_ones_have_expired(self):
        """Otherwise every later lookup of a lost flow has to probe here."""
        ttl_s = builders.settings().bounds.flow_ttl_s
        for elapsed_s, is_known in ((ttl_s, False), (1, True)):
            self.clock.now += elapsed_s
            self.datapath.expire()
            self.assertEqual(self.datapath.load().knows_all_flows, is_known)

    def test_questions_by_key_are_answered_as_far_as_a_key_tells(self):
        """FLOW: a balancer resets a flow once all agents have denied it."""
        flows = [builders.flow(port) for port in range(4)]
        held, half_open, hinted, unknown = flows
        self.from_server(held)
        self.datapath._flows.add(half_open, self.clock.now)
        self.datapath.on_frame(
            frame.pack_flows(frame.KIND_HELD, [hinted]), BALANCER
        )
        question = frame.pack_flows(frame.KIND_HOLDS, flows)
        expected = [
            (frame.KIND_HELD, [held]),
            (frame.KIND_HOLDS, [half_open, hinted]),
        ]
        for answers in (
            expected,
            [
                (frame.KIND_HELD, [held]),
                (frame.KIND_HOLDS, [half_open]),
                (frame.KIND_NOT_HELD, [hinted, unknown]),
            ],
        ):
            self.sent.clear()
            self.datapath.on_frame(question, BALANCER)
            self.assertEqual(
                [
                    (message[0], frame.unpack_flows(message))
                    for message, _ in self.sent
                ],
                answers,
            )
            born_ms = self.clock.unix_ms()
            self.datapath.handle_report(builders.report(born_ms=born_ms))
        self.assertEqual(self.delivered, [])

    def test_pending_queries_are_answered_once_all_flows_are_known(self):
        """Otherwise lookups wait for the client's next packet."""
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY)
        self.forward(
            packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE, sender=OTHER
        )
        self.assertEqual(self.returned(), [])
        born_ms = self.clock.unix_ms()
        self.datapath.handle_report(builders.report(born_ms=born_ms))
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, OTHER)])

    def test_pending_query_of_a_held_flow_is_not_returned(self):
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.from_server(self.flow)
        self.sent.clear()
        self.datapath.handle_report(builders.report())
        self.assertEqual(self.returned(), [])

    def test_bounced_query_is_answered_once(self):
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.bounce(self.delivered[0])
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])
        self.sent.clear()
        self.datapath.handle_report(builders.report())
        self.assertEqual(self.returned(), [])

    def test_old_query_is_not_answered(self):
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY)
        self.clock.now += pending_queries.MAX_AGE_S
        self.datapath.handle_report(builders.report())
        self.assertEqual(self.returned(), [])

    def test_a_draining_backend_server_opens_nothing(self):
        flow = self.open()
        self.datapath.handle_report(builders.report(is_draining=True))
        self.forward(builders.datagram(builders.flow(5), builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        self.forward(builders.datagram(flow, acknowledged=502))
        self.assertEqual(len(self.delivered), 1)

    def test_client_port_used_again_opens_nothing_while_draining(self):
        """DRAIN: the flow that the port had before is still in the table."""
        opening = builders.datagram(self.flow, builders.SYN, sequence=7)
        self.forward(opening)
        self.from_server(self.flow, builders.SYN | builders.ACK, sequence=500)
        self.forward(builders.datagram(self.flow, acknowledged=501))
        self.datapath.handle_report(builders.report(is_draining=True))
        self.clock.now += 10
        later = builders.datagram(self.flow, builders.SYN, sequence=70_000)
        self.forward(later)
        self.assertEqual(self.delivered, [])
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        # A late copy of the opening packet belongs to the flow.
        self.forward(opening)
        self.assertEqual(len(self.delivered), 1)

    def test_client_port_used_again_opens_a_flow_that_is_admitted(self):
        self.open()
        for acknowledged in (0, 1):
            self.forward(
                builders.datagram(
                    builders.flow(40001),
                    builders.SYN,
                    sequence=70_000,
                    acknowledged=acknowledged,
                )
            )
            self.assertEqual(len(self.delivered), 1)
        self.assertEqual(self.datapath.counts['flow offered'], 2)

    def test_copy_of_an_opening_packet_after_a_restart_is_delivered(self):
        """The process has seen only the answer of the backend server."""
        self.from_server(self.flow, builders.SYN | builders.ACK, sequence=5)
        self.datapath.handle_report(builders.report(is_draining=True))
        copy = builders.datagram(self.flow, builders.SYN, acknowledged=1)
        for elapsed_s, count in ((0.4, 1), (10, 0)):
            self.clock.now += elapsed_s
            self.forward(copy)
            self.assertEqual(len(self.delivered), count)

    def test_a_domain_taken_out_opens_nothing(self):
        self.configuration.update_domains(9, ('a',), 'test')
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )

    def opening(self, named_service=''):
        return builders.datagram(
            self.flow, builders.SYN, named_service=named_service
        )

    def test_routes_decide_unless_newer_ones_name_the_own_service(self):
        table = routes.encode(builders.table(2, 'manuals'))
        self.configuration.update_routes(table, 'test')
        self.forward(self.opening('store'), version=1)
        self.assertEqual(
            self.returned(), [(frame.REASON_ROUTE_UNKNOWN, BALANCER)]
        )
        self.forward(self.opening(), version=3)
        self.assertEqual(
            self.returned(), [(frame.REASON_ROUTE_UNKNOWN, BALANCER)]
        )
        self.forward(self.opening('store'), version=3)
        self.assertEqual(self.delivered, [self.marked(self.opening())])

    def marked(self, packet):
        """Return a packet as the backend server gets it."""
        return builders.CODEC.with_mark(
            packet, packets.mark_from_address(BALANCER)
        )

    def test_reused_address_opens_no_flow_of_the_former_service(self):
        """ROUTE: the balancer still knows the former owner of the address."""
        for known in (None, 1, 2, 3, 4):
            for sender in (1, 3, 4):
                with self.subTest(known=known, sender=sender):
                    self.make_datapath(known)
                    self.forward(self.opening('manuals'), version=sender)
                    self.assertEqual(self.delivered, [])
                    self.assertEqual(
                        self.returned(),
                        [(frame.REASON_OTHER_SERVICE, BALANCER)],
                    )

    def test_agent_without_routes_takes_only_flows_that_name_its_service(self):
        """ROUTE: a balancer of an earlier build names no service."""
        self.make_datapath(None)
        self.forward(self.opening(), version=3)
        self.assertEqual(self.delivered, [])
        self.forward(self.opening('store'), version=3)
        self.assertEqual(len(self.delivered), 1)

    def test_former_agent_opens_no_flow_at_the_next_backend_server(self):
        """ROUTE: it may still run when the address is used again."""
        for reason in ('is_leaving', 'exited', 'absent'):
            with self.subTest(reason=reason):
                self.make_datapath(1)
                server = self.datapath.backend_server
                self.datapath.handle_report(
                    builders.report(born_ms=self.clock.unix_ms())
                )
                if reason == 'is_leaving':
                    self.datapath.is_leaving = True
                elif reason == 'exited':
                    self.assertTrue(server.note_exit('i-1'))
                else:
                    self.assertTrue(self.datapath.note_absent(self.clock.now))
                for number in range(8):
                    self.clock.now += const.PAUSE_CHECK_S
                    self.mesh.send_heartbeats(number)
                following = builders.report(
                    identifier='i-2',
                    service='manuals',
                    born_ms=self.clock.unix_ms(),
                )
                for sequence in (1, 2, 3):
                    with self.assertRaises(exceptions.HeartbeatRejectedError):
                        self.datapath.handle_report(
                            following._replace(sequence=sequence)
                        )
                self.from_server(builders.flow(40009))
                self.forward(self.opening('store'), version=3)
                self.assertEqual(self.delivered, [])
                self.assertEqual(
                    self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
                )

    def test_silent_backend_server_gets_no_flow_for_the_next_one(self):
        """ROUTE: the next one answers on the same port, so it seems alive."""
        own = builders.report(born_ms=self.clock.unix_ms())
        following = own._replace(identifier='i-2', service='manuals')
        self.datapath.handle_report(own)
        flow = self.open(40005)

        def refuse():
            with self.assertRaises(exceptions.HeartbeatRejectedError):
                self.datapath.handle_report(following)

        refuse()
        self.assertTrue(self.datapath.load().accepts)
        for number in range(8):
            self.clock.now += const.PAUSE_CHECK_S
            self.mesh.send_heartbeats(number)
        refuse()
        self.from_server(builders.flow(40009))
        self.assertFalse(self.datapath.load().accepts)
        self.forward(self.opening('store'))
        self.assertEqual(self.delivered, [])
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        self.assertEqual(self.resets(), [])
        self.forward(builders.datagram(flow, acknowledged=501))
        self.assertEqual(len(self.delivered), 1)
        self.datapath.handle_report(own._replace(sequence=2))
        self.forward(self.opening('store'))
        self.assertEqual(len(self.delivered), 1)

    def test_balancer_that_knows_the_former_owner_is_greeted(self):
        """It must not take a read of the store to tell it of this agent."""
        self.make_datapath(None)
        self.forward(self.opening('manuals'), version=3)
        (greeting,) = (
            messages.decode(datagram)
            for datagram, endpoint in self.sent
            if datagram[0] == frame.KIND_CONTROL and endpoint[0] == BALANCER
        )
        self.assertEqual(greeting.record.service, 'store')
        self.assertTrue(greeting.wants_reply)

    def test_draining_reported_by_peers_after_a_restart(self):
        self.datapath.note_reported_draining()
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        self.datapath.handle_report(builders.report())
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(len(self.delivered), 1)

    def test_flows_of_an_earlier_incarnation_are_reset(self):
        self.open(40001)
        self.datapath.handle_report(builders.report())
        self.clock.now += 5
        self.open(40002)
        self.sent.clear()
        self.datapath.handle_report(builders.report(identifier='i-2'))
        self.assertEqual(self.resets(), [builders.CLIENT])

    def test_the_first_heartbeat_resets_nothing(self):
        """This holds even if the wall clock of the backend server is ahead."""
        self.open(40001)
        self.sent.clear()
        ahead_ms = self.clock.unix_ms() + 2400
        self.datapath.handle_report(builders.report(born_ms=ahead_ms))
        self.assertEqual(self.resets(), [])

    def test_a_flow_that_may_be_of_the_new_incarnation_is_left(self):
        self.datapath.handle_report(builders.report())
        self.clock.now += 1
        self.open(40001)
        self.sent.clear()
        ahead_ms = self.clock.unix_ms() + 2400
        self.datapath.handle_report(
            builders.report(identifier='i-2', born_ms=ahead_ms)
        )
        self.assertEqual(self.resets(), [])

    def foreign_reports(self):
        """Return heartbeats of other writers, as of an incarnation started now.

        The first ones come in any order, the last one lacks its start time.
        """
        report = builders.report(
            identifier='i-other', born_ms=self.clock.unix_ms()
        )
        endpoint = report.endpoint
        return (
            report._replace(service='not-named-here'),
            report._replace(service=''),
            report._replace(service='manuals'),
            report._replace(endpoint=endpoint._replace(address='10.0.0.3')),
            report._replace(endpoint=endpoint._replace(port=5)),
            report._replace(failure_domain='b'),
            report._replace(identifier='i-1', service='not-named-here'),
            report._replace(
                identifier='i-1', sequence=99, is_draining=True, service='x'
            ),
            report._replace(born_ms=0),
            report._replace(identifier='i-1', born_ms=0, is_draining=True),
        )

    def test_heartbeat_of_another_writer_changes_nothing(self):
        """FLOW: it must not end the flows of a live backend server.

        DRAIN: the backend server is heard afterwards too.
        """
        own = builders.report(born_ms=self.clock.unix_ms())
        self.datapath.handle_report(own)
        self.open()
        for sequence, foreign in enumerate(self.foreign_reports(), 2):
            with self.subTest(foreign=foreign):
                self.clock.now += 1
                self.datapath.handle_report(own._replace(sequence=sequence))
                before = self.datapath.load()
                self.sent.clear()
                for _ in range(3):
                    with self.assertRaises(exceptions.HeartbeatRejectedError):
                        self.datapath.handle_report(foreign)
                self.assertEqual(self.sent, [])
                self.assertEqual(self.datapath.load(), before)
        self.assertEqual(
            self.datapath.counts['heartbeat refused'],
            3 * len(self.foreign_reports()),
        )
        self.datapath.handle_report(own._replace(sequence=99, is_draining=True))
        self.assertTrue(self.datapath.load().is_draining)

    def test_heartbeat_of_another_writer_after_a_restart(self):
        """The agent knows no other heartbeat that it could compare with."""
        for foreign in self.foreign_reports()[:-2]:
            with self.assertRaises(exceptions.HeartbeatRejectedError):
                self.datapath.handle_report(foreign)
        self.assertIsNone(self.datapath.backend_server.report)
        self.assertFalse(self.datapath.load().knows_all_flows)

    def test_new_incarnation_after_the_clock_was_set_back(self):
        self.datapath.handle_report(builders.report(born_ms=9000))
        server = self.datapath.backend_server
        for sequence in range(1, 4):
            self.clock.now += 1.0
            self.datapath.handle_report(
                builders.report(
                    identifier='i-2', born_ms=7000, sequence=sequence
                )
            )
        self.assertEqual(server.report.identifier, 'i-2')

    def test_identifier_of_an_earlier_start_is_heard_again(self):
        """DRAIN: the start time tells it from the earlier incarnation."""
        server = self.datapath.backend_server
        for starts in (('i-1', 'i-2', 'i-1'), ('i-1', 'i-1'), ('i-1',) * 4):
            self.make_datapath(1)
            server = self.datapath.backend_server
            for start, identifier in enumerate(starts):
                self.clock.now += 6
                last = builders.report(
                    identifier=identifier, born_ms=5000 * (start + 1)
                )
                self.datapath.handle_report(last)
                self.assertEqual(server.report, last)
                # Late ones of all earlier starts, and a late exit notice.
                for earlier in range(start):
                    late = builders.report(
                        identifier=starts[earlier],
                        born_ms=5000 * (earlier + 1),
                        sequence=9,
                        is_draining=True,
                    )
                    self.datapath.handle_report(late)
                    self.assertEqual(server.report, last)
                server.note_exit('i-unknown')
            with self.subTest(starts=starts):
                self.datapath.handle_report(
                    last._replace(sequence=2, is_draining=True)
                )
                self.assertTrue(server.is_draining)
                self.assertTrue(server.note_exit(last.identifier))

    def test_identifier_that_exited_unheard_may_start_again(self):
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report(born_ms=5000))
        self.assertFalse(server.note_exit('i-2'))
        for born_ms, is_heard in ((4000, False), (6000, True)):
            report = builders.report(identifier='i-2', born_ms=born_ms)
            self.datapath.handle_report(report)
            self.assertEqual(server.report == report, is_heard)

    def test_earlier_identifier_is_heard_after_the_clock_was_set_back(self):
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report(born_ms=9000))
        self.datapath.handle_report(
            builders.report(identifier='i-2', born_ms=9500)
        )
        for sequence in range(1, 4):
            self.clock.now += 1.0
            self.datapath.handle_report(
                builders.report(born_ms=7000, sequence=sequence)
            )
        self.assertEqual(server.report.born_ms, 7000)
        self.datapath.handle_report(
            builders.report(born_ms=7000, sequence=4, is_draining=True)
        )
        self.assertTrue(server.is_draining)

    def test_a_late_heartbeat_changes_nothing(self):
        self.datapath.handle_report(builders.report(born_ms=5000))
        self.datapath.handle_report(
            builders.report(identifier='i-2', born_ms=9000)
        )
        late = builders.report(sequence=9, born_ms=5000, is_draining=True)
        self.datapath.handle_report(late)
        server = self.datapath.backend_server
        self.assertEqual(server.report.identifier, 'i-2')
        self.assertFalse(server.is_draining)
        older = builders.report(identifier='i-0', born_ms=1, is_draining=True)
        self.datapath.handle_report(older)
        self.assertFalse(server.is_draining)

    def test_late_heartbeat_after_a_restart_ends_no_flow(self):
        """FLOW: the restarted agent knows no other incarnation yet.

        The live one is older than this process, so it may hold flows that the
        process has not seen.
        """
        now_ms = self.clock.unix_ms()
        live = builders.report(
            identifier='i-2', born_ms=now_ms - 20_000, sequence=16
        )
        for late in (
            builders.report(sequence=9, born_ms=now_ms - 32_000),
            builders.report(sequence=1, born_ms=now_ms - 22_000),
            live._replace(born_ms=now_ms - 32_000),
        ):
            for opened_at in (0, 1):
                with self.subTest(late=late, opened_at=opened_at):
                    self.make_datapath(1)
                    flow = self.open() if not opened_at else None
                    self.clock.now += 1
                    self.datapath.handle_report(late)
                    flow = flow or self.open()
                    self.clock.now += 1
                    self.datapath.handle_report(live)
                    self.datapath.handle_report(late)
                    self.clock.now += 1
                    self.datapath.handle_report(live._replace(sequence=17))
                    self.assertEqual(self.resets(), [])
                    self.assert_may_hold_others()
                    self.forward(builders.datagram(flow, acknowledged=501))
                    self.assertEqual(len(self.delivered), 1)

    def assert_may_hold_others(self):
        """Check that a flow unknown to the agent is left to the server."""
        self.assertFalse(self.datapath.load().knows_all_flows)
        packet = builders.datagram(builders.flow(40099), acknowledged=7)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [])
        self.assertEqual(len(self.delivered), 1)

    def test_heartbeat_without_start_time_after_a_restart_ends_no_flow(self):
        *_, without_start_time, _ = self.foreign_reports()
        born_ms = self.clock.unix_ms() - 30_000
        self.open()
        self.sent.clear()
        self.datapath.handle_report(without_start_time)
        self.clock.now += 1
        self.datapath.handle_report(
            builders.report(born_ms=born_ms, sequence=30)
        )
        self.assertEqual(self.resets(), [])
        self.assertEqual(self.datapath.backend_server.report.born_ms, born_ms)

    def test_heartbeat_without_start_time_does_not_make_all_flows_known(self):
        """FLOW: the backend server may be older than this process."""
        *_, without_start_time, _ = self.foreign_reports()
        born_ms = self.clock.unix_ms() - 30_000
        self.datapath.handle_report(without_start_time)
        self.clock.now += 1
        self.datapath.handle_report(
            builders.report(born_ms=born_ms, sequence=30)
        )
        self.assert_may_hold_others()

    def test_backend_server_that_started_later_holds_no_unknown_flow(self):
        for sequence, uptime_ms in ((1, 0), (2, 1100), (3, 2300)):
            with self.subTest(sequence=sequence):
                self.make_datapath(1)
                self.clock.now += 4
                born_ms = self.clock.unix_ms() - uptime_ms
                self.datapath.handle_report(
                    builders.report(sequence=sequence, born_ms=born_ms)
                )
                self.assertTrue(self.datapath.load().knows_all_flows)

    def test_exit_notice_before_the_first_heartbeat_ends_no_flow(self):
        self.open()
        self.sent.clear()
        self.assertFalse(self.datapath.backend_server.note_exit('i-0'))
        self.assertEqual(self.resets(), [])
        self.assertTrue(self.datapath.load().accepts)

    def test_flows_of_a_backend_server_that_exits_are_reset(self):
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report())
        self.open()
        self.sent.clear()
        self.assertFalse(server.note_exit('i-9'))
        self.assertEqual(self.resets(), [])
        self.assertTrue(self.datapath.load().accepts)
        self.assertTrue(server.note_exit('i-1'))
        self.assertFalse(self.datapath.load().accepts)
        self.assertTrue(self.report_absent(has_socket=False))
        self.assertEqual(self.resets(), [builders.CLIENT])
        self.assertEqual(self.datapath.state, members_const.STATE_VACANT)
        # It has said so itself, so no later heartbeat revokes it.
        self.clock.now += 5 * server.heartbeat_s
        self.datapath.handle_report(builders.report(sequence=9))
        self.assertTrue(server.is_gone)

    def test_late_exit_notice_of_an_earlier_start_ends_no_flow(self):
        """FLOW: a notice names an identifier, which a later start may have."""
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report(born_ms=5000))
        self.datapath.handle_report(builders.report(born_ms=9000))
        flow = self.open()
        self.sent.clear()
        self.assertTrue(server.note_exit('i-1'))
        self.assertEqual(self.resets(), [])
        self.assertFalse(self.datapath.load().accepts)
        self.assertEqual(self.datapath.state, members_const.STATE_READY)
        for sequence in (2, 3):
            self.clock.now += server.heartbeat_s
            live = builders.report(born_ms=9000, sequence=sequence)
            is_changed = self.datapath.handle_report(live)
            self.assertEqual(is_changed, sequence == 3)
        self.assertTrue(self.datapath.load().accepts)
        self.forward(builders.datagram(flow, acknowledged=501))
        self.assertEqual(len(self.delivered), 1)

    def report_absent(self, has_socket=None, *, has_unread=False):
        """Report that the port of the backend server refused a connection.

        Args:
            has_socket: Whether a UDP socket is bound to the port; None if
                unknown.
            has_unread: Whether the socket holds packets that are not read.
        """
        self.sent.clear()
        state = None
        if has_socket is not None:
            state = udp_sockets.SocketState(has_socket, has_unread)
        return self.datapath.note_absent(self.clock.now, state)

    def leave(self, way):
        """Let the backend server leave, by the name of what it says."""
        server = self.datapath.backend_server
        if way == 'draining':
            report = builders.report(sequence=2, is_draining=True)
            self.datapath.handle_report(report)
        else:
            server.note_exit('i-1')
        if way == 'heartbeats go on':
            for sequence in (2, 3):
                self.clock.now += server.heartbeat_s
                self.datapath.handle_report(builders.report(sequence=sequence))

    def test_closed_listener_of_a_leaving_server_ends_no_open_flow(self):
        """FLOW: it is closed first, while open flows are still served."""
        for way in ('draining', 'exiting', 'heartbeats go on'):
            for has_socket in (None, True):
                with self.subTest(way=way, has_socket=has_socket):
                    self.make_datapath(1)
                    self.datapath.handle_report(builders.report())
                    flow = self.open()
                    self.leave(way)
                    self.clock.now += 8.4
                    self.report_absent(has_socket)
                    self.assertEqual(self.resets(), [])
                    self.assert_serves_only(flow)
                    # Its later heartbeats do not open it for new flows.
                    self.datapath.handle_report(
                        builders.report(sequence=4, is_draining=True)
                    )
                    self.assert_serves_only(flow)

    def assert_serves_only(self, flow):
        """Check that an open flow is served and no new one is opened."""
        self.forward(builders.datagram(flow, acknowledged=501))
        self.assertEqual(len(self.delivered), 1)
        self.sent.clear()
        self.from_server(flow, data=b'x')
        self.assertEqual(self.sent[-1][1], (builders.CLIENT, 9000))
        self.assertEqual(self.datapath.state, members_const.STATE_READY)
        self.assertFalse(self.datapath.load().accepts)
        self.forward(builders.datagram(builders.flow(40077), builders.SYN))
        self.assertEqual(self.delivered, [])
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )

    def test_closed_listener_of_a_leaving_server_answers_no_query(self):
        """FLOW: it may hold flows that a restarted agent has not seen."""
        live = builders.report(
            sequence=30, born_ms=self.clock.unix_ms() - 30_000
        )
        self.datapath.handle_report(live._replace(is_draining=True))
        packet = builders.datagram(self.flow, acknowledged=5)
        self.forward(packet, frame.FORWARD_QUERY)
        self.report_absent()
        self.assertEqual(self.returned(), [])
        self.assert_may_hold_others()

    def test_leaving_server_without_a_socket_has_ended(self):
        self.datapath.handle_report(builders.report())
        self.open()
        self.leave('exiting')
        self.report_absent(has_socket=True)
        self.clock.now += 0.25
        self.assertTrue(self.datapath.backend_server.should_check_presence())
        self.assertTrue(self.report_absent(has_socket=False))
        self.assertEqual(self.resets(), [builders.CLIENT])
        self.assertEqual(self.datapath.state, members_const.STATE_VACANT)

    def test_leaving_server_whose_flows_have_ended_is_vacant(self):
        """Otherwise it delays the lookups of lost flows."""
        for has_socket in (None, True):
            with self.subTest(has_socket=has_socket):
                self.make_datapath(1)
                born_ms = self.clock.unix_ms()
                self.datapath.handle_report(builders.report(born_ms=born_ms))
                flow = self.open()
                self.leave('exiting')
                self.assertFalse(self.report_absent(has_socket))
                self.from_server(flow, builders.ACK | builders.FIN)
                self.assertFalse(self.report_absent(has_socket))
                self.forward(builders.datagram(flow, builders.FIN))
                self.assertTrue(self.report_absent(has_socket))
                self.assertEqual(self.resets(), [])
                self.assertEqual(
                    self.datapath.state, members_const.STATE_VACANT
                )

    def test_listener_that_is_open_again_opens_flows(self):
        """Otherwise a late exit notice would stop new flows for good."""
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report())
        self.open()
        self.leave('exiting')
        self.report_absent()
        for sequence in (2, 3):
            self.clock.now += server.heartbeat_s
            self.datapath.handle_report(builders.report(sequence=sequence))
        self.assertFalse(self.datapath.load().accepts)
        server.note_listening()
        self.assertTrue(self.datapath.load().accepts)

    def deliver_after_closing(self):
        """Deliver data to a leaving server; return the idle and this flow."""
        self.datapath.handle_report(builders.report())
        idle, flow = self.open(40001), self.open(40002)
        self.leave('exiting')
        self.report_absent()
        self.clock.now += 0.25
        self.forward(builders.datagram(flow, acknowledged=501, data=b'x'))
        return idle, flow

    def test_unanswered_data_ends_the_flow_of_a_leaving_server(self):
        """Its client would wait until its deadline; idle flows stay open."""
        for has_socket in (None, True):
            with self.subTest(has_socket=has_socket):
                self.make_datapath(1)
                idle, flow = self.deliver_after_closing()
                for _ in range(2):
                    self.clock.now += 0.25
                    self.report_absent(has_socket)
                    self.assertEqual(self.resets(), [])
                # The client's retransmissions do not begin the time again.
                self.forward(
                    builders.datagram(flow, acknowledged=501, data=b'x')
                )
                self.clock.now += 0.25
                self.report_absent(has_socket)
                self.assertEqual(self.resets(), [builders.CLIENT])
                self.assertEqual(self.datapath.counts['flow lost'], 1)
                self.forward(builders.datagram(idle, acknowledged=501))
                self.assertEqual(len(self.delivered), 1)

    def test_any_sign_of_life_keeps_the_flows_of_a_leaving_server(self):
        """FLOW: it may serve another flow first."""
        for sign in ('packet', 'heartbeat'):
            with self.subTest(sign=sign):
                self.make_datapath(1)
                idle, flow = self.deliver_after_closing()
                for number in range(8):
                    self.clock.now += 0.25
                    if sign == 'packet' and number % 2:
                        self.from_server(idle)
                    elif number % 2:
                        report = builders.report(sequence=number + 2)
                        self.datapath.handle_report(report)
                    self.report_absent()
                    self.assertEqual(self.resets(), [])
                    self.forward(
                        builders.datagram(flow, acknowledged=501, data=b'x')
                    )

    def test_only_data_is_acknowledged(self):
        """FLOW: a backend server does not answer an acknowledgement."""
        self.datapath.handle_report(builders.report())
        flow = self.open()
        self.leave('exiting')
        for _ in range(8):
            self.report_absent()
            self.assertEqual(self.resets(), [])
            self.clock.now += 0.25
            self.forward(builders.datagram(flow, acknowledged=501))

    def test_pause_of_the_host_is_no_silence_of_a_leaving_server(self):
        """FLOW: after a pause it has had no time to answer."""
        self.deliver_after_closing()
        self.clock.now += 0.01
        self.report_absent()
        self.clock.now += 10
        for interval_s, count in ((0, 0), (0.01, 0), (0.01, 0), (0.25, 1)):
            self.clock.now += interval_s
            self.report_absent()
            self.assertEqual(len(self.resets()), count)

    def test_leaving_server_that_gets_no_processor_keeps_its_flows(self):
        """FLOW: a frozen one, or one on a busy host, reads nothing."""
        self.deliver_after_closing()
        for _ in range(8):
            self.clock.now += 0.25
            self.report_absent(has_socket=True, has_unread=True)
            self.assertEqual(self.resets(), [])
        # It reads again, but needs time to answer.
        for count in (0, 0, 1):
            self.clock.now += 0.25
            self.report_absent(has_socket=True)
            self.assertEqual(len(self.resets()), count)

    def test_restarted_agent_beside_a_leaving_server_answers_no_query(self):
        """FLOW: once all agents have said no, balancers reset the flow.

        Peers may tell of the drain after the first look at the listener.
        """
        for way in ('told before', 'told after', 'exit notice'):
            for has_socket in (None, True):
                with self.subTest(way=way, has_socket=has_socket):
                    self.make_datapath(1)
                    server = self.datapath.backend_server
                    if way == 'told before':
                        self.datapath.note_reported_draining()
                    elif way == 'exit notice':
                        server.note_exit('i-1')
                    self.report_absent(has_socket)
                    if way == 'told after':
                        # A bound socket has kept it from a conclusion before.
                        self.assertEqual(
                            self.datapath.note_reported_draining(),
                            has_socket is None,
                        )
                    self.assert_may_hold_others()
                    self.assert_serves_only_unseen()
                    self.clock.now += 0.25
                    self.assertTrue(server.should_check_presence())
                    self.assertTrue(self.report_absent(has_socket=False))
                    self.assertEqual(
                        self.returned(), [(frame.REASON_NOT_HELD, BALANCER)]
                    )
                    self.assertFalse(self.datapath.note_reported_draining())
                    self.assertEqual(
                        self.datapath.state, members_const.STATE_VACANT
                    )

    def test_agent_that_nobody_tells_of_a_drain_answers_no_query(self):
        """FLOW: all instances were killed while a backend server was leaving.

        Its exit notice is lost with them. The socket that it serves its open
        flows on is the only sign of it.
        """
        self.report_absent(has_socket=True)
        self.assertNotEqual(self.datapath.state, members_const.STATE_VACANT)
        self.assert_may_hold_others()
        self.assertTrue(self.report_absent(has_socket=False))
        self.assertTrue(self.datapath.load().knows_all_flows)

    def assert_serves_only_unseen(self):
        """Check that an unseen flow is served and no new one is opened."""
        flow = builders.flow(40055)
        self.sent.clear()
        self.from_server(flow, data=b'x')
        self.assertEqual(self.sent[-1][1], (builders.CLIENT, 9000))
        self.assert_serves_only(flow)

    def test_exit_notice_before_the_first_heartbeat_is_remembered(self):
        """FLOW: the notice reaches a restarted agent before a heartbeat."""
        self.datapath.backend_server.note_exit('i-1')
        self.datapath.handle_report(
            builders.report(sequence=30, born_ms=self.clock.unix_ms() - 30_000)
        )
        self.open()
        self.report_absent()
        self.assertEqual(self.resets(), [])

    def test_restarted_agent_without_a_backend_server_holds_nothing(self):
        """After a loss of power its answer ends the lookups of lost flows.

        A report of an earlier drain does not change what the kernel says.
        """
        self.assertTrue(self.report_absent(has_socket=False))
        self.assertFalse(self.datapath.note_reported_draining())
        self.assertTrue(self.datapath.load().knows_all_flows)

    def test_next_backend_server_ends_the_flows_of_a_leaving_one(self):
        self.datapath.handle_report(builders.report())
        self.open()
        self.leave('exiting')
        self.clock.now += 1
        self.report_absent()
        self.clock.now += 3
        following = builders.report(
            identifier='i-2', born_ms=self.clock.unix_ms() - 100
        )
        self.sent.clear()
        self.assertTrue(self.datapath.handle_report(following))
        self.assertEqual(self.resets(), [builders.CLIENT])
        self.assertTrue(self.datapath.load().accepts)

    def test_an_absent_backend_server_holds_nothing(self):
        """An agent that does not know all flows delays all lookups."""
        packet = builders.datagram(self.flow, acknowledged=900)
        self.assertTrue(self.datapath.backend_server.should_check_presence())
        self.assertTrue(self.report_absent())
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])
        self.assertFalse(self.datapath.load().accepts)
        self.assertEqual(self.datapath.state, members_const.STATE_VACANT)
        self.forward(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(
            self.returned(), [(frame.REASON_NOT_ACCEPTING, BALANCER)]
        )
        # All flows of a backend server that starts now pass through the agent.
        self.clock.now += 1
        self.datapath.handle_report(builders.report(sequence=4))
        self.assertTrue(self.datapath.load().accepts)
        self.assertEqual(self.datapath.state, members_const.STATE_READY)
        self.forward(packet, frame.FORWARD_QUERY | frame.FORWARD_PROBE)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])

    def test_flows_of_a_backend_server_found_absent_are_reset(self):
        self.datapath.handle_report(builders.report())
        self.open(40001)
        self.clock.now += 5
        checked_at = self.clock.now
        self.clock.now += 0.01
        self.open(40002)
        self.sent.clear()
        self.assertTrue(self.datapath.note_absent(checked_at))
        self.assertEqual(self.resets(), [builders.CLIENT])
        self.assertTrue(self.datapath.load().is_draining)

    def test_one_that_reported_since_is_not_absent(self):
        self.clock.now += 1
        self.datapath.handle_report(builders.report())
        self.assertFalse(self.datapath.note_absent(self.clock.now - 0.1))
        self.assertTrue(self.datapath.load().accepts)

    def test_late_heartbeat_does_not_end_the_absence(self):
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report())
        self.clock.now += 0.1
        self.report_absent()
        self.clock.now += 0.1
        self.datapath.handle_report(builders.report(sequence=2))
        self.assertTrue(server.is_gone)
        self.clock.now += 2 * server.heartbeat_s
        # The change is announced even if it is draining and still holds flows.
        later = builders.report(sequence=3, is_draining=True)
        self.assertTrue(self.datapath.handle_report(later))
        self.assertEqual(self.datapath.state, members_const.STATE_READY)

    def test_agent_that_has_left_stays_gone(self):
        """The delayed reset after its backend server's exit keeps the state."""
        self.datapath.handle_report(builders.report())
        self.datapath.backend_server.note_exit('i-1')
        self.report_absent(has_socket=False)
        self.assertEqual(self.datapath.state, members_const.STATE_VACANT)
        self.datapath.is_leaving = True
        self.assertEqual(self.datapath.state, members_const.STATE_LEAVING)
        self.datapath.has_left = True
        self.report_absent(has_socket=False)
        self.assertEqual(self.datapath.state, members_const.STATE_GONE)

    def test_presence_is_checked_in_doubt_and_rarely(self):
        server = self.datapath.backend_server
        self.datapath.handle_report(builders.report())
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

    def test_silent_backend_server_gets_few_openings(self):
        self.datapath.handle_report(builders.report())
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

    def test_malformed_frames_are_ignored(self):
        for datagram in (b'\x01', b'\x01\x00', b'\x02' + bytes(60), b'\x07'):
            self.datapath.on_frame(datagram, BALANCER)
        self.forward(b'short')
        self.assertEqual((self.sent, self.delivered), ([], []))

    def hear_balancers(self, uptimes_s):
        """Receive a full heartbeat of balancers, and for how long they run."""
        for number, uptime_s in enumerate(uptimes_s, start=1):
            address = f'10.0.1.{number}'
            heartbeat = messages.Heartbeat(
                builders.record(
                    f'front-{number}',
                    kind=members.KIND_BALANCER,
                    service='',
                    address=address,
                    incarnation=number,
                ),
                None,
                self.configuration.snapshot(with_changes=False),
                wants_reply=False,
            )
            uptime = frame.pack_uptime(frame.Uptime(number, uptime_s))
            for datagram in (messages.encode(heartbeat), uptime):
                self.mesh.on_datagram(datagram, (address, 7000))

    def start_beside_backend_server(
        self, uptimes_s, age_s, *, is_informed=True
    ):
        """Start an agent, and a backend server shortly before or after it.

        The backend server has called the agent in vain, so the number of its
        heartbeats tells nothing.

        Args:
            uptimes_s: Seconds for which the balancers have been running.
            age_s: Age of the backend server when the agent has started.
            is_informed: Whether the agent has read members from the store.
        """
        self.make_datapath(1)
        born_ms = self.clock.unix_ms() - round(age_s * 1000)
        self.clock.now += 0.3
        self.datapath.handle_report(
            builders.report(sequence=5, born_ms=born_ms)
        )
        self.hear_balancers(uptimes_s)
        if is_informed:
            self.mesh.note_members_read()
        packet = builders.datagram(builders.flow(40099), acknowledged=7)
        self.forward(packet, frame.FORWARD_QUERY)
        self.datapath.check_mass_restart()

    def test_flows_lost_with_all_power_are_denied_at_once(self):
        """Guards against searches that last until FlowTtlS.

        Backend servers started 0.18 s before their agents, which then could
        not tell whether they hold a flow; clients waited to their deadline.
        """
        self.start_beside_backend_server([0.3, 0.4, 0.35, 0.5], age_s=0.18)
        self.assertTrue(self.datapath.load().knows_all_flows)
        self.assertEqual(self.returned(), [(frame.REASON_NOT_HELD, BALANCER)])

    def test_agent_restarted_alone_denies_no_flow(self):
        """FLOW: an earlier agent has passed flows to the backend server."""
        self.start_beside_backend_server([600.0, 600, 600, 600], age_s=0.18)
        self.assertFalse(self.datapath.load().knows_all_flows)

    def test_agent_that_starts_again_after_all_started_denies_no_flow(self):
        """FLOW: the first agent after the restart has passed flows to it."""
        self.start_beside_backend_server([2.3, 2.4, 2.35, 2.5], age_s=1.9)
        self.assertFalse(self.datapath.load().knows_all_flows)

    def test_agent_that_has_met_few_instances_denies_no_flow(self):
        """FLOW: one other instance may have started with it by chance."""
        self.start_beside_backend_server([0.3], age_s=0.18, is_informed=False)
        self.assertFalse(self.datapath.load().knows_all_flows)

    def test_backend_server_that_outlived_the_agents_may_hold_flows(self):
        """FLOW: all processes were killed, the backend servers were not."""
        for age_s in (1.0, 30.0):
            with self.subTest(age_s=age_s):
                self.start_beside_backend_server([0.3, 0.4, 0.35], age_s=age_s)
                self.assertFalse(self.datapath.load().knows_all_flows)
