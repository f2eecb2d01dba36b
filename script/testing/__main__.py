"""Run unit tests and features and print the number of passed and failed."""

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
    """Run the selected tests; return 0 if none failed but the known ones."""
    options = _parse()
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    listed = known_failures.load()
    started = time.monotonic()
    results = list(_run_tests(options))
    seconds = time.monotonic() - started
    known = [
        result
        for result in results
        if result.test in listed and not result.passed
    ]
    failed = [
        result
        for result in results
        if not result.passed and result.test not in listed
    ]
    failed += _listed_but_not_found(listed, results, options)
    _print_failed(failed)
    _print_known_failures(known, listed)
    passed = sum(result.passed for result in results)
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
        help='feature files to run (default: all tests)',
    )
    parser.add_argument(
        '--unit', action='store_true', help='run the unit tests only'
    )
    parser.add_argument(
        '--jobs',
        type=int,
        default=int(os.environ.get(JOBS_VARIABLE, DEFAULT_JOBS)),
        help=f'features run in parallel (default {DEFAULT_JOBS})',
    )
    return parser.parse_args()


def _run_tests(options: argparse.Namespace) -> abc.Iterator[outcome.Outcome]:
    for report in _iterate_reports(options):
        _print_report(report)
        yield from report.outcomes


def _iterate_reports(
    options: argparse.Namespace,
) -> abc.Iterator[outcome.Report]:
    selected = (
        [] if options.unit else options.features or features.find_features()
    )
    with futures.ThreadPoolExecutor(options.jobs) as pool:
        running = []
        if not options.features:
            running.append(pool.submit(unit.run, RESULTS_FOLDER))
        running += [
            pool.submit(features.run, feature, number, RESULTS_FOLDER)
            for number, feature in enumerate(selected)
            if not features.is_exclusive(feature)
        ]
        for finished in futures.as_completed(running):
            yield finished.result()
    for number, feature in enumerate(selected):
        if features.is_exclusive(feature):
            yield features.run(feature, number, RESULTS_FOLDER)


def _print_report(report: outcome.Report) -> None:
    passed = sum(result.passed for result in report.outcomes)
    failed = len(report.outcomes) - passed
    _print_line(
        f'{report.name}: {passed} passed, {failed} not, {report.seconds:.1f} s'
    )


def _listed_but_not_found(
    listed: abc.Mapping[str, known_failures.Entry],
    results: abc.Sequence[outcome.Outcome],
    options: argparse.Namespace,
) -> list[outcome.Outcome]:
    """Return a failure for each known failing test that was not found.

    A run of selected tests cannot tell, so it reports none.
    """
    if options.features or options.unit:
        return []
    names = {result.test for result in results}
    return [
        outcome.failure(test, f'listed in {known_failures.FILE}, was not found')
        for test in listed
        if test not in names
    ]


def _print_failed(failed: abc.Iterable[outcome.Outcome]) -> None:
    for result in failed:
        _print_line(f'FAILED {result.test}')
        _print_line(result.detail)


def _print_known_failures(
    known: abc.Iterable[outcome.Outcome],
    listed: abc.Mapping[str, known_failures.Entry],
) -> None:
    for result in known:
        entry = listed[result.test]
        _print_line(
            f'known red: {entry.test} | {entry.observed} | {entry.issue}'
        )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
