"""Tests of the forwarder, packet by packet."""

import itertools
from unittest import mock

from kumquatport.connection.packets import frame, request_class
from kumquatport.connection.packets import packet as packets
from kumquatport.process.packets import (
    const,
    flow_lookup,
    messages,
)
from kumquatport.version import routes
from kumquatport.version.members import const as members_const
from tests.builders import balancers
from tests.builders import packets as builders

AGENTS = {'side-1': '10.0.0.11', 'side-2': '10.0.0.12', 'side-3': '10.0.0.13'}


class ForwarderTest(balancers.BalancerTestCase):
    """Where packets are forwarded, and when a flow is reset."""

    def setUp(self):
        super().setUp()
        self.flow = builders.flow()
        self.ports = itertools.count(50000)

    def send_heartbeat(self, instance, incarnation=1, state='ready', **load):
        """Deliver a heartbeat of an agent."""
        address = AGENTS[instance]
        sequence = 1 if state == 'ready' else 2
        record = builders.record(
            instance, address=address, incarnation=incarnation
        )
        heartbeat = messages.Heartbeat(
            record._replace(state=state, sequence=sequence),
            builders.load(**load),
            self.configuration.snapshot(with_changes=False),
            wants_reply=False,
        )
        self.mesh.on_datagram(messages.encode(heartbeat), (address, 7000))

    def learn_agents(self, *instances):
        """Learn the agents, and wait until no others are expected."""
        for instance in instances or AGENTS:
            self.send_heartbeat(instance)
        self.mesh.note_members_listed(instances or AGENTS)
        self.now += const.MEMBERS_SETTLED_S + 0.1
        for instance in instances or AGENTS:
            self.send_heartbeat(instance)

    def client(self, datagram):
        self.sent.clear()
        self.forwarder.on_client(datagram, (builders.CLIENT, 9000))
        self.run_until(self.now)

    def asked(self):
        """Return the agents that are asked whether they hold the flow."""
        names = {address: name for name, address in AGENTS.items()}
        return [
            names[endpoint[0]]
            for datagram, endpoint in self.sent
            if datagram == frame.pack_flows(frame.KIND_HOLDS, [self.flow])
        ]

    def return_packet(self, instance, datagram, reason=frame.REASON_NOT_HELD):
        self.sent.clear()
        message = frame.pack(frame.KIND_RETURN, reason, 1, datagram)
        self.forwarder.on_frame(message, AGENTS[instance])

    def forwards(self):
        """Return the agent and frame detail of each forwarded packet."""
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

    def test_link_gets_the_priority_of_the_route(self):
        """Data of a route without terms would delay that of others."""
        self.learn_agents()
        terms = request_class.RequestClass(1, 2.0, 0.3, is_repeatable=True)
        for version, stated, expected in (
            (2, terms, 1),
            (3, None, request_class.UNSTATED_PRIORITY),
        ):
            table = builders.table(version, terms=stated)
            self.configuration.update_routes(routes.encode(table), 'test')
            with mock.patch.object(self.forwarder.link, 'send') as send:
                self.client(builders.datagram(self.flow, builders.SYN))
            self.assertEqual(send.call_args.args[1], expected)

    def test_opening_returned_for_any_reason_is_offered_elsewhere(self):
        """A later build may state reasons that this one does not know."""
        for port, reason in enumerate((frame.REASON_DEADLINE, 200), 40100):
            self.learn_agents()
            opening = builders.datagram(builders.flow(port), builders.SYN)
            self.client(opening)
            ((first, _),) = self.forwards()
            self.return_packet(first, opening, reason)
            ((second, _),) = self.forwards()
            self.assertNotEqual(first, second)
            self.assertEqual(self.resets(), [])

    def test_packets_follow_the_opening_packet(self):
        self.learn_agents()
        self.client(builders.datagram(self.flow, builders.SYN))
        ((chosen, _),) = self.forwards()
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(self.forwards(), [(chosen, 0)])

    def named_services(self):
        """Return the service tag of each forwarded packet."""
        return [
            builders.CODEC.parse_client_packet(
                frame.unpack(datagram).datagram
            ).service_tag
            for datagram, _ in self.sent
            if datagram[0] == frame.KIND_FORWARD
        ]

    def test_opening_packets_name_the_service_by_the_latest_routes(self):
        """ROUTE: an address may be used again by an agent of another service.

        This agent cannot tell by its own routes while it has none.
        """
        self.learn_agents('side-1')
        opening = builders.datagram(self.flow, builders.SYN)
        self.client(opening)
        store = packets.service_tag('store')
        self.assertEqual(self.named_services(), [store])
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(self.named_services(), [packets.NO_SERVICE_TAG])
        self.configuration.update_routes(
            routes.encode(builders.table(2, 'manuals')), 'test'
        )
        for copy in (0, 1):
            self.client(
                builders.datagram(self.flow, builders.SYN, acknowledged=copy)
            )
            self.assertEqual(
                self.named_services(), [packets.service_tag('manuals')]
            )

    def test_refusal_of_another_service_offers_to_the_next_agent(self):
        self.learn_agents()
        opening = builders.datagram(
            self.flow, builders.SYN, named_service='store'
        )
        self.client(opening)
        ((first, _),) = self.forwards()
        self.return_packet(first, opening, frame.REASON_OTHER_SERVICE)
        ((second, _),) = self.forwards()
        self.assertNotEqual(first, second)
        self.assertEqual(self.named_services(), [packets.service_tag('store')])

    def open_many(self, count, answering=(), **load):
        """Open flows at intervals of 0.01 s.

        Args:
            count: Number of flows.
            answering: Agents that answer each offer with their load.
            **load: Fields of that load.

        Returns:
            The agent and frame detail of each offer.
        """
        chosen = []
        for _ in range(count):
            self.now += 0.01
            for instance in answering:
                self.send_heartbeat(instance, **load)
            flow = builders.flow(next(self.ports))
            self.client(builders.datagram(flow, builders.SYN))
            chosen += self.forwards()
        return chosen

    def test_agent_that_does_not_answer_an_offer_is_avoided(self):
        """A killed agent is avoided before its heartbeats are overdue.

        The others are busy, so by its last load it would be chosen.
        """
        self.learn_agents()
        self.now += const.LOAD_REQUEST_AGE_S
        first = self.open_many(30)
        requested = {
            name for name, detail in first if detail & frame.FORWARD_REPORT_LOAD
        }
        self.assertEqual(requested, set(AGENTS))
        self.now += const.OFFER_TIMEOUT_S
        answering = ('side-2', 'side-3')
        later = self.open_many(30, answering, busy=20, flows=20)
        self.assertNotIn('side-1', {name for name, _ in later})
        last = self.open_many(30, answering=AGENTS)
        self.assertIn('side-1', {name for name, _ in last})

    def test_offer_soon_after_a_heartbeat_requests_no_load(self):
        self.learn_agents()
        self.now += const.LOAD_REQUEST_AGE_S / 2
        self.assertEqual({detail for _, detail in self.open_many(1)}, {0})

    def test_retransmission_goes_to_another_agent_until_one_holds_the_flow(
        self,
    ):
        self.learn_agents()
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
        message = frame.pack_flows(frame.KIND_HELD, [self.flow])
        self.forwarder.on_frame(message, AGENTS[second])
        self.client(builders.datagram(self.flow, acknowledged=6))
        self.assertEqual(self.forwards(), [(second, 0)])

    def test_vacant_agent_holds_no_flows(self):
        """Otherwise a vacant agent that is removed again delays all lookups."""
        self.learn_agents()
        vacant = members_const.STATE_VACANT
        self.send_heartbeat('side-3', state=vacant, accepts=False)
        self.now += 60
        self.send_heartbeat('side-1')
        self.send_heartbeat('side-2')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        self.assertEqual(sorted(self.asked()), ['side-1', 'side-2'])
        self.assertEqual(self.forwards(), [])
        self.return_packet('side-1', packet)
        self.assertEqual(self.resets(), [])
        self.return_packet('side-2', packet)
        self.assertEqual(len(self.resets()), 1)

    def test_unknown_flow_is_queried_at_all_agents(self):
        self.learn_agents()
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(sorted(self.asked()), sorted(AGENTS))
        self.assertEqual(self.forwards(), [])

    def test_a_flow_that_nobody_holds_is_reset_at_once(self):
        self.learn_agents()
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        for instance in ('side-1', 'side-2'):
            self.return_packet(instance, packet)
            self.assertEqual(self.resets(), [])
        self.return_packet('side-3', packet)
        self.assertEqual(len(self.resets()), 1)

    def test_no_reset_while_one_has_not_answered(self):
        self.learn_agents()
        packet = builders.datagram(self.flow, acknowledged=5)
        for _ in range(3):
            self.client(packet)
            self.return_packet('side-1', packet)
            self.return_packet('side-2', packet)
        self.assertEqual(self.resets(), [])

    def test_no_reset_before_all_agents_are_known(self):
        """A restarted balancer may know only two of three agents.

        The flow may be held by the third, so it must not be reset.
        """
        self.learn_agents('side-1', 'side-2')
        self.mesh = None
        self.setUp()
        self.send_heartbeat('side-1')
        self.send_heartbeat('side-2')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        self.return_packet('side-1', packet)
        self.return_packet('side-2', packet)
        self.assertEqual(self.resets(), [])
        self.send_heartbeat('side-3')
        self.client(packet)
        self.assertEqual(self.asked(), ['side-3'])
        self.assertEqual(self.forwards(), [])

    def test_agents_listed_in_the_store_are_complete(self):
        """Otherwise resets are delayed by 1.1 s after a power loss."""
        self.send_heartbeat('side-1')
        self.mesh.note_members_listed(AGENTS)
        self.send_heartbeat('side-2')
        self.send_heartbeat('side-3')
        self.mesh.note_members_listed(AGENTS)
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        for instance in AGENTS:
            self.return_packet(instance, packet)
        self.assertEqual(len(self.resets()), 1)

    def test_vacant_agent_does_not_delay_a_reset(self):
        self.send_heartbeat('side-1')
        self.send_heartbeat('side-2')
        self.mesh.note_members_listed(('side-1', 'side-2'))
        self.send_heartbeat('side-3', state='vacant')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        self.return_packet('side-1', packet)
        self.return_packet('side-2', packet)
        self.assertEqual(len(self.resets()), 1)

    def test_no_reset_just_after_an_agent_that_the_store_did_not_list(self):
        self.send_heartbeat('side-1')
        self.send_heartbeat('side-2')
        self.mesh.note_members_listed(('side-1', 'side-2'))
        self.send_heartbeat('side-3')
        packet = builders.datagram(self.flow, acknowledged=5)
        self.client(packet)
        for instance in AGENTS:
            self.return_packet(instance, packet)
        self.assertEqual(self.resets(), [])
        self.now += const.MEMBERS_SETTLED_S
        for instance in AGENTS:
            self.send_heartbeat(instance)
        self.client(packet)
        self.assertEqual(len(self.resets()), 1)

    def test_few_probes_while_the_holder_may_be_unreachable(self):
        self.learn_agents()
        self.send_heartbeat('side-1', knows_all_flows=False)
        self.send_heartbeat('side-2', knows_all_flows=False)
        packet = builders.datagram(self.flow, acknowledged=5)
        self.now += 0.5
        self.send_heartbeat('side-1', knows_all_flows=False)
        self.send_heartbeat('side-2', knows_all_flows=False)
        self.now += 0.8
        self.send_heartbeat('side-1', knows_all_flows=False)
        self.send_heartbeat('side-2', knows_all_flows=False)
        probes = 0
        for _ in range(4):
            self.client(packet)
            probes += sum(
                bool(detail & frame.FORWARD_PROBE)
                for _, detail in self.forwards()
            )
        self.assertLessEqual(probes, flow_lookup.MAX_PROBES)

    def test_few_probes_while_the_holder_is_slow_to_answer(self):
        """FLOW: it may be starting or stopping, and is not silent yet."""
        others = ('side-1', 'side-2', 'side-4', 'side-5')
        added = {'side-4': '10.0.0.14', 'side-5': '10.0.0.15'}
        self.enterContext(mock.patch.dict(AGENTS, added))
        for state in ('ready', 'leaving'):
            with self.subTest(state=state):
                self.learn_agents()
                for instance in others:
                    self.send_heartbeat(instance, knows_all_flows=False)
                self.send_heartbeat('side-3', 1, state, knows_all_flows=False)
                self.flow = builders.flow(next(self.ports))
                probes = []
                for _ in range(3):
                    self.client(builders.datagram(self.flow, acknowledged=5))
                    probes += [
                        instance
                        for instance, detail in self.forwards()
                        if detail & frame.FORWARD_PROBE
                    ]
                    self.now += 0.4
                self.assertEqual(len(probes), flow_lookup.MAX_PROBES)

    def test_all_are_probed_after_a_restart_of_all_instances(self):
        """Nobody knows the flow, and its client waits."""
        self.now += 0.9
        for instance, address in AGENTS.items():
            self.send_heartbeat(instance, knows_all_flows=False)
            uptime = frame.pack_uptime(frame.Uptime(1, 0.9))
            self.mesh.on_datagram(uptime, (address, 7000))
        self.client(builders.datagram(self.flow, acknowledged=5))
        probes = [
            instance
            for instance, detail in self.forwards()
            if detail & frame.FORWARD_PROBE
        ]
        self.assertEqual(set(probes), set(AGENTS))

    def test_a_returned_opening_packet_tries_the_others(self):
        self.learn_agents()
        packet = builders.datagram(self.flow, builders.SYN)
        self.client(packet)
        tried = []
        for _ in range(3):
            ((instance, _),) = self.forwards()
            tried.append(instance)
            self.return_packet(instance, packet, frame.REASON_NOT_ACCEPTING)
        self.assertEqual(sorted(tried), sorted(AGENTS))
        self.assertEqual(self.forwards(), [])

    def test_no_agent_accepts_new_flows(self):
        """All agents refuse flows for good, so the client is reset at once."""
        self.learn_agents()
        self.now += 5
        for instance in AGENTS:
            self.send_heartbeat(instance, accepts=False)
        self.client(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(len(self.resets()), 1)

    def test_no_route(self):
        self.learn_agents()
        other = builders.flow(service=('198.18.9.9', 443))
        self.client(builders.datagram(other, builders.SYN))
        self.assertEqual(len(self.resets()), 1)
        self.client(builders.datagram(other, builders.RST))
        self.assertEqual(self.resets(), [])

    def test_open_flow_whose_route_is_not_known_yet_is_not_reset(self):
        """It was opened through a balancer that has newer routes."""
        self.learn_agents()
        self.configuration.confirm()
        self.now += 1
        other = builders.flow(service=('198.18.9.9', 443))
        packet = builders.datagram(other, acknowledged=5, data=b'GET')
        self.client(packet)
        self.assertEqual(self.resets(), [])
        self.now += 0.2
        self.configuration.confirm(age_s=0.3)
        self.client(packet)
        self.assertEqual(self.resets(), [])
        self.now += 0.4
        self.configuration.confirm(age_s=0.1)
        self.client(packet)
        self.assertEqual(len(self.resets()), 1)

    def test_forwarded_flow_whose_route_was_removed_is_reset_at_once(self):
        self.learn_agents()
        self.client(builders.datagram(self.flow, builders.SYN))
        table = builders.table(version=2)._replace(routes={})
        self.configuration.update_routes(routes.encode(table), 'test')
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(len(self.resets()), 1)

    def test_domains_out_are_offered_nothing(self):
        self.learn_agents()
        self.configuration.update_domains(9, ('a',), 'test')
        self.client(builders.datagram(self.flow, builders.SYN))
        self.assertEqual(self.forwards(), [])

    def test_a_departed_agent_is_not_asked(self):
        self.learn_agents()
        self.client(builders.datagram(self.flow, builders.SYN))
        ((chosen, _),) = self.forwards()
        record = self.mesh.registry.get(chosen)
        gone = record._replace(
            state=members_const.STATE_GONE, sequence=record.sequence + 1
        )
        self.mesh.registry.merge(gone)
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assertEqual(self.forwards(), [])
        self.assertEqual(set(self.asked()), set(AGENTS) - {chosen})

    def test_restarted_agent_gets_the_keys_of_its_flows(self):
        self.learn_agents()
        self.forwarder.on_frame(
            frame.pack_flows(frame.KIND_HELD, [self.flow]), AGENTS['side-2']
        )
        self.assert_gets_keys_at_restart('side-2')

    def test_restarted_agent_gets_the_keys_of_flows_placed_there(self):
        """FLOW: without them other balancers have to search for the flow."""
        self.learn_agents()
        self.client(builders.datagram(self.flow, builders.SYN))
        ((chosen, _),) = self.forwards()
        self.client(builders.datagram(self.flow, acknowledged=5))
        self.assert_gets_keys_at_restart(chosen)

    def assert_gets_keys_at_restart(self, instance):
        """Check that an agent gets the key of its flow when it restarts."""
        self.mesh.on_peer_started = self.forwarder.on_peer_started
        self.sent.clear()
        self.send_heartbeat(instance, incarnation=2)
        keys = [
            frame.unpack_flows(datagram)
            for datagram, _ in self.sent
            if datagram[0] == frame.KIND_HELD
        ]
        self.assertEqual(keys, [[self.flow]])
