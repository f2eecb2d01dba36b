"""Checks that the pages list all settings, linter exceptions and metrics."""

import configparser
import pathlib
import re
import unittest

from kumquatport.process.settings import schema
from tests import metrics_page

SETTINGS = pathlib.Path('docs/SETTINGS.md')
STYLE = pathlib.Path('docs/STYLE.md')


def _key_names(keys, prefix=''):
    """Yield the dotted names of the keys of a schema."""
    for marker, check in keys.items():
        name = f'{prefix}{marker.schema}'
        if isinstance(check, dict):
            yield from _key_names(check, f'{name}.')
        else:
            yield name


class PagesTest(unittest.TestCase):
    """Compares code and configuration with their pages."""

    def test_settings(self):
        text = SETTINGS.read_text()
        folder = pathlib.Path()
        for build in (schema.balancer, schema.agent, schema.console):
            for name in _key_names(build(folder).schema):
                self.assertRegex(text, rf'`{re.escape(name)}(\[\]|`)', name)

    def test_linter_exceptions(self):
        config = configparser.ConfigParser()
        config.read('setup.cfg')
        listed = re.findall(r'\b(?:WPS|[EWFC])\d+', config['flake8']['ignore'])
        self.assertGreater(len(listed), 20)
        text = STYLE.read_text()
        missing = [code for code in listed if code not in text]
        self.assertEqual(missing, [])

    def test_metrics_page_is_read_well(self):
        for name in ('cpu_s', 'dropped.x', 'latency.a.b.p90_us', 'hops.2'):
            self.assertTrue(metrics_page.covers(name), name)
        for name in ('dropped', 'latency.a.b', 'p90_us', 'nonsense'):
            self.assertFalse(metrics_page.covers(name), name)
