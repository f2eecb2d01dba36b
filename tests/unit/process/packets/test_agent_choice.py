"""Tests of a balancer that chooses agents by their reported capacity."""

from unittest import mock

from kumquatport.connection.packets import frame, request_class
from kumquatport.process.packets import agent_datapath, const, messages
from tests.builders import capacity_reports
from tests.builders import packets as builders


class ChoiceTest(capacity_reports.CapacityReportTestCase):
    """Which agent is offered a new flow."""

    def setUp(self):
        super().setUp()
        self.capacity_reports = {'1': (0.2, 0.02), '2': (0.0, 0.02)}

    def test_lowest_wait_of_the_priority_until_flows_are_placed(self):
        self.report()
        self.assertEqual(set(self.chosen(9)), {'2'})
        # Ten flows of 20 ms are placed there before its next report.
        self.assertIn('1', self.chosen(4))
        self.report()
        self.assertEqual(self.chosen(1), ['2'])

    def test_former_score_without_terms_or_with_a_missing_report(self):
        """An old report must not exclude an agent that is idle meanwhile."""
        self.report_one('1', busy=0)
        self.report_one('2', busy=4)
        self.assertEqual(self.chosen(1), ['2'])
        self.set_terms(None, 3)
        self.assertEqual(self.chosen(1), ['1'])
        self.set_terms(capacity_reports.TERMS, 4)
        self.capacity_reports['2'] = None
        self.report_one('2', busy=4)
        self.assertEqual(self.chosen(1), ['1'])

    def test_measured_round_trip_is_that_of_answers(self):
        """A heartbeat between an offer and its answer is not an answer."""
        self.domains = {'1': 'b'}
        self.capacity_reports = {'1': (0.0, 0.02)}
        self.report()
        self.now += const.LOAD_REQUEST_AGE_S
        self.open()
        self.assertEqual(
            frame.unpack(self.sent[0][0]).detail, frame.FORWARD_REPORT_LOAD
        )
        self.now += 0.001
        self.report()
        self.assertIsNone(self.mesh.round_trip_s('b'))
        self.now += 0.009
        self.report(is_answer=True)
        self.assertAlmostEqual(self.mesh.round_trip_s('b'), 0.01)
        self.now += 5
        self.report(is_answer=True)
        self.assertAlmostEqual(self.mesh.round_trip_s('b'), 0.01)

    def test_traffic_leaves_the_failure_domain_for_a_shorter_time(self):
        self.domains = {'1': 'b'}
        self.capacity_reports = {'1': (0.0, 0.02), '2': (0.005, 0.02)}
        self.report()
        self.now += const.LOAD_REQUEST_AGE_S
        self.assertEqual(self.chosen(1), ['2'])
        self.capacity_reports['2'] = (0.1, 0.02)
        self.report()
        self.assertEqual(self.chosen(1), ['1'])


class SlowServerTest(capacity_reports.CapacityReportTestCase):
    """A backend server with three times the work of the others."""

    def test_slow_server_is_avoided_until_it_has_returned(self):
        self.capacity_reports = {
            '1': (0.0, 0.06),
            '2': (0.06, 0.02),
            '3': (0.06, 0.02),
        }
        self.report()
        # Its expected time would be the shortest one, without the cost.
        self.assertNotIn('1', self.chosen(1))
        self.assertEqual(self.forwarder.counts['backend server slow'], 1)
        self.capacity_reports = {
            name: (0.5, work)
            for name, (_, work) in self.capacity_reports.items()
        }
        self.capacity_reports['1'] = (0.0, 0.06)
        self.report()
        self.assertEqual(self.chosen(1), ['1'])
        self.capacity_reports = {
            '1': (0.0, 0.02),
            '2': (0.06, 0.02),
            '3': (0.06, 0.02),
        }
        returned = []
        for _ in range(12):
            self.now += 0.5
            taken = 0
            for _ in range(20):
                self.report()
                taken += self.chosen(1) == ['1']
            returned.append(taken)
        self.assertLess(returned[0], 12)
        self.assertEqual(returned[-1], 20)

    def test_none_is_slow_without_terms_of_the_route(self):
        self.set_terms(None, 3)
        self.capacity_reports = {
            '1': (0.0, 0.06),
            '2': (0.06, 0.02),
            '3': (0.06, 0.02),
        }
        self.report()
        self.chosen(5)
        self.assertNotIn('backend server slow', self.forwarder.counts)


class ReportTest(capacity_reports.CapacityReportTestCase):
    """What an agent reports."""

    def setUp(self):
        super().setUp()
        self.agent = self.make_agent()

    def make_agent(self):
        settings = builders.settings()
        datapath = agent_datapath.AgentDatapath(
            settings,
            builders.CODEC,
            self.configuration,
            self.mesh,
            mock.Mock(),
        )
        datapath.handle_report(builders.report(slots=1))
        return datapath

    def forward(self, packet):
        message = frame.pack(frame.KIND_FORWARD, 0, 2, packet)
        self.agent.on_frame(message, '10.0.0.1')

    def respond(self, flow, flags=builders.ACK, **fields):
        answer = builders.answer(flow, flags, **fields)
        self.agent.on_outbound(answer, ('10.0.0.2', 4))

    def request(self, port, work_s):
        """Open a flow and send a request that is answered after its work."""
        flow = builders.flow(port)
        self.forward(builders.datagram(flow, builders.SYN))
        self.respond(flow, builders.SYN | builders.ACK, sequence=500)
        self.request_again(port, 1)
        self.now += work_s
        self.respond(flow, data=b'200')

    def request_again(self, port, sequence):
        """Send a request that is not answered yet."""
        flow = builders.flow(port)
        self.forward(
            builders.datagram(
                flow, sequence=sequence, acknowledged=501, data=b'GET'
            )
        )

    def test_wait_follows_the_requests_in_progress(self):
        for port in range(4):
            self.request(port, 0.02)
        self.assertIsNone(self.agent.capacity())
        self.request(4, 0.02)
        capacity = self.agent.capacity()
        self.assertAlmostEqual(capacity.work_s, 0.02)
        self.assertEqual(capacity.waits_s, (0, 0, 0, 0))
        for port in range(3):
            self.request_again(port, 4)
        self.assertAlmostEqual(self.agent.capacity().wait_s(2), 0.06)

    def test_no_report_where_no_route_has_terms(self):
        """Heartbeats of other deployments keep their bytes."""
        for port in range(5):
            self.request(port, 0.02)
        self.assertIsInstance(self.agent.capacity(), messages.CapacityReport)
        self.set_terms(None, 3)
        self.assertIsNone(self.agent.capacity())
        self.set_terms(request_class.RequestClass(0, 1, 1, False), 4)
        self.assertIsNotNone(self.agent.capacity())
