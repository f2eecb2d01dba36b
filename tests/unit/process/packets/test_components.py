"""Tests of the reload, metrics, rate-limited logs and flow tables."""

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
    """Which settings a running process applies."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.toml'
        self.path.write_text('')
        self.applied = []
        self.loaded = builders.settings()
        self.reloader = reload.Reloader(
            self.path, builders.settings(), self._load, self.applied.append
        )

    def _load(self, _source):
        if isinstance(self.loaded, Exception):
            raise self.loaded
        return self.loaded

    def test_reloadable_fields_are_applied(self):
        self.loaded = builders.settings(seeds=('10.0.0.7',), address='10.9.9.9')
        self.reloader.reload('signal')
        (applied,) = self.applied
        self.assertEqual(applied.seeds, ('10.0.0.7',))
        self.assertEqual(applied.address, '10.0.0.2')

    def test_invalid_file_changes_nothing(self):
        self.loaded = exceptions.SettingsError('f', 1, 'Ip', 'expected')
        self.reloader.reload('signal')
        self.assertEqual(self.applied, [])
        self.loaded = builders.settings(heartbeat_s=2.0)
        self.reloader.reload('file')
        self.assertEqual(self.applied[0].heartbeat_s, 2.0)

    def test_nothing_changed(self):
        self.reloader.reload('signal')
        self.assertEqual(self.applied, [])


class MetricsTest(unittest.TestCase):
    """Text of the metrics."""

    def test_text(self):
        exported = metrics.Metrics()
        exported.add_source('decisions', lambda: {'flow placed': 3})
        observe = exported.observer('service_time')
        for _ in range(10):
            observe('198.18.0.1:443', 0.05)
        text = exported.render()
        self.assertIn('kumquatport_decisions{of="flow placed"} 3\n', text)
        self.assertIn(
            'kumquatport_service_time_count{of="198.18.0.1:443"} 10\n', text
        )
        self.assertRegex(text, r'percentile="99"} (49|50)\d{3}\n')

    def test_number_of_labels_is_limited(self):
        exported = metrics.Metrics()
        observe = exported.observer('service_time')
        for number in range(2 * metrics.MAX_HISTOGRAMS):
            observe(f'route {number}', 0.01)
        counts = [
            line for line in exported.render().splitlines() if '_count' in line
        ]
        self.assertEqual(len(counts), metrics.MAX_HISTOGRAMS + 1)
        self.assertIn('of="other"', counts[-1])


class DecisionLogTest(unittest.TestCase):
    """Lines about flows are rate-limited, counts are not."""

    def test_burst_is_limited(self):
        lines = mock.Mock()
        count = int(decision_log.BURST_LINES) + 50
        with mock.patch('kumquatport.helpers.clock.now', lambda: 5.0):
            decisions = decision_log.DecisionLog(
                lines, builders.CODEC.format_flow
            )
            for _ in range(count):
                decisions.note('flow placed', builders.flow(), agent='side-1')
        self.assertEqual(decisions.counts['flow placed'], count)
        self.assertLessEqual(
            lines.info.call_count, int(decision_log.BURST_LINES) + 1
        )
        decisions.flush()
        lines.warning.assert_called_once()
        _, fields = lines.info.call_args
        self.assertEqual(fields['flow'], '100.64.0.7:40001>198.18.0.1:443')


class OutputTest(unittest.TestCase):
    """A stalled reader of the log does not block the process."""

    def test_a_full_pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        log_output = output.NonBlockingStream(writer)
        for _ in range(100):
            log_output.write('x' * 4096 + '\n')
        self.assertGreater(log_output.dropped_lines, 0)


class FlowsTest(unittest.TestCase):
    """How long and how many flows are remembered."""

    def test_agent_forgets_ended_and_unopened_flows(self):
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
        service_times = []
        flows.observe_service_time = lambda flow, seconds: service_times.append(
            seconds
        )
        state = flows.add_open(builders.flow(), 0.0)
        parse = builders.CODEC.parse_client_packet
        request = parse(builders.datagram(builders.flow(), data=b'GET'))
        for moment in (1.0, 1.1):
            flows.on_client_packet(state, request, moment)
        self.assertEqual(flows.busy, 1)
        answer = builders.answer(builders.flow(), data=b'200')
        flows.on_backend_server_packet(
            builders.CODEC.parse_backend_server_packet(answer), 1.5
        )
        self.assertEqual((flows.busy, service_times), (0, [0.5]))
        flows.on_client_packet(state, request, 2.0)
        flows.remove(builders.flow())
        self.assertEqual(flows.busy, 0)

    def test_balancer_remembers_a_limited_number(self):
        flows = flow_cache.FlowCache()
        with mock.patch.object(flow_cache, 'MAX_FLOWS', 10):
            for port in range(15):
                flows.touch(builders.flow(port), float(port))
        self.assertEqual(len(flows), 10)
        self.assertIsNone(flows.get(builders.flow(4)))
        flows.touch(builders.flow(5), 20.0)
        self.assertEqual(flows.expire(35.0, 1.0), 9)
        self.assertIsNotNone(flows.get(builders.flow(5)))
