"""Tests that the judge finds broken rules, and excuses what they excuse."""

import ipaddress
import random
import struct
import unittest

from tests.emulator import backend_server, client, wire
from tests.live import rules

ROUTE = ('198.18.0.1', 443)
OTHER_ROUTE = ('198.18.0.2', 443)
FRONT = '127.0.0.10'
OTHER_FRONT = '127.0.0.11'
SIDE = '127.0.0.50'
OTHER_SIDE = '127.0.0.51'


class _Clock:
    def __init__(self):
        self.time = 100.0
        self.rng = random.Random(1)

    def call_later(self, delay_s, call):
        """Requests are never done."""


class _System:
    def __init__(self):
        self.sim = _Clock()
        self.user = client.Client.__new__(client.Client)
        self.user.resets = []
        self.clients = [self.user]
        self.backend_servers = {
            'side-0': self._server(SIDE, 'store'),
            'side-1': self._server(OTHER_SIDE, 'manuals'),
        }

    def _server(self, address, service):
        one = backend_server.BackendServer(self.sim, address, service, 'a')
        one.start()
        return one


def _flow(port=1025, route=ROUTE):
    return struct.pack(
        '<IIHH',
        int(ipaddress.IPv4Address('127.0.0.200')),
        int(ipaddress.IPv4Address(route[0])),
        port,
        route[1],
    )


class RulesTest(unittest.TestCase):
    """A deployment of stand-ins, one of each service."""

    def setUp(self):
        self.system = _System()
        self.sim = self.system.sim
        self.server = self.system.backend_servers['side-0']
        self.other = self.system.backend_servers['side-1']
        self.sim.time += 10
        self.judge = rules.RuleJudge(
            self.system, {ROUTE: 'store', OTHER_ROUTE: 'manuals'}
        )
        self.answers = []

    def _pass(self, seconds):
        self.sim.time += seconds
        self.judge.check()

    def _open(self, server, flow=None, front=FRONT):
        """Open a flow as a client does, through a balancer."""
        flow = flow or _flow()
        self._send_syn(server, flow, front)
        sequence = server.connections[flow].sequence + 1 & 0xFFFFFFFF
        packet = wire.pack(flow, wire.ACK, 8, sequence)
        self.judge.note_taken(flow, 0.0, front)
        server.receive(packet, self.answers.append)
        return flow

    def _send_syn(self, server, flow, front=FRONT):
        now = self.sim.time
        data = wire.Data(0, 0.0, 0, now)
        self.judge.note_taken(flow, now, front)
        server.receive(
            wire.pack(flow, wire.SYN, 7, 0, data), self.answers.append
        )

    def _deliver(self, server, flow, front=FRONT):
        packet = wire.pack(flow, wire.ACK, 8, 1)
        self.judge.note_taken(flow, 0.0, front)
        backend_server.record_delivery(
            self.system.backend_servers.values(), server, packet
        )

    def _reset(self, flow, sender=FRONT):
        reset = client.Reset(self.sim.time, flow, sender)
        self.system.user.resets.append(reset)
        self.judge.check()

    def _broken(self):
        return [one.guarantee for one in self.judge.violations]


class RouteTest(RulesTest):
    """Openings at services that no configuration allows."""

    def test_opening_at_the_service_of_its_route(self):
        self._open(self.server)
        self.judge.check()
        self.assertEqual([], self._broken())

    def test_opening_at_another_service(self):
        self._open(self.server, _flow(route=OTHER_ROUTE))
        self.judge.check()
        self.assertEqual(['ROUTE'], self._broken())

    def test_opening_of_a_route_that_no_configuration_had(self):
        self._open(self.server, _flow(route=('198.18.0.9', 443)))
        self.judge.check()
        self.assertEqual(['ROUTE'], self._broken())

    def test_disruptions_excuse_no_route(self):
        self.judge.disruptions.begin(rules.STORE, 'down')
        self.judge.disruptions.begin(FRONT, 'pause')
        self._open(self.other)
        self.judge.check()
        self.assertEqual(['ROUTE'], self._broken())

    def test_each_opening_is_judged_once(self):
        self._open(self.other)
        self.judge.check()
        self.judge.check()
        self.assertEqual(['ROUTE'], self._broken())


class DrainTest(RulesTest):
    """Openings at backend servers that leave."""

    def setUp(self):
        super().setUp()
        self.server.is_draining = True
        self.judge.note_leave_acknowledged(self.server)

    def test_opening_within_the_time(self):
        self._pass(rules.DRAIN_S - 0.01)
        self._open(self.server)
        self.judge.check()
        self.assertEqual([], self._broken())

    def test_late_opening(self):
        self._pass(rules.DRAIN_S + 0.01)
        self._open(self.server)
        self.judge.check()
        self.assertEqual(['DRAIN'], self._broken())

    def test_time_runs_from_the_first_acknowledgement(self):
        self._pass(2)
        self.judge.note_leave_acknowledged(self.server)
        self._pass(rules.DRAIN_S - 1)
        self._open(self.server)
        self.judge.check()
        self.assertEqual(['DRAIN'], self._broken())

    def test_next_incarnation_does_not_drain(self):
        self.judge.check()
        self.server.crash()
        self.server.start()
        self._pass(rules.DRAIN_S + 1)
        self._open(self.server)
        self.judge.check()
        self.assertEqual([], self._broken())

    def test_copy_that_waited_before_it_was_read(self):
        self.judge.lag_s = 0.2
        self._pass(rules.DRAIN_S + 0.1)
        self._open(self.server)
        self.judge.check()
        self.assertEqual([], self._broken())

    def test_machine_or_store_out_of_touch(self):
        for address in (SIDE, FRONT, rules.STORE):
            with self.subTest(address=address):
                self.setUp()
                self._pass(1)
                self.judge.disruptions.record(address, 'term', planned=True)
                self._pass(rules.DRAIN_S)
                self._open(self.server)
                self.judge.check()
                self.assertEqual([], self._broken())
                self.assertEqual(1, self.judge.excused['DRAIN'])

    def test_disruption_of_another_machine(self):
        self.judge.disruptions.begin(OTHER_FRONT, 'pause')
        self.judge.disruptions.begin(OTHER_SIDE, 'kill')
        self._pass(rules.DRAIN_S + 0.01)
        self._open(self.server)
        self.judge.check()
        self.assertEqual(['DRAIN'], self._broken())

    def test_in_touch_again(self):
        self.judge.disruptions.record(FRONT, 'kill')
        self._pass(rules.CONTACT_S + 0.01)
        self._open(self.server)
        self.judge.check()
        self.assertEqual(['DRAIN'], self._broken())

    def test_acknowledged_by_an_agent_out_of_touch(self):
        self.judge.check()
        self.server.crash()
        self.server.start()
        self.judge.disruptions.record(SIDE, 'kill')
        self._pass(1)
        self.judge.note_leave_acknowledged(self.server)
        self._pass(rules.DRAIN_S + 2)
        self._open(self.server)
        self.judge.check()
        self.assertEqual([], self._broken())


class ResetTest(RulesTest):
    """Resets of open flows."""

    def test_reset_of_an_open_flow(self):
        self._reset(self._open(self.server))
        self.assertEqual(['FLOW'], self._broken())

    def test_reset_before_the_handshake_ends(self):
        self._send_syn(self.server, _flow())
        self._reset(_flow())
        self.assertEqual([], self._broken())

    def test_reset_of_a_flow_whose_server_crashed(self):
        flow = self._open(self.server)
        self.server.crash()
        self._reset(flow)
        self.assertEqual([], self._broken())

    def test_server_that_has_just_started(self):
        self.server.crash()
        self.server.start()
        self._pass(rules.CONTACT_S - 0.1)
        self._reset(self._open(self.server))
        self.assertEqual([], self._broken())

    def test_planned_work_excuses_nothing(self):
        flow = self._open(self.server)
        self.judge.disruptions.begin(SIDE, 'term', planned=True)
        self.judge.disruptions.begin(FRONT, 'term', planned=True)
        self._reset(flow)
        self.assertEqual(['FLOW'], self._broken())

    def test_unplanned_disruption_of_a_machine_involved(self):
        for address in (SIDE, FRONT, OTHER_FRONT, rules.STORE):
            with self.subTest(address=address):
                self.setUp()
                flow = self._open(self.server)
                self.judge.disruptions.record(address, 'kill')
                self._pass(rules.CONTACT_S - 0.1)
                self._reset(flow, sender=OTHER_FRONT)
                self.assertEqual([], self._broken())
                self.assertEqual(1, self.judge.excused['FLOW'])

    def test_unplanned_disruption_of_another_machine(self):
        flow = self._open(self.server)
        self.judge.disruptions.begin(OTHER_FRONT, 'kill')
        self._reset(flow)
        self.assertEqual(['FLOW'], self._broken())

    def test_long_after_an_unplanned_disruption(self):
        flow = self._open(self.server)
        self.judge.disruptions.record(FRONT, 'kill')
        self._pass(rules.CONTACT_S + 0.1)
        self._reset(flow)
        self.assertEqual(['FLOW'], self._broken())

    def test_packet_held_by_a_paused_balancer(self):
        flow = self._open(self.server, front=OTHER_FRONT)
        self.judge.disruptions.record(OTHER_FRONT, 'pause')
        self.judge.note_taken(flow, 0.0, FRONT)
        self._reset(flow)
        self.assertEqual([], self._broken())

    def test_old_and_idle_flows(self):
        flow = self._open(self.server)
        self._pass(rules.IDLE_TIMEOUT_S + 1)
        self._reset(flow)
        self.assertEqual([], self._broken())
        self._pass(rules.FLOW_TTL_S)
        self._deliver(self.server, flow)
        self._reset(flow)
        self.assertEqual([], self._broken())

    def test_flow_of_a_removed_route(self):
        self.judge.dropped_routes.add(ROUTE)
        self._reset(self._open(self.server))
        self.assertEqual([], self._broken())


class MisdeliveryTest(RulesTest):
    """Packets of open flows at other backend servers."""

    def setUp(self):
        super().setUp()
        self.flow = self._open(self.server)

    def _send_astray(self, count, gap_s):
        for _ in range(count):
            self._pass(gap_s)
            self._deliver(self.other, self.flow)

    def test_three_packets_astray(self):
        self._send_astray(3, 0.1)
        self._pass(1.0)
        self.assertEqual([], self._broken())
        self._pass(1.0)
        self.assertEqual(['FLOW'], self._broken())

    def test_two_packets_astray(self):
        self._send_astray(2, 0.1)
        self._pass(5.0)
        self.assertEqual([], self._broken())

    def test_packets_further_apart_than_the_window(self):
        self._send_astray(6, 1.1)
        self._pass(5.0)
        self.assertEqual([], self._broken())

    def test_own_packet_within_the_window(self):
        self._send_astray(3, 0.1)
        self._pass(1.0)
        self._deliver(self.server, self.flow)
        self._pass(5.0)
        self.assertEqual([], self._broken())

    def test_own_packet_after_the_window(self):
        self._send_astray(3, 0.1)
        self.sim.time += 2.0
        self._deliver(self.server, self.flow)
        self.judge.check()
        self.assertEqual(['FLOW'], self._broken())

    def test_silence_breaks_nothing(self):
        self._pass(5.0)
        self.assertEqual([], self._broken())

    def test_server_crashes_within_the_window(self):
        self._send_astray(3, 0.1)
        self.judge.check()
        self.server.crash()
        self._pass(5.0)
        self.assertEqual([], self._broken())

    def test_planned_work_excuses_nothing(self):
        self.judge.disruptions.begin(SIDE, 'term', planned=True)
        self._send_astray(3, 0.1)
        self._pass(2.0)
        self.assertEqual(['FLOW'], self._broken())

    def test_unplanned_disruption_of_a_machine_involved(self):
        for address in (SIDE, FRONT, rules.STORE):
            with self.subTest(address=address):
                self.setUp()
                self.judge.disruptions.record(address, 'kill')
                self._send_astray(3, 0.1)
                self._pass(2.0)
                self.assertEqual([], self._broken())
                self.assertEqual(1, self.judge.excused['FLOW'])


class DescriptionTest(unittest.TestCase):
    """Texts of violations and disruptions."""

    def test_disruptions_in_their_order(self):
        now = [10.0]
        disruptions = rules.Disruptions(lambda: now[0])
        end = disruptions.begin(SIDE, 'pause')
        now[0] = 11.5
        disruptions.record(FRONT, 'kill')
        end()
        self.assertEqual(
            [
                f'0.000 to 1.500 s: {SIDE} pause',
                f'1.500 to 1.500 s: {FRONT} kill',
            ],
            disruptions.rows(),
        )

    def test_flow_as_in_the_logs(self):
        self.assertEqual(
            '127.0.0.200:1025>198.18.0.1:443', rules.describe_flow(_flow())
        )


if __name__ == '__main__':
    unittest.main()
