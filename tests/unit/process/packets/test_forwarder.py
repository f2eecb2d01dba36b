"""The balancer's packets, one by one."""

import itertools

from kumquatport.connection.packets import frame
from kumquatport.process.packets import (
    const,
    flow_lookup,
    messages,
)
from kumquatport.version.members import const as members_const
from tests.builders import balancers
from tests.builders import packets as builders

AGENTS = {'side-1': '10.0.0.11', 'side-2': '10.0.0.12', 'side-3': '10.0.0.13'}


class ForwarderTest(balancers.BalancerTestCase):
    """Where packets go, and when a client is told that its flow is lost."""

    def setUp(self):
        super().setUp()
        self.flow = builders.flow()
        self.ports = itertools.count(50000)

    def hear(self, instance, incarnation=1, state='ready', **load):
        """Take a heartbeat of an agent."""
        address = AGENTS[instance]
        sequence = 1 if state == 'ready' else 2
        record = builders.record(
            instance, address=address, incarnation=incarnation
        )
        beat = messages.Heartbeat(
            record._replace(state=state, sequence=sequence),
            builders.load(**load),
            self.beliefs.snapshot(with_changes=False),
            wants_reply=False,
        )
        self.mesh.on_datagram(messages.encode(beat), (address, 7000))

    def settle(self, *instances):
        """Know the agents, for long enough to know that there is no other."""
        for instance in instances or AGENTS:
            self.hear(instance)
        self.mesh.note_members_listed(instances or AGENTS)
        self.now += const.MEMBERS_SETTLED_S + 0.1
        for instance in instances or AGENTS:
            self.hear(instance)

    def client(self, datagram):
        self.sent.clear()
        self.forwarder.on_client(datagram, (builders.CLIENT, 9000))

    def back(self, instance, datagram, reason=frame.REASON_NOT_HELD):
        self.sent.clear()
        message = frame.pack(frame.KIND_RETURN, reason, 1, datagram)
        self.forwarder.on_frame(message, AGENTS[instance])

    def forwards(self):
        """Return the agents that were sent a packet, with the detail."""
        names = {address: name for name, address in AGENTS.items()}
        return [
            (names[endpoint[0]], frame.unpack(datagram).detail)
            for datagram, endpoint in self.sent
            if datagram[0] == frame.KIND_FORWARD
        ]

    def resets(self):
        return [
            datagram
            for datagram, endpoint in self.sent
            if endpoint == (builders.CLIENT, 9000)
        ]

    def test_packets_follow_the_opening_one(self):
        self.settle()
        self.client(builders.datagram(self.flow, builders.SYN))
        ((chosen, _),) = self.forwards()
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(self.forwards(), [(chosen, 0)])

    def open_many(self, count, answering=(), **load):
        """Open flows a hundredth of a second apart; return who got them.

        Some agents answer each of them with their load.
        """
        chosen = []
        for _ in range(count):
            self.now += 0.01
            for instance in answering:
                self.hear(instance, **load)
            flow = builders.flow(next(self.ports))
            self.client(builders.datagram(flow, builders.SYN))
            chosen += self.forwards()
        return chosen

    def test_an_agent_that_leaves_an_offer_unanswered_is_passed_over(self):
        """Killed agents were offered flows until heartbeats were missing.

        The others are busy, so it would be chosen by its last load.
        """
        self.settle()
        self.now += const.LOAD_REQUEST_AGE_S
        first = self.open_many(30)
        silent = {
            name for name, detail in first if detail & frame.FORWARD_REPORT_LOAD
        }
        self.assertEqual(silent, set(AGENTS))
        self.now += const.OFFER_TIMEOUT_S
        answering = ('side-2', 'side-3')
        later = self.open_many(30, answering, busy=20, flows=20)
        self.assertNotIn('side-1', {name for name, _ in later})
        last = self.open_many(30, answering=AGENTS)
        self.assertIn('side-1', {name for name, _ in last})

    def test_offers_to_an_agent_that_was_just_heard_ask_for_nothing(self):
        self.settle()
        self.now += const.LOAD_REQUEST_AGE_S / 2
        self.assertEqual({detail for _, detail in self.open_many(1)}, {0})

    def test_a_copy_goes_to_another_agent_and_then_the_holder_settles(self):
        self.settle()
        self.client(builders.datagram(self.flow, builders.SYN))
        ((first, _),) = self.forwards()
        self.client(builders.datagram(self.flow, builders.SYN, acknowledged=1))
        ((second, _),) = self.forwards()
        self.assertNotEqual(first, second)
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(
            self.forwards(),
            [(first, frame.FORWARD_QUERY), (second, frame.FORWARD_QUERY)],
        )
        held = frame.pack_flows(frame.KIND_HELD, [self.flow])
        self.forwarder.on_frame(held, AGENTS[second])
        self.client(builders.datagram(self.flow, acknowledged=6))
        self.assertEqual(self.forwards(), [(second, 0)])

    def test_an_agent_without_a_backend_server_holds_nothing(self):
        """It came back alone, was taken away, and held up all searches."""
        self.settle()
        vacant = members_const.STATE_VACANT
        self.hear('side-3', state=vacant, accepts=False)
        self.now += 60
        self.hear('side-1')
        self.hear('side-2')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        self.assertEqual(
            sorted(self.forwards()),
            [('side-1', frame.FORWARD_QUERY), ('side-2', frame.FORWARD_QUERY)],
        )
        self.back('side-1', packet)
        self.assertEqual(self.resets(), [])
        self.back('side-2', packet)
        self.assertEqual(len(self.resets()), 1)

    def test_an_unknown_flow_is_asked_for_everywhere(self):
        self.settle()
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(
            sorted(self.forwards()),
            [(name, frame.FORWARD_QUERY) for name in sorted(AGENTS)],
        )

    def test_a_flow_that_nobody_holds_is_reset_at_once(self):
        self.settle()
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        for instance in ('side-1', 'side-2'):
            self.back(instance, packet)
            self.assertEqual(self.resets(), [])
        self.back('side-3', packet)
        self.assertEqual(len(self.resets()), 1)

    def test_no_reset_while_one_has_not_answered(self):
        self.settle()
        packet = builders.datagram(self.flow, acknowledged=5)
        for _ in range(3):
            self.client(packet)
            self.back('side-1', packet)
            self.back('side-2', packet)
        self.assertEqual(self.resets(), [])

    def test_no_reset_before_all_agents_are_known(self):
        """A balancer that just started knew two of three (grown trouble-1)."""
        self.settle('side-1', 'side-2')
        self.mesh = None
        self.setUp()
        self.hear('side-1')
        self.hear('side-2')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        self.back('side-1', packet)
        self.back('side-2', packet)
        self.assertEqual(self.resets(), [])
        self.hear('side-3')
        self.client(packet)
        self.assertEqual(self.forwards(), [('side-3', frame.FORWARD_QUERY)])

    def test_what_the_store_lists_is_all(self):
        """After a loss of power resets waited 1.1 s (abra-grown trouble-1)."""
        self.hear('side-1')
        self.mesh.note_members_listed(AGENTS)
        self.hear('side-2')
        self.hear('side-3')
        self.mesh.note_members_listed(AGENTS)
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        for instance in AGENTS:
            self.back(instance, packet)
        self.assertEqual(len(self.resets()), 1)

    def test_an_agent_that_came_back_without_backend_server_is_no_news(self):
        self.hear('side-1')
        self.hear('side-2')
        self.mesh.note_members_listed(('side-1', 'side-2'))
        self.hear('side-3', state='vacant')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        self.back('side-1', packet)
        self.back('side-2', packet)
        self.assertEqual(len(self.resets()), 1)

    def test_no_reset_just_after_an_agent_that_the_store_did_not_list(self):
        self.hear('side-1')
        self.hear('side-2')
        self.mesh.note_members_listed(('side-1', 'side-2'))
        self.hear('side-3')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        for instance in AGENTS:
            self.back(instance, packet)
        self.assertEqual(self.resets(), [])
        self.now += const.MEMBERS_SETTLED_S
        for instance in AGENTS:
            self.hear(instance)
        self.client(packet)
        self.assertEqual(len(self.resets()), 1)

    def test_tests_are_few_while_the_holder_may_be_out_of_reach(self):
        self.settle()
        self.hear('side-1', knows_all_flows=False)
        self.hear('side-2', knows_all_flows=False)
        packet = builders.datagram(self.flow, acknowledged=5)
        self.now += 0.5
        self.hear('side-1', knows_all_flows=False)
        self.hear('side-2', knows_all_flows=False)
        self.now += 0.8
        self.hear('side-1', knows_all_flows=False)
        self.hear('side-2', knows_all_flows=False)
        tested = 0
        for _ in range(4):
            self.client(packet)
            tested += sum(
                bool(detail & frame.FORWARD_PROBE)
                for _, detail in self.forwards()
            )
        self.assertLessEqual(tested, flow_lookup.MAX_PROBES)

    def test_a_returned_opening_packet_tries_the_others(self):
        self.settle()
        packet = builders.datagram(self.flow, builders.SYN)
        self.client(packet)
        tried = []
        for _ in range(3):
            ((instance, _),) = self.forwards()
            tried.append(instance)
            self.back(instance, packet, frame.REASON_NOT_ACCEPTING)
        self.assertEqual(sorted(tried), sorted(AGENTS))
        self.assertEqual(self.forwards(), [])

    def test_nobody_takes_new_flows(self):
        """Known to be closed for good: refused at once, as not run."""
        self.settle()
        self.now += 5
        for instance in AGENTS:
            self.hear(instance, accepts=False)
        self.client(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(len(self.resets()), 1)

    def test_no_route(self):
        self.settle()
        other = builders.flow(service=('198.18.9.9', 443))
        self.client(builders.datagram(other, builders.SYN))
        self.assertEqual(len(self.resets()), 1)
        self.client(builders.datagram(other, builders.RST))
        self.assertEqual(self.resets(), [])

    def test_domains_out_are_offered_nothing(self):
        self.settle()
        self.beliefs.update_domains(9, ('a',), 'test')
        self.client(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(self.forwards(), [])

    def test_a_departed_agent_is_not_asked(self):
        self.settle()
        self.client(builders.datagram(self.flow, builders.SYN))
        ((chosen, _),) = self.forwards()
        record = self.mesh.registry.get(chosen)
        gone = record._replace(
            state=members_const.STATE_GONE, sequence=record.sequence + 1
        )
        self.mesh.registry.merge(gone)
        self.client(builders.datagram(self.flow, acknowledged=5))
        asked = {instance for instance, _ in self.forwards()}
        self.assertEqual(asked, set(AGENTS) - {chosen})

    def test_flows_are_told_to_an_agent_that_starts_again(self):
        self.settle()
        self.forwarder.on_frame(
            frame.pack_flows(frame.KIND_HELD, [self.flow]), AGENTS['side-2']
        )
        self.mesh.on_peer_started = self.forwarder.on_peer_started
        self.sent.clear()
        self.hear('side-2', incarnation=2)
        told = [
            frame.unpack_flows(datagram)
            for datagram, _ in self.sent
            if datagram[0] == frame.KIND_HELD
        ]
        self.assertEqual(told, [[self.flow]])
