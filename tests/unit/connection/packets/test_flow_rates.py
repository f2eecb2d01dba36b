"""Tests of the rates of flows and of the work that open flows will send."""

import unittest

from kumquatport.connection.packets import flow_rates, flow_table
from kumquatport.connection.packets import packet as packets
from tests.builders import packets as builders

LONG = ('198.18.0.1', 443)
SHORT = ('198.18.0.2', 443)


class FlowRatesTest(unittest.TestCase):
    """Rates are measured by the requests of flows that were counted."""

    def test_rate_is_that_of_flows_that_stay(self):
        rates = flow_rates.FlowRates()
        for second in range(10):
            rates.measure({'long': 5, 'short': 2}, second)
            for _ in range(20):
                rates.note_request('long', second - 1)
                # These flows end with this request; the next count has others.
                rates.note_request('short', second + 0.5)
        self.assertAlmostEqual(rates.per_s('long'), 4.0, delta=0.01)
        self.assertEqual(rates.per_s('short'), 0)
        self.assertEqual(rates.per_s('other'), 0)

    def test_rate_follows_a_change_and_routes_are_forgotten(self):
        """Memory must not grow with the routes of former tables."""
        rates = flow_rates.FlowRates()
        for second in range(200):
            flows = {'long': 5} if second < 60 else {}
            rates.measure(flows, second)
            for _ in range(5 if second < 30 else 50):
                rates.note_request('long', 0)
            if second == 59:
                self.assertGreater(rates.per_s('long'), 7)
        self.assertEqual(rates.per_s('long'), 0)
        self.assertEqual(len(rates), 0)

    def test_pause_of_the_process_does_not_hide_the_rate(self):
        """Requests during the pause were not seen."""
        rates = flow_rates.FlowRates()
        for second in (*range(10), 400):
            rates.measure({'long': 5}, second)
            for _ in range(20):
                rates.note_request('long', 0)
        self.assertGreater(rates.per_s('long'), 2)


class CommittedWorkTest(unittest.TestCase):
    """A flow table knows the work that its open flows will send."""

    def setUp(self):
        self.table = flow_table.FlowTable()
        self.table.slots = 100
        self.now = 1000.0

    def send(self, flow, flags=builders.ACK, **fields):
        packet = builders.CODEC.parse_client_packet(
            builders.datagram(flow, flags, **fields)
        )
        if packet.is_opening:
            self.table.add_opening(packet, self.now)
        else:
            self.table.on_client_packet(self.table.get(flow), packet, self.now)

    def answer(self, flow, flags=builders.ACK):
        packet = builders.CODEC.parse_backend_server_packet(
            builders.answer(flow, flags, data=b'200')
        )
        self.table.on_backend_server_packet(packet, self.now)

    def request(self, flow, number, work_s):
        self.send(flow, sequence=1 + 3 * number, data=b'GET')
        self.now += work_s
        self.answer(flow)

    def test_long_flows_count_by_their_rate_and_ended_ones_do_not(self):
        """Streams return to a server after a release, lookups are over."""
        streams = [builders.flow(port, LONG) for port in range(5)]
        for flow in streams:
            self.send(flow, builders.SYN)
        for second in range(20):
            self.now = 1000.0 + second
            self.table.rates.measure(self.table.flows_by_route, self.now)
            for number, flow in enumerate(streams):
                self.request(flow, 2 * second, 0.01)
                self.request(flow, 2 * second + 1, 0.01)
                lookup = builders.flow(100 * second + number, SHORT)
                self.send(lookup, builders.SYN)
                self.request(lookup, 0, 0.02)
        self.assertAlmostEqual(
            self.table.committed_s(self.now), 5 * 2 * 0.01, delta=0.005
        )
        self.assertEqual(sorted(self.table.flows_by_route.values()), [5, 100])
        for flow in (*streams, *tuple(self.table.flows)):
            self.table.remove(flow)
        self.assertEqual(self.table.committed_s(self.now), 0)
        self.assertEqual(dict(self.table.flows_by_route), {})

    def test_flows_of_an_earlier_process_count(self):
        """A restarted agent sees only later packets of an open flow."""
        flow = builders.flow(1, LONG)
        self.answer(flow)
        ((address, port),) = self.table.flows_by_route
        self.assertEqual(
            (packets.address_from_mark(address), port), ('198.18.0.1', 443)
        )
