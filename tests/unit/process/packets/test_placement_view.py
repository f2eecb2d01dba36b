"""Tests of the query where a balancer would send a flow."""

import asyncio
import copy
from unittest import mock
from urllib import parse

import msgspec
from aiohttp import test_utils

from kumquatport import exceptions
from kumquatport.platform import packet as codec
from kumquatport.process.packets import (
    capacity_watch,
    const,
    metrics,
    placement_view,
)
from tests.builders import capacity_reports
from tests.builders import packets as builders

PORT = 50000


def name(port=PORT):
    """Return a flow as an operator names it."""
    return codec.format_flow(builders.flow(port))


class PlacementViewTest(capacity_reports.CapacityReportTestCase):
    """What a balancer answers, and that it only reads."""

    def setUp(self):
        super().setUp()
        self.capacity_reports = {
            '1': (0.0, 0.06),
            '2': (0.06, 0.02),
            '3': (0.06, 0.02),
        }

    def view(self, port=PORT):
        answer = self.forwarder.view_placement(name(port))
        encoded = msgspec.json.encode(answer)
        return msgspec.json.decode(encoded, type=placement_view.PlacementView)

    def state(self):
        """Return the state that placement of further flows depends on."""
        peers = [self.mesh.peer(instance) for instance in self.capacity_reports]
        return copy.deepcopy(
            (
                [
                    {field: getattr(peer, field) for field in peer.__slots__}
                    for peer in peers
                ],
                dict(self.forwarder.counts),
                self.forwarder.gauges(),
                self.forwarder._choice._flow_costs,
                len(self.sent),
            )
        )

    def test_queries_change_nothing(self):
        """Guards against a query that shifts load or logs a decision."""
        self.report()
        self.now += const.LOAD_REQUEST_AGE_S
        before = self.state()
        with mock.patch.object(self.forwarder._log, 'note') as note:
            views = [self.view(PORT + offset) for offset in range(50)]
        note.assert_not_called()
        self.assertEqual(self.state(), before)
        self.assertNotIn('backend server slow', self.forwarder.counts)
        self.assertEqual(views[0], self.view())

    def test_query_judges_no_backend_server(self):
        """Guards against a change of state that is not counted later."""
        self.capacity_reports['1'] = (0.0, 0.02)
        self.report()
        self.open()
        self.capacity_reports['1'] = (0.0, 0.06)
        self.report()
        self.now += capacity_watch.JUDGE_INTERVAL_S
        self.view()
        self.assertNotIn('backend server slow', self.forwarder.counts)
        self.open()
        self.assertEqual(self.forwarder.counts['backend server slow'], 1)

    def test_answer_is_what_the_next_opening_meets(self):
        """Guards against an explanation that differs from the decision."""
        self.report()
        for port in range(PORT, PORT + 30):
            answer = self.view(port)
            self.open(port=port)
            self.assertEqual(answer['outcome'], placement_view.PLACED)
            self.assertEqual(answer['chosen'], self.offered())
            self.assertEqual(self.view(port)['sent_to'], [answer['chosen']])

    def test_slow_server_and_terms_are_stated(self):
        self.report()
        answer = self.view()
        states = {one['agent']: one['states'] for one in answer['agents']}
        self.assertIn('backend server slow', states['1'])
        self.assertEqual(states['2'], ['ready'])
        self.assertEqual(answer['route']['objective_s'], 0.25)
        self.assertEqual(answer['basis'], 'expected_s')

    def test_outcomes_without_an_agent(self):
        self.now += 60
        self.assertEqual(self.view()['outcome'], placement_view.NO_AGENT)
        self.capacity_reports = {
            str(number): (5.0, 0.02) for number in range(1, 8)
        }
        self.report()
        answer = self.view()
        self.assertEqual(answer['outcome'], placement_view.NO_CAPACITY)
        self.assertIsNone(answer['chosen'])
        self.assertEqual(answer['exhaustion']['wait_s'], 5.0)
        unrouted = name().rpartition(':')[0] + ':9'
        answer = self.forwarder.view_placement(unrouted)
        self.assertEqual(answer['outcome'], placement_view.NO_ROUTE)

    def test_queries_over_http(self):
        """A malformed query gets the code of its error, not a failure."""
        exported = metrics.Metrics()
        exported.add_handler(
            placement_view.PATH,
            lambda query: self.forwarder.view_placement(query['flow']),
        )
        router = exported.application().router

        async def get(flow):
            target = f'{placement_view.PATH}?{parse.urlencode({"flow": flow})}'
            request = test_utils.make_mocked_request('GET', target)
            match = await router.resolve(request)
            response = await match.handler(request)
            return response.status, msgspec.json.decode(response.body)

        status, answer = asyncio.run(get(name()))
        self.assertEqual((status, answer['flow']), (200, name()))
        status, answer = asyncio.run(get('a'))
        self.assertEqual((status, answer['error']), (400, 'KQ-6014'))

    def test_malformed_flow(self):
        for text in ('', 'a', '1.2.3.4:5', '1.2.3.4:5>6.7.8.9:65536'):
            with self.assertRaises(exceptions.FlowNameError):
                self.forwarder.view_placement(text)
