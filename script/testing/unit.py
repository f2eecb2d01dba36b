"""Run the unit tests in a separate process.

``python -m script.testing.unit FILE`` runs them and writes their outcomes as
JSON. ``run`` starts that command, so that a crash of the interpreter is
reported as a failed test.
"""

import json
import pathlib
import subprocess
import sys
import time
import typing
import unittest

from script.testing import outcome

NAME: typing.Final = 'unit'
FOLDER: typing.Final = 'tests/unit'
TIMEOUT_S: typing.Final = 600


class OutcomeRecorder(unittest.TextTestResult):
    """Records one outcome for each test, by test ID."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Initialize the result without outcomes."""
        super().__init__(*args, **kwargs)
        self.outcomes: dict[str, str] = {}

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a started test as passed until it fails."""
        super().startTest(test)
        self.outcomes[test.id()] = ''

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:  # noqa: N802
        """Record a skipped test as not passed."""
        super().addSkip(test, reason)
        self.outcomes[test.id()] = f'skipped: {reason}'

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a test that passed although it is marked as failing."""
        super().addUnexpectedSuccess(test)
        self.outcomes[test.id()] = 'passed though marked as failing'

    def record_failures(self) -> None:
        """Record failures and errors, also those of subtests."""
        for test, text in (*self.failures, *self.errors):
            owner = getattr(test, 'test_case', test)
            self.outcomes[owner.id()] = text


def run(folder: pathlib.Path) -> outcome.Report:
    """Run all unit tests.

    Args:
        folder: Folder for the results and the log.
    """
    results = folder / f'{NAME}.json'
    results.unlink(missing_ok=True)
    started = time.monotonic()
    outcomes = _read_outcomes(results, _run_in_subprocess(results))
    return outcome.Report(NAME, outcomes, time.monotonic() - started)


def _run_in_subprocess(results: pathlib.Path) -> str:
    """Run the tests in a subprocess; return the reason if outcomes lack."""
    command = [sys.executable, '-m', 'script.testing.unit', str(results)]
    with results.with_suffix('.log').open('wb') as log:
        try:
            completed = subprocess.run(
                command,
                timeout=TIMEOUT_S,
                check=False,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        except subprocess.TimeoutExpired:
            return f'took over {TIMEOUT_S} s'
    return f'ended without outcomes, code {completed.returncode}'


def _read_outcomes(results: pathlib.Path, reason: str) -> list[outcome.Outcome]:
    if not results.exists():
        detail = f'{reason}; see {results.with_suffix(".log")}'
        return [outcome.failure(NAME, detail)]
    details = json.loads(results.read_text())
    return [
        outcome.Outcome(f'{NAME}:{test}', not detail, detail)
        for test, detail in details.items()
    ]


def main() -> None:
    """Run the tests and write their outcomes to the given file."""
    suite = unittest.defaultTestLoader.discover(FOLDER, top_level_dir='.')
    runner = unittest.TextTestRunner(
        verbosity=1,
        resultclass=OutcomeRecorder,
        buffer=True,
        warnings='default',
    )
    recorder = typing.cast(OutcomeRecorder, runner.run(suite))
    recorder.record_failures()
    pathlib.Path(sys.argv[1]).write_text(json.dumps(recorder.outcomes))


if __name__ == '__main__':
    main()
