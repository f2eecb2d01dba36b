"""Tests of the benchmark runner."""

import contextlib
import io
import json
import types
import unittest
from unittest import mock

from bench import __main__ as bench_main
from bench import figure


def _run_benchmarks(**modules):
    """Run benchmarks given by name.

    Returns:
        Exit code, printed figures and saved figures.
    """
    out = io.StringIO()
    with (
        mock.patch.object(bench_main, 'find_benchmarks', lambda: list(modules)),
        mock.patch.object(
            bench_main,
            '_import_benchmark',
            lambda name: types.SimpleNamespace(run=modules[name]),
        ),
        mock.patch.object(bench_main.results, 'save') as save,
        mock.patch('sys.argv', ['bench']),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        code = bench_main.main()
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    return code, lines, save.call_args.args[0]


class MainTest(unittest.TestCase):
    """The runner prints a line per figure and fails if any is out of bounds.

    An exception in one benchmark must neither hide its failure nor prevent the
    other benchmarks.
    """

    def test_all_within_bounds(self):
        one = figure.at_most('a.x', 1, 's', 2)
        code, lines, saved = _run_benchmarks(a=lambda: iter([one]))
        self.assertEqual(code, 0)
        self.assertEqual(
            lines,
            [{'name': 'a.x', 'value': 1, 'unit': 's', 'bound': 2, 'ok': True}],
        )
        self.assertEqual(saved, {'a': [one]})

    def test_outside_a_bound(self):
        code, _, _ = _run_benchmarks(
            a=lambda: iter([figure.at_least('a.x', 1, 's', 2)])
        )
        self.assertEqual(code, 1)

    def test_exception_does_not_prevent_other_benchmarks(self):
        def failing():
            yield figure.unbounded('a.x', 1, 's')
            raise OSError

        code, lines, _ = _run_benchmarks(
            a=failing, b=lambda: iter([figure.unbounded('b.x', 1, 's')])
        )
        self.assertEqual(code, 1)
        names = [line['name'] for line in lines]
        self.assertEqual(names, ['a.x', 'a.completed', 'b.x'])
