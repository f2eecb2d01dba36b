"""The return of many processes, from their logs."""

import json
import pathlib
import tempfile
import unittest

from kumquatport.process.ctl import __main__ as ctl
from kumquatport.process.ctl import recovery


def line(second, instance, event, **inputs):
    """Return a line of a log."""
    stamp = f'2026-12-04T10:00:{second:06.3f}+00:00'
    row = {'event': event, 'instance': instance, 'timestamp': stamp, **inputs}
    return json.dumps(row)


def begins(second, instance, service='', incarnation=1):
    """Return the first line of a process."""
    return line(
        second,
        instance,
        'instance changed',
        peer=instance,
        service=service,
        incarnation=incarnation,
    )


LOG = (
    begins(1, 'front-1'),
    begins(1.2, 'front-2'),
    # All lose power, and one is late.
    begins(20.1, 'front-1', incarnation=2),
    line(20.15, 'front-1', 'instance heard', peer='front-2'),
    begins(20.2, 'front-2', incarnation=2),
    begins(20.4, 'side-1', service='store', incarnation=2),
    line(20.41, 'side-1', 'instance changed', peer='side-1', incarnation=2),
    line(20.5, 'front-1', 'routes changed', version=3),
    line(20.6, 'front-1', 'flow placed', flow='x'),
    line(20.7, 'side-1', 'flow offered', flow='x'),
    line(20.8, 'front-1', 'flow reset', flow='y', reason='not_held'),
    line(21.8, 'front-1', 'flow reset', flow='z', reason='not_held'),
    line(59, 'front-1', 'flow reset', flow='w', reason='no_route'),
    'no json',
)


class RecoveryTest(unittest.TestCase):
    """Stages by kind, of the largest group of starts."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / 'all.log'
        self.file.write_text('\n'.join(LOG))

    def stages(self, since=''):
        answer = recovery.recovery([str(self.file)], since).answer
        self.assertEqual(answer['unreadable_lines'], 1)
        return {
            (one['kind'], one['stage']): (
                one['count'],
                one['first_s'],
                one['last_s'],
            )
            for one in answer['stages']
        }

    def test_stages_of_the_return(self):
        stages = self.stages()
        self.assertEqual(stages['balancer', 'sockets open'], (2, 0.0, 0.1))
        self.assertEqual(stages['agent', 'sockets open'], (1, 0.3, 0.3))
        self.assertEqual(stages['balancer', 'routes known'], (1, 0.4, 0.4))
        self.assertEqual(stages['agent', 'first flow offered'], (1, 0.6, 0.6))
        self.assertEqual(
            stages['balancer', 'last lost flow told'], (1, 1.7, 1.7)
        )

    def test_counted_from_the_return_of_power(self):
        stages = self.stages('2026-12-04T10:00:20+00:00')
        self.assertEqual(stages['balancer', 'sockets open'], (2, 0.1, 0.2))

    def test_logs_without_a_start(self):
        self.file.write_text(line(1, 'front-1', 'Started'))
        with self.assertRaises(recovery.NoStartsLoggedError):
            recovery.recovery([str(self.file)], '')
        with self.assertRaises(recovery.NoStartsLoggedError):
            recovery.recovery([str(self.file)], 'noon')

    def test_the_verb(self):
        self.assertEqual(ctl.main(['recovery', '--logs', str(self.file)]), 0)
        self.assertNotEqual(ctl.main(['recovery', '--logs', '/no/file']), 0)


if __name__ == '__main__':
    unittest.main()
