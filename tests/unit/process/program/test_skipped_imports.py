"""What a packet program loads before it takes packets."""

import json
import subprocess
import sys
import unittest

TIMEOUT_S = 30

_LOADED = """
import json, sys
import kumquatport.platform.program
from kumquatport.process.packets import agent, balancer
print(json.dumps([name for name, one in sys.modules.items() if one]))
"""

_TIMETABLE = """
import json
import kumquatport.platform.program
from mode.utils import cron
print(json.dumps(cron.secs_for_next('* * * * *')))
"""


def _printed(program):
    done = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    return json.loads(done.stdout)


class OmittedTest(unittest.TestCase):
    """Modules that nobody uses cost no time at a start."""

    def test_unused_libraries_are_not_loaded(self):
        loaded = set(_printed(_LOADED))
        unused = {'ssl', '_ssl', 'colorama', 'rich', 'dateutil', 'aiohttp'}
        self.assertEqual(loaded & unused, set())

    def test_a_timetable_loads_its_library(self):
        seconds = _printed(_TIMETABLE)
        self.assertGreaterEqual(seconds, 0)
        self.assertLessEqual(seconds, 60)
