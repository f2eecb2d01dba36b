"""Cost of the lookups of flows that are lost with the power."""

import typing
from unittest import mock

from kumquatport.connection.packets import frame, link_queue, request_class
from kumquatport.process.packets import (
    const,
    flow_lookup,
    lookup_questions,
    messages,
)
from tests.builders import balancers
from tests.builders import packets as builders

AGENTS = {f'side-{n:02}': f'10.0.1.{n}' for n in range(1, 51)}
NAMES = {address: name for name, address in AGENTS.items()}
WINDOW = 16
RETRANSMISSIONS_S = (0.2, 0.6, 1.4)


class LookupTestCase(balancers.BalancerTestCase):
    """A balancer with 50 agents; there are no other balancers.

    Attributes:
        held: Agent that holds each flow.
        half_open: Agent that has each flow half open.
        delay_s: Seconds from a frame to its answer.
        silent: Agents that answer nothing.
        is_former_build: Whether the agents ignore questions.
        knows_all: Whether the agents know all their flows.
        returns_question: Whether agents return questions that only a packet
            decides.
        delivered: Sequence numbers that each agent was sent in packets.
        resets: Flows that were reset.
    """

    def setUp(self):
        super().setUp()
        self.held: dict[bytes, str] = {}
        self.half_open: dict[bytes, str] = {}
        self.delay_s = 0.005
        self.silent: set[str] = set()
        self.knows_all = True
        self.returns_question = True
        self.is_former_build = False
        self.delivered: dict[str, list[int]] = {}
        self.resets: list[bytes] = []
        self.learn()
        self.mesh.note_members_listed(AGENTS)
        self.now += const.MEMBERS_SETTLED_S + 0.1
        self.learn()
        self.sent.clear()

    def learn(self, **load: typing.Any):
        for instance, address in AGENTS.items():
            heartbeat = messages.Heartbeat(
                builders.record(instance, address=address),
                builders.load(**load),
                self.configuration.snapshot(with_changes=False),
                wants_reply=False,
            )
            self.mesh.on_datagram(messages.encode(heartbeat), (address, 7000))

    def _send(self, datagram, endpoint):
        super()._send(datagram, endpoint)
        address, port = endpoint
        if port == 9000:
            reverse = builders.CODEC.parse_client_packet(datagram).flow
            self.resets.append(
                reverse[4:8] + reverse[:4] + reverse[10:] + reverse[8:10]
            )
        elif address in NAMES:
            self._call_later(
                self.delay_s, lambda: self.reply(datagram, address)
            )
        return True

    def reply(self, datagram, address):
        """Answer a frame as the agent at an address does."""
        name = NAMES[address]
        if name in self.silent:
            return
        if datagram[0] == frame.KIND_HOLDS and not self.is_former_build:
            flows = frame.unpack_flows(datagram)
            known = {**self.half_open, **self.held}
            held = [flow for flow in flows if self.held.get(flow) == name]
            denied = [flow for flow in flows if known.get(flow) != name]
            undecided = [
                flow for flow in flows if self.half_open.get(flow) == name
            ]
            for kind, rows in (
                (frame.KIND_HELD, held),
                (frame.KIND_NOT_HELD, denied if self.knows_all else []),
                (frame.KIND_HOLDS, undecided if self.returns_question else []),
            ):
                if rows:
                    self.forwarder.on_frame(
                        frame.pack_flows(kind, rows), address
                    )
        elif datagram[0] == frame.KIND_FORWARD:
            self.reply_to_packet(frame.unpack(datagram), address)

    def reply_to_packet(self, message, address):
        packet = builders.CODEC.parse_client_packet(message.datagram)
        name = NAMES[address]
        answer = frame.pack(
            frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, message.datagram
        )
        if {**self.half_open, **self.held}.get(packet.flow) == name:
            self.delivered.setdefault(name, []).append(packet.sequence)
            if not message.detail & frame.FORWARD_QUERY:
                return
            answer = frame.pack_flows(frame.KIND_HELD, [packet.flow])
        self.forwarder.on_frame(answer, address)

    def client(self, flow, sequence=1, acknowledged=5, size=1200):
        datagram = builders.datagram(
            flow,
            sequence=sequence,
            acknowledged=acknowledged,
            data=bytes(size),
        )
        self.forwarder.on_client(datagram, (builders.CLIENT, 9000))

    def send_window(self, flow):
        for number in range(WINDOW):
            self.client(flow, 1 + 1200 * number)

    def upload(self, flow):
        """Send 16 packets, and again until the flow is reset."""
        self.send_window(flow)
        for delay_s in RETRANSMISSIONS_S:
            self._call_later(
                delay_s,
                lambda: flow in self.resets or self.send_window(flow),
            )

    def agent_traffic(self):
        """Return the number and bytes of the frames sent to agents."""
        sizes = [
            len(datagram)
            for datagram, (address, _) in self.sent
            if address in NAMES
        ]
        return len(sizes), sum(sizes)


class LostFlowsTest(LookupTestCase):
    """Uploads whose flows no agent holds."""

    def test_lost_uploads_are_reset_once_at_a_bounded_cost(self):
        """Lookups filled links of 5 Mbit/s for 16 s after a loss of power."""
        flows = [builders.flow(port) for port in range(40000, 40040)]
        for flow in flows:
            self.upload(flow)
        self.run_until(self.now + 2.0)
        self.assertEqual(sorted(self.resets), sorted(flows))
        messages_sent, sent_bytes = self.agent_traffic()
        # Each agent is asked about the flows for which it is likely, then about
        # the others.
        self.assertLessEqual(messages_sent, 4 * len(AGENTS))
        self.assertLess(sent_bytes / 40, 1_000)

    def test_kept_packets_reach_the_holder_once_in_order(self):
        """FLOW: a planned move of flows must not cost a retransmission."""
        for holder in ('side-01', 'side-33', 'side-50'):
            with self.subTest(holder=holder):
                flow = builders.flow(41000 + int(holder[-2:]))
                self.held[flow] = holder
                self.send_window(flow)
                self.run_until(self.now + 0.19)
                self.assertEqual(
                    self.delivered[holder],
                    [1 + 1200 * number for number in range(WINDOW)],
                )
        self.assertEqual(self.resets, [])

    def test_late_answer_of_an_agent_that_denied_is_ignored(self):
        """FLOW: packets would go to it and come back for as long."""
        flow = builders.flow()
        self.silent = set(AGENTS)
        self.client(flow)
        self.run_until(self.now)
        first = self.asked()[0][0]
        packet = builders.datagram(flow, acknowledged=5)
        self.forwarder.on_frame(
            frame.pack(frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, packet),
            AGENTS[first],
        )
        self.forwarder.on_frame(
            frame.pack_flows(frame.KIND_HELD, [flow]), AGENTS[first]
        )
        self.sent.clear()
        self.client(flow, 1201)
        self.run_until(self.now + 0.3)
        self.assertTrue(self.asked()[0])
        self.assertNotIn(first, self.asked()[0])

    def asked(self):
        """Return the agents that were sent frames, and the frames' kinds."""
        rows = [row for row in self.sent if row[1][0] in NAMES]
        return (
            [NAMES[address] for _, (address, _) in rows],
            {datagram[0] for datagram, _ in rows},
        )

    def test_lookup_goes_on_without_the_next_packet_of_the_client(self):
        """FLOW: the client's next packet may come only 1.6 s later."""
        flow = builders.flow()
        self.held[flow] = 'side-50'
        self.client(flow)
        self.run_until(self.now)
        likely = set(self.asked()[0])
        self.assertLess(len(likely), 10)
        self.held[flow] = min(set(AGENTS) - likely)
        self.silent = set(likely)
        self.run_until(self.now + 0.15)
        self.assertEqual(self.delivered, {self.held[flow]: [1]})

    def test_opening_packet_drops_what_is_kept(self):
        """A client uses its port again: its former data are not the flow's."""
        flow = builders.flow()
        self.silent = set(AGENTS)
        self.client(flow)
        opening = builders.datagram(flow, builders.SYN)
        self.forwarder.on_client(opening, (builders.CLIENT, 9000))
        self.sent.clear()
        holder = 'side-07'
        self.forwarder.on_frame(
            frame.pack_flows(frame.KIND_HELD, [flow]), AGENTS[holder]
        )
        self.assertEqual(self.sent, [])

    def test_lost_uploads_are_reset_where_agents_are_of_a_former_build(self):
        """Clients would wait for the end of their deadlines."""
        self.is_former_build = True
        flows = [builders.flow(port) for port in range(40000, 40040)]
        for flow in flows:
            self.upload(flow)
        self.run_until(self.now + 2.0)
        self.assertEqual(sorted(self.resets), sorted(flows))
        self.assertLess(self.agent_traffic()[1], 2 * 40 * len(AGENTS) * 1300)

    def test_half_open_flow_is_found_with_its_packet(self):
        """FLOW: the key does not tell whose flow it is, so nobody denies."""
        for port, returns_question, limit_s in (
            (41001, True, 0.05),
            (41002, False, 0.5),
        ):
            with self.subTest(returns_question=returns_question):
                flow = builders.flow(port)
                self.returns_question = returns_question
                self.half_open = {flow: 'side-33'}
                self.delivered.clear()
                self.sent.clear()
                self.send_window(flow)
                self.run_until(self.now + limit_s)
                self.assertEqual(
                    sorted(self.delivered['side-33']),
                    [1 + 1200 * number for number in range(WINDOW)],
                )
                packets_sent = [
                    endpoint[0]
                    for datagram, endpoint in self.sent
                    if datagram[0] == frame.KIND_FORWARD
                ]
                self.assertEqual(set(packets_sent), {AGENTS['side-33']})
        self.assertEqual(self.resets, [])

    def test_agents_that_do_not_know_all_flows_are_sent_the_packet(self):
        """FLOW: only the backend server can tell, and two are tested."""
        self.learn(knows_all_flows=False)
        self.knows_all = False
        self.silent = set(AGENTS)
        self.send_window(builders.flow())
        self.run_until(self.now + 1.5)
        self.assertEqual(self.asked()[1], {frame.KIND_FORWARD})
        details = [
            frame.unpack(datagram).detail
            for datagram, (address, _) in self.sent
            if address in NAMES
        ]
        self.assertEqual(len(details), len(AGENTS))
        probes = [each for each in details if each & frame.FORWARD_PROBE]
        self.assertEqual(len(probes), flow_lookup.MAX_PROBES)
        self.assertEqual(self.resets, [])

    def test_no_reset_while_one_agent_is_silent(self):
        """FLOW: it may hold the flow; lost answers are no denials."""
        self.silent = {'side-20'}
        flow = builders.flow()
        self.upload(flow)
        self.run_until(self.now + 3.0)
        self.assertEqual(self.resets, [])

    def test_denial_that_was_not_asked_for_is_ignored(self):
        """FLOW: it may answer a question about a former flow."""
        flow = builders.flow()
        self.silent = set(AGENTS)
        opening = builders.datagram(flow, builders.SYN)
        self.forwarder.on_client(opening, (builders.CLIENT, 9000))
        denial = frame.pack_flows(frame.KIND_NOT_HELD, [flow])
        for address in NAMES:
            self.forwarder.on_frame(denial, address)
        self.sent.clear()
        self.client(flow)
        self.run_until(self.now)
        self.assertEqual(self.asked()[1], {frame.KIND_FORWARD})
        self.assertEqual(self.resets, [])

    def test_packets_that_ask_leave_a_narrow_link_last(self):
        """They displaced packets of open flows, also their own answers."""
        self.learn(knows_all_flows=False)
        for size, held_at in ((0, 'side-03'), (1200, 'side-04')):
            flow = builders.flow(42000 + size)
            with mock.patch.object(self.forwarder.link, 'send') as send:
                self.client(flow, size=size)
                self.client(flow, 1 + 1200, size=size)
                asked = {call.args[1] for call in send.mock_calls}
                send.reset_mock()
                self.forwarder.on_frame(
                    frame.pack_flows(frame.KIND_HELD, [flow]), AGENTS[held_at]
                )
                found = {call.args[1] for call in send.mock_calls}
            self.assertEqual(asked, {link_queue.LOOKUP})
            self.assertEqual(found, {request_class.UNSTATED_PRIORITY})

    def test_small_packets_that_ask_are_not_urgent(self):
        self.forwarder.link.apply_rate(10_000.0)
        self.learn(knows_all_flows=False)
        self.client(builders.flow(), size=0)
        self.assertEqual(
            set(self.forwarder.link._queue._ranks), {link_queue.LOOKUP}
        )

    def test_questions_in_a_second_are_limited(self):
        """A narrow link must not be filled by questions either."""
        self.silent = set(AGENTS)
        limit = lookup_questions.MAX_PER_S
        for port in range(2 * limit // 8):
            self.client(builders.flow(20000 + port), size=10)
        self.run_until(self.now + 0.09)
        asked = sum(
            len(frame.unpack_flows(datagram)) for datagram, _ in self.sent
        )
        self.assertEqual(asked, limit)

    def test_questions_that_wait_end_with_their_lookup(self):
        """They would use up the limit, and be about a former flow."""
        flow = builders.flow()
        self.silent = set(AGENTS)
        self.client(flow)
        opening = builders.datagram(flow, builders.SYN)
        self.forwarder.on_client(opening, (builders.CLIENT, 9000))
        self.run_until(self.now + 0.3)
        self.assertEqual(self.asked()[1], {frame.KIND_FORWARD})
