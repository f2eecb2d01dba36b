"""Run each behave feature in a process of its own."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

from script.testing import outcome

FOLDER: typing.Final = pathlib.Path('tests/features')
TIMEOUT_S: typing.Final = 420
JSON_FORMAT: typing.Final = 'json'
TAG_EXCLUSIVE: typing.Final = '@alone'
STATUS_PASSED: typing.Final = 'passed'

# Features run in parallel, so each gets its own loopback block 127.N, with N
# counted from FIRST_BLOCK.
BLOCK_VARIABLE: typing.Final = 'KUMQUATPORT_TEST_BLOCK'
FIRST_BLOCK: typing.Final = 101


def find_features() -> list[pathlib.Path]:
    """Return the feature files, sorted by path."""
    return sorted(FOLDER.glob('**/*.feature'))


def is_exclusive(feature: pathlib.Path) -> bool:
    """Tell whether a feature must not run in parallel with others.

    Features that compare results with the capacity of the CPU need it for
    themselves.
    """
    first_line, _, _ = feature.read_text().partition('\n')
    return TAG_EXCLUSIVE in first_line.split()


def run(
    feature: pathlib.Path, number: int, folder: pathlib.Path
) -> outcome.Report:
    """Run one feature file.

    Args:
        feature: The file.
        number: Position in the run, which selects the loopback block.
        folder: Folder for the results and the log.
    """
    results = folder / f'{feature.stem}.json'
    results.unlink(missing_ok=True)
    started = time.monotonic()
    exit_code = _run_behave(feature, number, results)
    outcomes = _read_outcomes(feature, results)
    if exit_code and all(result.passed for result in outcomes):
        detail = f'behave ended with code {exit_code}; see {_log_path(results)}'
        outcomes.append(outcome.failure(str(feature), detail))
    seconds = time.monotonic() - started
    return outcome.Report(str(feature), outcomes, seconds)


def _log_path(results: pathlib.Path) -> pathlib.Path:
    return results.with_suffix('.log')


def _run_behave(
    feature: pathlib.Path, number: int, results: pathlib.Path
) -> int:
    command = [sys.executable, '-m', 'behave', '--format', JSON_FORMAT]
    command += ['--outfile', str(results), str(feature)]
    block = {BLOCK_VARIABLE: f'127.{FIRST_BLOCK + number}'}
    with _log_path(results).open('wb') as log:
        process = subprocess.Popen(
            command,
            stdout=log,
            stderr=subprocess.STDOUT,
            env=os.environ | block,
            start_new_session=True,
        )
    try:
        return process.wait(TIMEOUT_S)
    except subprocess.TimeoutExpired:
        # The process group holds behave and all processes that it started.
        os.killpg(process.pid, signal.SIGKILL)
        return process.wait()


def _read_outcomes(
    feature: pathlib.Path, results: pathlib.Path
) -> list[outcome.Outcome]:
    try:
        report = json.loads(results.read_text())
    except (OSError, ValueError):
        detail = f'ended without outcomes; see {_log_path(results)}'
        return [outcome.failure(str(feature), detail)]
    return [
        _scenario_outcome(feature, element)
        for content in report
        for element in content['elements']
        if element['type'] == 'scenario'
    ]


def _scenario_outcome(
    feature: pathlib.Path, element: dict[str, typing.Any]
) -> outcome.Outcome:
    test = f'{feature}: {element["name"].strip()}'
    if element['status'] == STATUS_PASSED:
        return outcome.Outcome(test, passed=True, detail='')
    return outcome.failure(test, _failure_detail(element))


def _failure_detail(element: dict[str, typing.Any]) -> str:
    lines = [f'{element["location"]}: {element["status"]}']
    for step in element['steps']:
        result = step.get('result', {})
        if result.get('status') not in {STATUS_PASSED, None}:
            lines.append(f'{step["keyword"]} {step["name"]}')
            lines.extend(_message_lines(result.get('error_message', '')))
    return '\n'.join(lines)


def _message_lines(message: str | list[str]) -> list[str]:
    return message.splitlines() if isinstance(message, str) else message
