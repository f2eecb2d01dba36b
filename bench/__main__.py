"""Run the benchmarks and print one JSON object for each figure."""

import argparse
import importlib
import pathlib
import sys
import traceback
import types
import typing
from collections import abc

from bench import figure, results

PREFIX: typing.Final = 'bench_'
UNIT_RUN: typing.Final = 'run'


def main() -> int:
    """Run the selected benchmarks; return 1 if a figure is out of bounds."""
    options = _parse()
    selected = [
        name for name in find_benchmarks() if options.only in {None, name}
    ]
    groups = {
        name: list(_print_figures(_run_benchmark(name))) for name in selected
    }
    if options.only is None:
        results.save(groups)
    is_ok = all(one.ok for group in groups.values() for one in group)
    return 0 if is_ok else 1


def find_benchmarks() -> list[str]:
    """Return the names of the benchmark modules without the prefix."""
    folder = pathlib.Path(__file__).parent
    files = sorted(folder.glob(f'{PREFIX}*.py'))
    return [file.stem.removeprefix(PREFIX) for file in files]


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m bench', description=__doc__
    )
    parser.add_argument(
        '--only',
        choices=find_benchmarks(),
        metavar='NAME',
        help=f'one of {", ".join(find_benchmarks())} (default: all)',
    )
    return parser.parse_args()


def _run_benchmark(name: str) -> abc.Iterator[figure.Figure]:
    """Yield the figures of a benchmark, and a failed one if it raises."""
    try:
        yield from _import_benchmark(name).run()
    except Exception:
        # An exception in one benchmark must not prevent the others.
        traceback.print_exc()
        yield figure.Figure(f'{name}.completed', 0, UNIT_RUN, None, ok=False)


def _import_benchmark(name: str) -> types.ModuleType:
    return importlib.import_module(f'bench.{PREFIX}{name}')


def _print_figures(
    measured: abc.Iterable[figure.Figure],
) -> abc.Iterator[figure.Figure]:
    for one in measured:
        sys.stdout.write(f'{results.encode(one)}\n')
        sys.stdout.flush()
        yield one


if __name__ == '__main__':
    sys.exit(main())
