"""Log lines: fields, expected errors, and faults logged once."""

import json
import subprocess
import sys
import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.process.logs import const, faults, processors

_PROGRAM = """
import logging, structlog
from kumquatport import exceptions
from kumquatport.process import logs
from kumquatport.process.settings import models
logs.setup(models.LogSettings('json', 'info'))
logs.bind('agent-1', 'accra-a')
logger = structlog.get_logger('x')
logger.debug('hidden')
logger.info('shown', size=3)
try:
    raise exceptions.FrameError('bad')
except exceptions.FrameError as err:
    logger.exception('typed')
    logging.getLogger('library').exception('theirs %s', 1)
try:
    raise KeyError('bug')
except KeyError:
    logger.exception('untyped')
"""


class OutputTest(unittest.TestCase):
    """Lines that a process writes to standard error."""

    @classmethod
    def setUpClass(cls):
        completed = subprocess.run(
            [sys.executable, '-c', _PROGRAM],
            capture_output=True,
            text=True,
            check=True,
        )
        cls.lines = [json.loads(line) for line in completed.stderr.splitlines()]

    def test_every_line_has_instance_and_failure_domain(self):
        self.assertEqual(len(self.lines), 4)
        for line in self.lines:
            self.assertEqual(line['instance'], 'agent-1')
            self.assertEqual(line['failure_domain'], 'accra-a')
            self.assertIn('timestamp', line)
            self.assertIn('level', line)

    def test_expected_errors_have_a_code_and_no_traceback(self):
        _, expected, from_library, unexpected = self.lines
        for line in (expected, from_library):
            self.assertEqual(line['code'], 'KQ-4001')
            self.assertEqual(line['error'], 'bad')
            self.assertNotIn('exception', line)
        self.assertEqual(from_library['event'], 'theirs 1')
        self.assertIn('Traceback', unexpected['exception'])


class ExpectedErrorTest(unittest.TestCase):
    """The processor that replaces expected errors."""

    def test_operating_system_errors_have_no_traceback(self):
        err = OSError(98, 'in use')
        line = processors.format_expected_error(
            None, '', {'exc_info': (type(err), err, None)}
        )
        self.assertEqual(line, {'error': '[Errno 98] in use'})

    def test_error_without_text_is_logged_as_its_repr(self):
        line = processors.format_expected_error(
            None, '', {'error': TimeoutError()}
        )
        self.assertEqual(line['error'], 'TimeoutError()')


class ReporterTest(unittest.TestCase):
    """A fault is logged once when it begins and once when it clears."""

    def setUp(self):
        self.logger = mock.Mock()
        self.report = faults.reporter(self.logger, 'down', 'up')
        self.err = exceptions.PeerUnavailableError('x')

    def test_logs_begin_and_clear_once(self):
        self.report(None)
        for _ in range(3):
            self.report(self.err)
        self.report(None)
        self.report(None)
        self.logger.warning.assert_called_once_with('down', error=self.err)
        self.logger.info.assert_called_once_with('up', failures=3)

    def test_keys_are_independent(self):
        self.report(self.err, 'a')
        self.report(None, 'b')
        self.report(self.err, 'b')
        self.assertEqual(self.logger.warning.call_count, 2)
        self.logger.info.assert_not_called()

    def test_number_of_active_keys_is_limited(self):
        for number in range(const.MAX_FAULT_KEYS + 10):
            self.report(self.err, str(number))
        self.assertEqual(self.logger.warning.call_count, const.MAX_FAULT_KEYS)
        self.report(None, '0')
        self.report(self.err, 'new')
        self.assertEqual(
            self.logger.warning.call_count, const.MAX_FAULT_KEYS + 1
        )
