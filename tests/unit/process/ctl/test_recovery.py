"""``recovery``: stages of a joint restart, from the logs of processes."""

import json
import pathlib
import tempfile
import unittest

from kumquatport.process.ctl import __main__ as ctl
from kumquatport.process.ctl import recovery


def log_line(second, instance, event, **fields):
    """Return a JSON log line."""
    timestamp = f'2026-12-04T10:00:{second:06.3f}+00:00'
    entry = {
        'event': event,
        'instance': instance,
        'timestamp': timestamp,
        **fields,
    }
    return json.dumps(entry)


def start_line(second, instance, service='', incarnation=1):
    """Return the first log line of a process."""
    return log_line(
        second,
        instance,
        'instance changed',
        peer=instance,
        service=service,
        incarnation=incarnation,
    )


LOG = (
    start_line(1, 'front-1'),
    start_line(1.2, 'front-2'),
    # All instances restart after a power failure; one starts later.
    start_line(20.1, 'front-1', incarnation=2),
    log_line(20.15, 'front-1', 'instance heard', peer='front-2'),
    start_line(20.2, 'front-2', incarnation=2),
    start_line(20.4, 'side-1', service='store', incarnation=2),
    log_line(20.41, 'side-1', 'instance changed', peer='side-1', incarnation=2),
    log_line(20.5, 'front-1', 'routes changed', version=3),
    log_line(20.6, 'front-1', 'flow placed', flow='x'),
    log_line(20.7, 'side-1', 'flow offered', flow='x'),
    log_line(20.8, 'front-1', 'flow reset', flow='y', reason='not_held'),
    log_line(21.8, 'front-1', 'flow reset', flow='z', reason='not_held'),
    log_line(59, 'front-1', 'flow reset', flow='w', reason='no_route'),
    'no json',
)


class RecoveryTest(unittest.TestCase):
    """Stages by kind of instance, for the largest group of starts."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = pathlib.Path(directory.name) / 'all.log'
        self.file.write_text('\n'.join(LOG))

    def stages(self, since=''):
        answer = recovery.recovery([str(self.file)], since).answer
        self.assertEqual(answer['unreadable_lines'], 1)
        return {
            (stage['kind'], stage['stage']): (
                stage['count'],
                stage['first_s'],
                stage['last_s'],
            )
            for stage in answer['stages']
        }

    def test_stages_from_first_start(self):
        stages = self.stages()
        self.assertEqual(stages['balancer', 'sockets open'], (2, 0.0, 0.1))
        self.assertEqual(stages['agent', 'sockets open'], (1, 0.3, 0.3))
        self.assertEqual(stages['balancer', 'routes known'], (1, 0.4, 0.4))
        self.assertEqual(stages['agent', 'first flow offered'], (1, 0.6, 0.6))
        self.assertEqual(
            stages['balancer', 'last lost flow told'], (1, 1.7, 1.7)
        )

    def test_stages_from_given_time(self):
        stages = self.stages('2026-12-04T10:00:20+00:00')
        self.assertEqual(stages['balancer', 'sockets open'], (2, 0.1, 0.2))

    def test_no_start_logged(self):
        self.file.write_text(log_line(1, 'front-1', 'Started'))
        with self.assertRaises(recovery.NoStartsLoggedError):
            recovery.recovery([str(self.file)], '')
        with self.assertRaises(recovery.NoStartsLoggedError):
            recovery.recovery([str(self.file)], 'noon')

    def test_command_line(self):
        self.assertEqual(ctl.main(['recovery', '--logs', str(self.file)]), 0)
        self.assertNotEqual(ctl.main(['recovery', '--logs', '/no/file']), 0)


if __name__ == '__main__':
    unittest.main()
