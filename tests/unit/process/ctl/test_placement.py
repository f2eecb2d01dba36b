"""``placement``: balancers' answers about one flow."""

import msgspec

from kumquatport import exceptions
from kumquatport.process.ctl import const, placement
from tests.builders import capacity_reports
from tests.builders import packets as builders

FLOW = '100.64.0.7:40001>198.18.0.1:443'


class PlacementVerbTest(capacity_reports.CapacityReportTestCase):
    """Lines and exit codes, with answers of a balancer without sockets."""

    async def fetch(self, url, flow):
        """Return the answer of the stand-in at a URL."""
        if url == 'http://gone':
            raise placement.BalancerSilentError('refused')
        if url == 'http://other':
            return b'{}'
        return msgspec.json.encode(self.forwarder.view_placement(flow))

    def ask(self, *urls, flow=FLOW):
        return placement.placement(flow, urls, builders.CODEC, self.fetch)

    def test_lines_name_agents_scores_and_reasons(self):
        self.capacity_reports = {'1': (0.0, 0.02), '2': (0.3, 0.02)}
        self.report()
        flow = self.forwarder._codec.format_flow(self.open()[:12])
        carried = self.ask('http://front', flow=flow)
        self.assertEqual(carried.lines[0], 'front-1: carried: 1')
        report = self.ask('http://front', flow=flow.replace(':4', ':5', 1))
        self.assertEqual(report.exit_code, const.EXIT_DONE)
        self.assertEqual(report.lines[0], 'front-1: placed: 1')
        text = '\n'.join(report.lines)
        self.assertRegex(
            text, r'1 \(a\): expected_s 0\.\d+ \[ready\] .*wait_s='
        )
        self.assertIn('objective 0.25 s', text)
        msgspec.json.encode(report.answer)

    def test_silent_balancers_do_not_hide_the_others(self):
        report = self.ask('http://gone', 'http://front', 'http://other')
        self.assertEqual(report.exit_code, const.EXIT_UNAVAILABLE)
        self.assertEqual(report.lines[0], 'http://gone: KQ-6015: refused')
        self.assertTrue(report.lines[1].startswith('front-1: '))
        self.assertIn('KQ-6015: malformed', report.lines[-1])

    def test_malformed_flow_is_not_sent(self):
        with self.assertRaises(exceptions.FlowNameError):
            self.ask('http://front', flow='100.64.0.7:40001')
