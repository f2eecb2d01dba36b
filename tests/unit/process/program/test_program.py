"""Entry point: exit codes, signals and the log lines of errors."""

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

SCENARIO = sys.argv.pop(1)

class Service(mode.Service):
    async def on_start(self):
        if SCENARIO == 'cannot-start':
            raise exceptions.StartError('no port')
        if SCENARIO == 'bug':
            raise KeyError('x')
        if SCENARIO == 'os-error':
            raise OSError(98, 'in use')
        if SCENARIO == 'slow-start':
            print('up', flush=True)
            await asyncio.sleep(60)

    @mode.Service.task
    async def run(self):
        if SCENARIO == 'crash':
            raise exceptions.FrameError('bad')
        print('up', flush=True)

    async def async_drain(self):
        print('draining', flush=True)
        if SCENARIO == 'bad-drain':
            raise KeyError('x')
        await asyncio.sleep(60 if SCENARIO == 'slow' else 0.05)
        print('drained', flush=True)

sys.exit(entry.run('kumquatport-x', settings.load_balancer, lambda _: Service()))
"""


class ProgramTest(unittest.TestCase):
    """Runs a small program that fails or stops in a given way."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)
        self.settings = texts.write(self.folder, texts.BALANCER)

    def start(self, scenario, *args):
        command = [sys.executable, '-c', _PROGRAM, scenario, *args]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait, TIMEOUT_S)
        self.addCleanup(process.kill)
        return process

    def run_to_end(self, scenario, *args):
        process = self.start(scenario, *(args or ('--settings', self.settings)))
        out, err = process.communicate(timeout=TIMEOUT_S)
        self.assertNotIn('Traceback', err)
        return process.returncode, out, err

    def codes(self, err):
        lines = [json.loads(line) for line in err.splitlines()]
        return {line['code'] for line in lines if 'code' in line}

    def test_check(self):
        code, _, _ = self.run_to_end(
            'x', '--settings', self.settings, '--check'
        )
        self.assertEqual(code, 0)
        texts.write(self.folder, texts.AGENT)
        code, _, err = self.run_to_end(
            'x', '--settings', self.settings, '--check'
        )
        self.assertEqual((code, self.codes(err)), (2, {'KQ-1001'}))
        self.assertEqual(len(err.splitlines()), 1)

    def test_usage(self):
        self.assertEqual(self.run_to_end('x', '--colour')[0], 2)
        self.assertEqual(self.run_to_end('x', '--settings', 'none.yaml')[0], 2)

    def test_version_and_help(self):
        code, out, _ = self.run_to_end('x', '--version')
        self.assertEqual(code, 0)
        self.assertTrue(out.startswith('kumquatport-x '))
        code, out, _ = self.run_to_end('x', '--help')
        self.assertEqual(code, 0)
        self.assertIn('exit codes', out)

    def test_cannot_start(self):
        for scenario in ('cannot-start', 'os-error'):
            code, _, err = self.run_to_end(scenario)
            self.assertEqual((code, self.codes(err)), (3, {'KQ-1003'}))

    def test_unexpected_error_at_start_is_logged_with_its_traceback(self):
        process = self.start('bug', '--settings', self.settings)
        _, err = process.communicate(timeout=TIMEOUT_S)
        line = json.loads(err.splitlines()[-1])
        self.assertEqual(process.returncode, 3)
        self.assertIn('KeyError', line['exception'])

    def test_error_while_running(self):
        code, _, err = self.run_to_end('crash')
        self.assertEqual((code, self.codes(err)), (4, {'KQ-4001'}))

    def stop(self, scenario, *signals):
        process = self.start(scenario, '--settings', self.settings)
        self.assertEqual(process.stdout.readline(), 'up\n')
        for signum in signals:
            process.send_signal(signum)
            process.stdout.readline()
        out, _ = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, out

    def test_signals_drain_and_stop(self):
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.assertEqual(self.stop('x', signum), (0, 'drained\n'))

    def test_second_signal_ends_draining(self):
        result = self.stop('slow', signal.SIGTERM, signal.SIGTERM)
        self.assertEqual(result, (0, ''))

    def test_signal_during_start(self):
        self.assertEqual(self.stop('slow-start', signal.SIGTERM)[0], 0)

    def test_error_while_draining(self):
        self.assertEqual(self.stop('bad-drain', signal.SIGTERM)[0], 4)
