"""``explain``: log lines of several processes about one flow."""

import json
import pathlib
import tempfile
import unittest

from kumquatport.process.ctl import __main__ as ctl
from kumquatport.process.ctl import explain

FLOW = '100.64.0.7:40001>198.18.0.1:443'


def log_line(second, instance, event, **fields):
    """Return a JSON log line."""
    timestamp = f'2026-12-04T10:00:{second:06.3f}Z'
    entry = {
        'event': event,
        'instance': instance,
        'timestamp': timestamp,
        **fields,
    }
    return json.dumps(entry)


BALANCER_LOG = (
    log_line(1, 'front-1', 'Started'),
    log_line(2, 'front-1', 'routes changed', version=3, source='store'),
    log_line(5, 'front-1', 'flow placed', flow=FLOW, agent='side-1', copy=0),
    log_line(6, 'front-1', 'instance silent', peer='side-1'),
    log_line(6.1, 'front-1', 'instance silent', peer='side-2'),
    log_line(7, 'front-1', 'flow reset', flow=FLOW, reason='not_held'),
    log_line(7.5, 'front-1', 'flow reset', flow='100.64.0.9:1>198.18.0.1:443'),
)
AGENT_LOG = (
    '-5.1 side-1 ' + log_line(3, 'side-1', 'routes changed', version=2),
    log_line(5.002, 'side-1', 'flow offered', flow=FLOW, busy=1),
    'no json',
    '',
)


class ExplainTest(unittest.TestCase):
    """Order of lines, known states with their age, and unreadable input."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = []
        for name, log_lines in (
            ('front.log', BALANCER_LOG),
            ('side.log', AGENT_LOG),
        ):
            path = pathlib.Path(directory.name) / name
            path.write_text('\n'.join(log_lines))
            self.files.append(str(path))

    def test_orders_lines_of_all_processes(self):
        report = explain.explain(FLOW, self.files)
        steps = report.answer['steps']
        self.assertEqual(
            [(step.line.instance, step.line.event) for step in steps],
            [
                ('front-1', 'flow placed'),
                ('side-1', 'flow offered'),
                ('front-1', 'instance silent'),
                ('front-1', 'flow reset'),
            ],
        )
        self.assertEqual(report.answer['unreadable_lines'], 1)

    def test_known_states_and_their_age(self):
        report = explain.explain(FLOW, self.files)
        placed, offered, *_ = report.answer['steps']
        known_states = {state.event: state for state in placed.known_states}
        self.assertEqual(known_states['routes changed'].fields['version'], 3)
        self.assertEqual(known_states['routes changed'].age_s, 3.0)
        (known_state,) = offered.known_states
        self.assertEqual(known_state.fields['version'], 2)
        text = '\n'.join(report.lines)
        self.assertIn('+0.002 s  side-1  flow offered busy=1', text)
        self.assertIn('routes changed version=3 source=store, 3.000 s', text)

    def test_finds_flow_by_client_endpoint(self):
        report = explain.explain(FLOW.partition('>')[0], self.files)
        self.assertEqual(len(report.answer['steps']), 4)

    def test_command_line(self):
        with self.subTest('found'):
            self.assertEqual(
                ctl.main(['explain', FLOW, '--logs', *self.files]), 0
            )
        with self.subTest('no such flow'):
            self.assertEqual(
                ctl.main(['explain', '1.2.3.4:5', '--logs', *self.files]), 2
            )
        with self.subTest('no such file'):
            self.assertEqual(
                ctl.main(['explain', FLOW, '--logs', '/nowhere.log']), 2
            )
