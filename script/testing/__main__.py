"""Run unit tests and features, and close with how many passed and failed."""

import argparse
import os
import pathlib
import sys
import time
import typing
from collections import abc
from concurrent import futures

from script.testing import features, known_failures, outcome, unit

RESULTS_FOLDER: typing.Final = pathlib.Path('var/test')
SUMMARY_FILE: typing.Final = pathlib.Path('var/test-summary.txt')
JOBS_VARIABLE: typing.Final = 'KUMQUATPORT_TEST_JOBS'
DEFAULT_JOBS: typing.Final = 3


def main() -> int:
    """Run what the command line asks for; 0 if all of it passed."""
    options = _parse()
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    listed = known_failures.load()
    started = time.monotonic()
    ends = list(_run_tests(options))
    seconds = time.monotonic() - started
    red = [end for end in ends if end.test in listed and not end.passed]
    failed = [end for end in ends if not end.passed and end.test not in listed]
    failed += _listed_but_not_found(listed, ends, options)
    _print_failed(failed)
    _print_known_failures(red, listed)
    passed = sum(end.passed for end in ends)
    _print_line(f'took {seconds:.0f} s')
    summary = f'{passed} passed, {len(failed)} failed'
    SUMMARY_FILE.write_text(f'{summary}\n')
    _print_line(summary)
    return 1 if failed else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='script/test', description=__doc__)
    parser.add_argument(
        'features',
        nargs='*',
        type=pathlib.Path,
        help='feature files; without any, all tests are run',
    )
    parser.add_argument(
        '--unit', action='store_true', help='run the unit tests only'
    )
    parser.add_argument(
        '--jobs',
        type=int,
        default=int(os.environ.get(JOBS_VARIABLE, DEFAULT_JOBS)),
        help=f'features at a time (default {DEFAULT_JOBS})',
    )
    return parser.parse_args()


def _run_tests(options: argparse.Namespace) -> abc.Iterator[outcome.Outcome]:
    for report in _iterate_reports(options):
        _print_report(report)
        yield from report.outcomes


def _iterate_reports(
    options: argparse.Namespace,
) -> abc.Iterator[outcome.Report]:
    chosen = (
        [] if options.unit else options.features or features.find_features()
    )
    with futures.ThreadPoolExecutor(options.jobs) as pool:
        running = []
        if not options.features:
            running.append(pool.submit(unit.run, RESULTS_FOLDER))
        running += [
            pool.submit(features.run, feature, number, RESULTS_FOLDER)
            for number, feature in enumerate(chosen)
            if not features.is_exclusive(feature)
        ]
        for done in futures.as_completed(running):
            yield done.result()
    for number, feature in enumerate(chosen):
        if features.is_exclusive(feature):
            yield features.run(feature, number, RESULTS_FOLDER)


def _print_report(report: outcome.Report) -> None:
    passed = sum(end.passed for end in report.outcomes)
    failed = len(report.outcomes) - passed
    _print_line(
        f'{report.name}: {passed} passed, {failed} not, {report.seconds:.1f} s'
    )


def _listed_but_not_found(
    listed: abc.Mapping[str, known_failures.Entry],
    ends: abc.Sequence[outcome.Outcome],
    options: argparse.Namespace,
) -> list[outcome.Outcome]:
    """Return a failure for each listed test that does not exist."""
    if options.features or options.unit:
        return []
    names = {end.test for end in ends}
    return [
        outcome.failure(test, f'listed in {known_failures.FILE}, was not found')
        for test in listed
        if test not in names
    ]


def _print_failed(failed: abc.Iterable[outcome.Outcome]) -> None:
    for end in failed:
        _print_line(f'FAILED {end.test}')
        _print_line(end.detail)


def _print_known_failures(
    red: abc.Iterable[outcome.Outcome],
    listed: abc.Mapping[str, known_failures.Entry],
) -> None:
    for end in red:
        entry = listed[end.test]
        _print_line(
            f'known red: {entry.test} | {entry.observed} | {entry.issue}'
        )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
