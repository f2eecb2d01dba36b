"""Settings read again, figures, bounded logs, the remembered flows."""

import os
import pathlib
import tempfile
import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.connection.packets import flow_cache, flow_table
from kumquatport.process.logs import output
from kumquatport.process.packets import decision_log, metrics, reload
from tests.builders import packets as builders


class ReloadTest(unittest.TestCase):
    """What a running process takes over."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.toml'
        self.path.write_text('')
        self.applied = []
        self.found = builders.settings()
        self.reloader = reload.Reloader(
            self.path, builders.settings(), self._load, self.applied.append
        )

    def _load(self, _source):
        if isinstance(self.found, Exception):
            raise self.found
        return self.found

    def test_changeable_fields_are_applied(self):
        self.found = builders.settings(seeds=('10.0.0.7',), address='10.9.9.9')
        self.reloader.reload('signal')
        (applied,) = self.applied
        self.assertEqual(applied.seeds, ('10.0.0.7',))
        self.assertEqual(applied.address, '10.0.0.2')

    def test_a_broken_file_changes_nothing(self):
        self.found = exceptions.SettingsError('f', 1, 'Ip', 'expected')
        self.reloader.reload('signal')
        self.assertEqual(self.applied, [])
        self.found = builders.settings(heartbeat_s=2.0)
        self.reloader.reload('file')
        self.assertEqual(self.applied[0].heartbeat_s, 2.0)

    def test_nothing_changed(self):
        self.reloader.reload('signal')
        self.assertEqual(self.applied, [])


class FiguresTest(unittest.TestCase):
    """The page of metrics."""

    def test_text(self):
        made = metrics.Metrics()
        made.add_source('decisions', lambda: {'flow placed': 3})
        observe = made.observer('service_time')
        for _ in range(10):
            observe('198.18.0.1:443', 0.05)
        text = made.render()
        self.assertIn('kumquatport_decisions{of="flow placed"} 3\n', text)
        self.assertIn(
            'kumquatport_service_time_count{of="198.18.0.1:443"} 10\n', text
        )
        self.assertRegex(text, r'percentile="99"} (49|50)\d{3}\n')

    def test_labels_are_bounded(self):
        made = metrics.Metrics()
        observe = made.observer('service_time')
        for number in range(2 * metrics.MAX_HISTOGRAMS):
            observe(f'route {number}', 0.01)
        counts = [row for row in made.render().splitlines() if '_count' in row]
        self.assertEqual(len(counts), metrics.MAX_HISTOGRAMS + 1)
        self.assertIn('of="other"', counts[-1])


class DecisionsTest(unittest.TestCase):
    """Lines about flows are bounded, counts are not."""

    def test_a_burst(self):
        lines = mock.Mock()
        asked = int(decision_log.BURST_LINES) + 50
        with mock.patch('kumquatport.helpers.clock.now', lambda: 5.0):
            made = decision_log.DecisionLog(lines, builders.CODEC.format_flow)
            for _ in range(asked):
                made.note('flow placed', builders.flow(), agent='side-1')
        self.assertEqual(made.counts['flow placed'], asked)
        self.assertLessEqual(
            lines.info.call_count, int(decision_log.BURST_LINES) + 1
        )
        made.flush()
        lines.warning.assert_called_once()
        _, fields = lines.info.call_args
        self.assertEqual(fields['flow'], '100.64.0.7:40001>198.18.0.1:443')


class OutputTest(unittest.TestCase):
    """A reader that does not read holds nothing up."""

    def test_a_full_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        made = output.NonBlockingStream(writer)
        for _ in range(100):
            made.write('x' * 4096 + '\n')
        self.assertGreater(made.dropped_lines, 0)


class FlowsTest(unittest.TestCase):
    """Flows that are remembered, and for how long."""

    def test_an_agent_forgets_what_ended_or_never_opened(self):
        flows = flow_table.FlowTable()
        flows.add(builders.flow(1), 0.0)
        flows.add_open(builders.flow(2), 0.0)
        ended = flows.add_open(builders.flow(3), 0.0)
        ended.client_closed = ended.server_closed = True
        self.assertEqual(
            flows.expire(flow_table.HALF_OPEN_TIMEOUT_S + 0.1, 60.0), 1
        )
        self.assertEqual(
            flows.expire(flow_table.CLOSED_LINGER_S + 0.1, 60.0), 1
        )
        self.assertEqual(flows.expire(59.0, 60.0), 0)
        self.assertEqual(flows.expire(61.0, 60.0), 1)

    def test_requests_in_progress(self):
        flows = flow_table.FlowTable()
        seen = []
        flows.observe_service_time = lambda flow, seconds: seen.append(seconds)
        one = flows.add_open(builders.flow(), 0.0)
        read = builders.CODEC.parse_client_packet
        asked = read(builders.datagram(builders.flow(), data=b'GET'))
        for moment in (1.0, 1.1):
            flows.on_client_packet(one, asked, moment)
        self.assertEqual(flows.busy, 1)
        answer = builders.answer(builders.flow(), data=b'200')
        flows.on_backend_server_packet(
            builders.CODEC.parse_backend_server_packet(answer), 1.5
        )
        self.assertEqual((flows.busy, seen), (0, [0.5]))
        flows.on_client_packet(one, asked, 2.0)
        flows.remove(builders.flow())
        self.assertEqual(flows.busy, 0)

    def test_a_balancer_remembers_a_bounded_number(self):
        flows = flow_cache.FlowCache()
        with mock.patch.object(flow_cache, 'MAX_FLOWS', 10):
            for port in range(15):
                flows.touch(builders.flow(port), float(port))
        self.assertEqual(len(flows), 10)
        self.assertIsNone(flows.get(builders.flow(4)))
        flows.touch(builders.flow(5), 20.0)
        self.assertEqual(flows.expire(35.0, 1.0), 9)
        self.assertIsNotNone(flows.get(builders.flow(5)))
