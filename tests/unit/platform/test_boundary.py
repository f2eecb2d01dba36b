"""What the adapter to the platform may be used by, and what it may name."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[3] / 'kumquatport'
ADAPTER = ROOT / 'platform'
# The modules that build a program's parts.
BUILDERS = (
    'process/instance/common_services.py',
    'process/ctl/__main__.py',
    'process/console/service.py',
)
# Names of the platform that are no common words of the project too.
NAMES = re.compile(
    '|'.join(
        f'[\'"]{name}'
        for name in (
            'NodeName',
            'DatagramAddr',
            'InternalPorts',
            'HeartbeatMs',
            'HistoryS',
            'PathPrefix',
            'IdleTimeoutMs',
            'WarmupPerS',
            'WarmupLeftMs',
            'WarmupFactor',
            'WaitMs',
            'StoreRevision',
            'HasMore',
            'HealthPath',
            'evacuations',
            '/instances/',
            '/objects/',
            'KUMQUATPORT_SETTINGS',
        )
    )
)
DECISIONS = ('admission', 'placement', 'cold', 'forwarder', 'carrier', 'mesh')


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{name.name}' for name in node.names)
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


class BoundaryTest(unittest.TestCase):
    """Names stay in the adapter, decisions stay out of it."""

    def test_only_programs_use_the_adapter(self):
        for path in ROOT.rglob('*.py'):
            inside = path.relative_to(ROOT).as_posix()
            if path.is_relative_to(ADAPTER) or inside in BUILDERS:
                continue
            used = [
                name
                for name in _imports(path)
                if name.startswith('kumquatport.platform')
            ]
            self.assertEqual(used, [], inside)

    def test_names_of_the_platform_stay_in_the_adapter(self):
        for path in ROOT.rglob('*.py'):
            if path.is_relative_to(ADAPTER):
                continue
            found = NAMES.search(path.read_text())
            self.assertIsNone(found, f'{path}: {found}')

    def test_the_adapter_uses_no_decision(self):
        for path in ADAPTER.glob('*.py'):
            used = {name.rpartition('.')[2] for name in _imports(path)}
            self.assertEqual(used.intersection(DECISIONS), set(), path)
