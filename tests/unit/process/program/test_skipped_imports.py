"""Modules that a packet program imports before it handles packets."""

import json
import subprocess
import sys
import unittest

TIMEOUT_S = 30

_LIST_MODULES = """
import json, sys
import kumquatport.platform.program
from kumquatport.process.packets import agent, balancer
print(json.dumps([name for name, module in sys.modules.items() if module]))
"""

_USE_CRON = """
import json
import kumquatport.platform.program
from mode.utils import cron
print(json.dumps(cron.secs_for_next('* * * * *')))
"""


def _run_program(program):
    completed = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    return json.loads(completed.stdout)


class OmittedTest(unittest.TestCase):
    """Importing unused modules would delay the start."""

    def test_unused_libraries_are_not_imported(self):
        loaded = set(_run_program(_LIST_MODULES))
        unused = {'ssl', '_ssl', 'colorama', 'rich', 'dateutil', 'aiohttp'}
        self.assertEqual(loaded & unused, set())

    def test_a_cron_schedule_imports_its_library(self):
        seconds = _run_program(_USE_CRON)
        self.assertGreaterEqual(seconds, 0)
        self.assertLessEqual(seconds, 60)
