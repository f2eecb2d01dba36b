"""The main function: exit codes, signals, one line for expected errors."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from tests.builders import settings_text as texts

TIMEOUT_S = 20

_PROGRAM = """
import asyncio, sys, mode
from kumquatport import exceptions
from kumquatport.process import settings
from kumquatport.process.program import entry

HOW = sys.argv.pop(1)

class Service(mode.Service):
    async def on_start(self):
        if HOW == 'cannot-start':
            raise exceptions.StartError('no port')
        if HOW == 'bug':
            raise KeyError('x')
        if HOW == 'os-error':
            raise OSError(98, 'in use')
        if HOW == 'slow-start':
            print('up', flush=True)
            await asyncio.sleep(60)

    @mode.Service.task
    async def run(self):
        if HOW == 'crash':
            raise exceptions.FrameError('bad')
        print('up', flush=True)

    async def async_drain(self):
        print('draining', flush=True)
        if HOW == 'bad-drain':
            raise KeyError('x')
        await asyncio.sleep(60 if HOW == 'slow' else 0.05)
        print('drained', flush=True)

sys.exit(entry.run('kumquatport-x', settings.load_balancer, lambda _: Service()))
"""


class ProgramTest(unittest.TestCase):
    """Runs small programs to their ends."""

    def setUp(self):
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        self.folder = pathlib.Path(held.name)
        self.settings = texts.write(self.folder, texts.BALANCER)

    def start(self, how, *args):
        command = [sys.executable, '-c', _PROGRAM, how, *args]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait, TIMEOUT_S)
        self.addCleanup(process.kill)
        return process

    def end(self, how, *args):
        process = self.start(how, *(args or ('--settings', self.settings)))
        out, err = process.communicate(timeout=TIMEOUT_S)
        self.assertNotIn('Traceback', err)
        return process.returncode, out, err

    def codes(self, err):
        lines = [json.loads(line) for line in err.splitlines()]
        return {line['code'] for line in lines if 'code' in line}

    def test_check(self):
        code, _, _ = self.end('x', '--settings', self.settings, '--check')
        self.assertEqual(code, 0)
        texts.write(self.folder, texts.AGENT)
        code, _, err = self.end('x', '--settings', self.settings, '--check')
        self.assertEqual((code, self.codes(err)), (2, {'KQ-1001'}))
        self.assertEqual(len(err.splitlines()), 1)

    def test_usage(self):
        self.assertEqual(self.end('x', '--colour')[0], 2)
        self.assertEqual(self.end('x', '--settings', 'none.yaml')[0], 2)

    def test_version_and_help(self):
        code, out, _ = self.end('x', '--version')
        self.assertEqual(code, 0)
        self.assertTrue(out.startswith('kumquatport-x '))
        code, out, _ = self.end('x', '--help')
        self.assertEqual(code, 0)
        self.assertIn('exit codes', out)

    def test_cannot_start(self):
        for how in ('cannot-start', 'os-error'):
            code, _, err = self.end(how)
            self.assertEqual((code, self.codes(err)), (3, {'KQ-1003'}))

    def test_bug_at_start_is_told_with_its_traceback(self):
        process = self.start('bug', '--settings', self.settings)
        _, err = process.communicate(timeout=TIMEOUT_S)
        line = json.loads(err.splitlines()[-1])
        self.assertEqual(process.returncode, 3)
        self.assertIn('KeyError', line['exception'])

    def test_fault_while_running(self):
        code, _, err = self.end('crash')
        self.assertEqual((code, self.codes(err)), (4, {'KQ-4001'}))

    def stop(self, how, *signals):
        process = self.start(how, '--settings', self.settings)
        self.assertEqual(process.stdout.readline(), 'up\n')
        for number in signals:
            process.send_signal(number)
            process.stdout.readline()
        out, _ = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, out

    def test_signals_drain_and_stop(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.assertEqual(self.stop('x', number), (0, 'drained\n'))

    def test_second_signal_ends_the_drain(self):
        ended = self.stop('slow', signal.SIGTERM, signal.SIGTERM)
        self.assertEqual(ended, (0, ''))

    def test_signal_during_start(self):
        self.assertEqual(self.stop('slow-start', signal.SIGTERM)[0], 0)

    def test_fault_in_the_drain(self):
        self.assertEqual(self.stop('bad-drain', signal.SIGTERM)[0], 4)
