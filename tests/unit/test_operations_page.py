"""Checks that the operations page explains all log events and gauges."""

import ast
import pathlib
import unittest
from collections import abc

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
PACKAGES = ('kumquatport/process/packets', 'kumquatport/platform')
LOGGERS = frozenset(
    (
        '_LOGGER',
        'self._log',
        'self._logger',
        'self.lines',
        'self._liveness.lines',
    )
)
LEVELS = frozenset(('info', 'warning', 'error', 'note'))


def logged_events(tree: ast.AST) -> abc.Iterator[str]:
    """Yield the log events of a module."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function = node.func
        if not isinstance(function, ast.Attribute):
            continue
        if function.attr == 'reporter':
            yield from _string_constants(node.args[1:])
        elif function.attr in LEVELS and _is_logger(function.value):
            yield from _string_constants(node.args[:1])


def _is_logger(value: ast.expr) -> bool:
    return ast.unparse(value) in LOGGERS


def _string_constants(nodes: abc.Iterable[ast.expr]) -> abc.Iterator[str]:
    for node in nodes:
        for part in ast.walk(node):
            if isinstance(part, ast.Constant) and isinstance(part.value, str):
                yield part.value


class OperationsPageTest(unittest.TestCase):
    """Compares the page with the sources."""

    def setUp(self):
        self.page = PAGE.read_text()
        self.trees = [
            ast.parse(path.read_text())
            for package in PACKAGES
            for path in sorted((ROOT / package).glob('*.py'))
        ]

    def test_each_event_is_explained(self):
        found = {event for tree in self.trees for event in logged_events(tree)}
        self.assertGreater(len(found), 30)
        missing = [
            name for name in sorted(found) if f'`{name}`' not in self.page
        ]
        self.assertEqual(missing, [])

    def test_each_gauge_is_explained(self):
        names = {
            key.value
            for tree in self.trees
            for node in ast.walk(tree)
            if isinstance(node, ast.FunctionDef) and node.name == 'gauges'
            for row in ast.walk(node)
            if isinstance(row, ast.Dict)
            for key in row.keys
            if isinstance(key, ast.Constant)
        }
        self.assertIn('flows', names)
        missing = [
            name for name in sorted(names) if f'`{name}`' not in self.page
        ]
        self.assertEqual(missing, [])
