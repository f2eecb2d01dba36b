"""Terms of routes on the wire, and service times by route."""

import unittest

from kumquatport.connection.packets import (
    flow_table,
    request_class,
    service_times,
)
from kumquatport.process.packets import flow_lookup
from kumquatport.version import routes
from tests.builders import former_builds
from tests.builders import packets as builders

TERMS = request_class.RequestClass(1, 3.624, 0.302, is_repeatable=False)
SHARES = (
    routes.WeightedService('one', 90.0),
    routes.WeightedService('two', 10.0),
)
ROUTE = (1, 443)


class RequestClassTest(unittest.TestCase):
    """Builds with and without terms serve the same routes."""

    def table(self, terms):
        route = routes.Route(*ROUTE, routes.with_terms(SHARES, terms))
        return routes.RouteTable(3, {ROUTE: route}, {}, 15.0)

    def test_former_build_serves_a_route_with_terms(self):
        """A build that rejects the table would keep outdated routes."""
        table = self.table(TERMS)
        route = table.routes[ROUTE]
        former = former_builds.decode_table(routes.encode(table)).routes[0]
        for port in range(200):
            flow = builders.flow(port)
            service = former_builds.service_of(former, flow)
            self.assertEqual(service, flow_lookup.service_of(route, flow))
            self.assertIn(service, ('one', 'two'))
        for service in ('one', 'two', 'three', route.weighted_services[0][0]):
            self.assertEqual(
                former_builds.allows(former, service),
                table.allows(*ROUTE, service),
            )

    def test_terms_survive_the_wire(self):
        table = self.table(TERMS)
        decoded = routes.decode(routes.encode(table))
        self.assertEqual(decoded, table)
        self.assertEqual(decoded.routes[ROUTE].request_class, TERMS)
        self.assertEqual(decoded.routes[ROUTE].services, SHARES)
        delta = routes.compute_delta(0, self.table(None), table)
        self.assertEqual(len(delta.changed), 1)

    def test_table_without_terms_is_encoded_as_before(self):
        table = self.table(None)
        former = former_builds.decode_table(routes.encode(table))
        self.assertEqual(former.routes[0].weighted_services, SHARES)
        self.assertIsNone(table.routes[ROUTE].request_class)

    def test_malformed_terms_of_a_peer_leave_the_route_without_terms(self):
        for text in ('', '1,2', '1,2,x,0', '256,2,1,0', '1,nan,1,0', '1,0,1,0'):
            entry = routes.WeightedService(f'\0class={text}', 0)
            route = routes.Route(*ROUTE, (entry, *SHARES))
            self.assertIsNone(route.request_class, text)
            self.assertEqual(route.services, SHARES)
        entry = routes.WeightedService('\0class=1,3.624,0.302,0,later', 0)
        route = routes.Route(*ROUTE, (entry, *SHARES))
        self.assertEqual(route.request_class, TERMS)


class ServiceTimesTest(unittest.TestCase):
    """Which requests count, and for how long."""

    def test_unknown_below_five_samples_and_after_two_windows(self):
        times = service_times.ServiceTimes()
        for number in range(5):
            self.assertIsNone(times.mean_s(ROUTE, 100.0))
            self.assertIsNone(times.percentile_s(ROUTE, 0.9, 100.0))
            times.record(ROUTE, 0.02 + 0.001 * number, 100.0)
        self.assertAlmostEqual(times.mean_s(ROUTE, 120.0), 0.022)
        self.assertAlmostEqual(
            times.percentile_s(ROUTE, 0.9, 120.0), 0.024, delta=0.006
        )
        self.assertIsNone(times.mean_s(ROUTE, 136.0))
        self.assertIsNone(times.overall_mean_s(136.0))

    def test_memory_is_bounded(self):
        times = service_times.ServiceTimes()
        for number in range(1000):
            times.record((number, 443), 1e6, 100.0)
        self.assertEqual(len(times._histograms), service_times.MAX_ROUTES)

    def exchange(self, table, port, start, arrivals, end):
        """Send the packets of a request at some times, answer it at the end.

        Each arrival is a time and the sequence number of its data.
        """
        flow = builders.flow(port)
        state = table.add_open(flow, start)
        parse = builders.CODEC.parse_client_packet
        for now, sequence in arrivals:
            datagram = builders.datagram(flow, sequence=sequence, data=b'x' * 9)
            table.on_client_packet(state, parse(datagram), now)
        if end:
            answer = builders.CODEC.parse_backend_server_packet(
                builders.answer(flow, data=b'y')
            )
            table.on_backend_server_packet(answer, end)

    def test_transfer_of_an_upload_and_waiting_are_not_work(self):
        """Work that includes them would reject requests that can be served."""
        table = flow_table.FlowTable()
        table.slots = 1
        key = (builders.number(builders.SERVICE[0]), builders.SERVICE[1])
        for port in range(5):
            self.exchange(table, port, 1.0, [(1.0, 1), (1.5, 10)], 1.52)
        self.assertAlmostEqual(table.service_times.mean_s(key, 2.0), 0.02)
        # A request in progress holds the only slot; the others wait.
        self.exchange(table, 8, 2.0, [(2.0, 1)], None)
        for port in range(10, 30):
            self.exchange(table, port, 2.0, [(2.0, 1)], 2.9)
        self.assertAlmostEqual(table.service_times.mean_s(key, 3.0), 0.02)

    def test_retransmission_of_an_answered_request_is_no_sample(self):
        table = flow_table.FlowTable()
        table.slots = 1
        for port in range(5):
            self.exchange(table, port, 1.0, [(1.0, 1)], 1.02)
            self.exchange(table, port, 1.1, [(1.1, 1)], 1.1)
        self.assertAlmostEqual(table.service_times.overall_mean_s(2.0), 0.02)
