"""Tests of rejections at a balancer whose service has no capacity in time."""

from kumquatport.connection.packets import edge_rejection, frame
from tests.builders import capacity_reports

# The deadline of the route is 0.6 s, 0.4 s for the second copy.
LATE = (0.7, 0.02)
SOON = (0.5, 0.02)


class EdgeRejectionTest(capacity_reports.CapacityReportTestCase):
    """When a flow is rejected before any agent is offered it."""

    def setUp(self):
        super().setUp()
        self.capacity_reports = dict.fromkeys('1234567', LATE)

    def test_flow_without_any_chance_is_reset_at_once(self):
        self.report()
        self.open()
        self.assertEqual((self.offered(), self.is_reset()), ('', True))
        counts = self.forwarder.counts
        self.assertEqual(counts['flow rejected at the edge'], 1)
        self.assertNotIn('flow placed', counts)

    def test_later_copy_has_less_time(self):
        self.capacity_reports = dict.fromkeys('1234567', SOON)
        self.report()
        self.open()
        self.assertFalse(self.is_reset())
        self.open(copy=1)
        self.assertTrue(self.is_reset())

    def test_flow_that_an_agent_may_hold_is_not_reset(self):
        """FLOW: its backend server may have accepted it already."""
        self.capacity_reports = dict.fromkeys('1234567', SOON)
        self.report()
        self.open(port=5)
        self.open(copy=1, port=5)
        self.assertFalse(self.is_reset())

    def test_one_agent_with_time_takes_the_flow(self):
        self.capacity_reports = {'1': LATE, '2': LATE, '3': SOON}
        self.report()
        self.assertEqual(set(self.chosen(9)), {'3'})

    def test_doubtful_reports_reject_nothing(self):
        """A wrong rejection costs a request."""
        cases = (
            ('missing', lambda: self.capacity_reports.update({'2': None})),
            ('zero', lambda: self.capacity_reports.update({'2': (0.0, 0.02)})),
            ('saturated', lambda: self.set_terms(self.long_terms(), 3)),
            ('without terms', lambda: self.set_terms(None, 4)),
        )
        self.capacity_reports = dict.fromkeys('123', LATE)
        for name, prepare in cases:
            with self.subTest(name):
                prepare()
                self.report()
                self.open()
                self.assertNotEqual(self.offered(), '')
                self.assertFalse(self.is_reset())
                self.capacity_reports = dict.fromkeys('123', LATE)

    def long_terms(self):
        """Return terms with a deadline above the largest reported wait."""
        self.capacity_reports = dict.fromkeys('123', (1e6, 0.02))
        return capacity_reports.TERMS._replace(deadline_s=70.0)

    def test_old_report_rejects_nothing(self):
        """The server has worked off its queue meanwhile."""
        self.report()
        self.now += 0.15
        self.open()
        self.assertFalse(self.is_reset())
        self.capacity_reports = dict.fromkeys('1234567', (60.0, 0.02))
        self.report()
        self.now += 0.5
        self.open()
        self.assertTrue(self.is_reset())
        self.now += edge_rejection.MAX_REPORT_AGE_S
        self.open()
        self.assertFalse(self.is_reset())

    def test_refused_flow_is_rejected_when_the_others_are_too_late(self):
        """Each further offer would cost a round trip."""
        self.capacity_reports = {'1': (0.0, 0.02), '2': LATE, '3': LATE}
        self.report()
        opening = self.open(port=5)
        self.assertEqual(self.offered(), '1')
        self.capacity_reports['1'] = LATE
        self.report()
        self.sent.clear()
        returned = frame.pack(frame.KIND_RETURN, frame.REASON_FULL, 2, opening)
        self.forwarder.on_frame(returned, self.address('1'))
        self.assertEqual((self.offered(), self.is_reset()), ('', True))
