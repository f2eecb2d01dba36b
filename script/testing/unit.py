"""Run the unit tests in a process of their own.

``python -m script.testing.unit FILE`` runs them and writes their outcomes;
``run`` starts that, so that a crash of the interpreter is a failed test.
"""

import json
import os
import pathlib
import subprocess
import sys
import typing
import unittest

from script.testing import outcome

NAME: typing.Final = 'unit'
FOLDER: typing.Final = 'tests/unit'
TIMEOUT_S: typing.Final = 420


class Recorder(unittest.TextTestResult):
    """Notes one outcome for each test."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Start without outcomes."""
        super().__init__(*args, **kwargs)
        self.outcomes: dict[str, str] = {}

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note a test that began."""
        super().startTest(test)
        self.outcomes[test.id()] = ''

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:  # noqa: N802
        """Note a skipped test, which did not pass."""
        super().addSkip(test, reason)
        self.outcomes[test.id()] = f'skipped: {reason}'

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note a test that passed against its own mark."""
        super().addUnexpectedSuccess(test)
        self.outcomes[test.id()] = 'passed though marked as failing'

    def note_failures(self) -> None:
        """Take over the failures and errors, those of subtests too."""
        for test, text in (*self.failures, *self.errors):
            owner = getattr(test, 'test_case', test)
            self.outcomes[owner.id()] = text


def run(results: pathlib.Path) -> list[outcome.Outcome]:
    """Run all unit tests.

    Args:
        results: File for the outcomes.
    """
    results.unlink(missing_ok=True)
    command = [sys.executable, '-m', 'script.testing.unit', str(results)]
    try:
        ended = subprocess.run(
            command, timeout=TIMEOUT_S, check=False, env=dict(os.environ)
        )
    except subprocess.TimeoutExpired:
        return [outcome.failure(NAME, f'took over {TIMEOUT_S} s')]
    if not results.exists():
        detail = f'ended without outcomes, code {ended.returncode}'
        return [outcome.failure(NAME, detail)]
    found = json.loads(results.read_text())
    return [
        outcome.Outcome(f'{NAME}:{test}', not detail, detail)
        for test, detail in found.items()
    ]


def main() -> None:
    """Run the tests and write their outcomes."""
    suite = unittest.defaultTestLoader.discover(FOLDER, top_level_dir='.')
    runner = unittest.TextTestRunner(
        verbosity=1, resultclass=Recorder, buffer=True, warnings='default'
    )
    recorder = typing.cast(Recorder, runner.run(suite))
    recorder.note_failures()
    pathlib.Path(sys.argv[1]).write_text(json.dumps(recorder.outcomes))


if __name__ == '__main__':
    main()
