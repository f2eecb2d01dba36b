"""Cost of the lookups of flows that are lost with the power."""

import typing

from kumquatport.connection.packets import frame
from kumquatport.process.packets import const, messages
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
        knows_all: Whether the agents know all their flows.
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
        """Answer a packet as the agent at an address does."""
        if NAMES[address] in self.silent or datagram[0] != frame.KIND_FORWARD:
            return
        message = frame.unpack(datagram)
        packet = builders.CODEC.parse_client_packet(message.datagram)
        name = NAMES[address]
        answer = frame.pack(
            frame.KIND_RETURN, frame.REASON_NOT_HELD, 1, message.datagram
        )
        if self.held.get(packet.flow) == name:
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
        self.assertLessEqual(messages_sent, 40 * len(AGENTS))
        self.assertLess(sent_bytes, 40 * len(AGENTS) * 1300)

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
        (first, *_), _ = self.asked()
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
