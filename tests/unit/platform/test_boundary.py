"""Dependencies of the platform adapter, and where its names may appear."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[3] / 'kumquatport'
ADAPTER = ROOT / 'platform'
# The modules outside the adapter that may import it.
COMPOSITION_MODULES = (
    'process/instance/common_services.py',
    'process/ctl/__main__.py',
    'process/console/service.py',
)
# Names of the platform that the project does not also use as common words.
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
DECISION_MODULES = (
    'admission',
    'placement',
    'cold_start',
    'forwarder',
    'agent_datapath',
    'retrying_client',
    'mesh',
)


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{name.name}' for name in node.names)
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


class BoundaryTest(unittest.TestCase):
    """Platform names stay in the adapter and decisions outside it."""

    def test_only_programs_import_the_adapter(self):
        for path in ROOT.rglob('*.py'):
            relative_path = path.relative_to(ROOT).as_posix()
            if (
                path.is_relative_to(ADAPTER)
                or relative_path in COMPOSITION_MODULES
            ):
                continue
            used = [
                name
                for name in _imports(path)
                if name.startswith('kumquatport.platform')
            ]
            self.assertEqual(used, [], relative_path)

    def test_names_of_the_platform_stay_in_the_adapter(self):
        for path in ROOT.rglob('*.py'):
            if path.is_relative_to(ADAPTER):
                continue
            found = NAMES.search(path.read_text())
            self.assertIsNone(found, f'{path}: {found}')

    def test_the_adapter_imports_no_decision_module(self):
        for path in ADAPTER.glob('*.py'):
            used = {name.rpartition('.')[2] for name in _imports(path)}
            self.assertEqual(used.intersection(DECISION_MODULES), set(), path)
