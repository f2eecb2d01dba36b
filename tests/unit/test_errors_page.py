"""Checks that the errors page lists exactly the error classes."""

import ast
import pathlib
import re
import typing
import unittest

PAGE = pathlib.Path('docs/ERRORS.md')
SOURCES = pathlib.Path('kumquatport')
ROOT_CLASS = 'KumquatportError'
_ROW = re.compile(r'^\| (KQ-\d{4}) \| `(\w+)` \|', re.MULTILINE)


class ClassDefinition(typing.NamedTuple):
    """A class in the sources; its code is empty if it defines none."""

    name: str
    bases: frozenset[str]
    code: str


def _base_name(node):
    return node.attr if isinstance(node, ast.Attribute) else node.id


def _error_code(definition):
    for node in definition.body:
        if isinstance(node, ast.Assign | ast.AnnAssign):
            target = getattr(node, 'target', None) or node.targets[0]
            is_code = getattr(target, 'id', '') == 'code'
            if is_code and isinstance(node.value, ast.Constant):
                return node.value.value
    return ''


def _all_classes():
    for path in SOURCES.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                named_bases = [
                    base
                    for base in node.bases
                    if isinstance(base, ast.Attribute | ast.Name)
                ]
                bases = frozenset(_base_name(base) for base in named_bases)
                yield ClassDefinition(node.name, bases, _error_code(node))


def _error_classes():
    """Return the root class and all classes derived from it."""
    classes = list(_all_classes())
    names = {ROOT_CLASS}
    while True:
        derived = {found.name for found in classes if found.bases & names}
        if derived <= names:
            return [found for found in classes if found.name in names]
        names |= derived


class ErrorsPageTest(unittest.TestCase):
    """Compares the page with the error classes of all modules."""

    @classmethod
    def setUpClass(cls):
        cls.errors = _error_classes()

    def test_page_and_classes_agree(self):
        rows = _ROW.findall(PAGE.read_text())
        self.assertCountEqual(
            rows, [(found.code, found.name) for found in self.errors]
        )

    def test_codes_are_unique(self):
        codes = [found.code for found in self.errors]
        self.assertEqual(len(codes), len(set(codes)))
        self.assertNotIn('', codes)

    def test_errors_are_found(self):
        self.assertGreater(len(self.errors), 20)
