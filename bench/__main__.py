"""Run the measurements and print one JSON object for each figure."""

import argparse
import importlib
import json
import pathlib
import sys
import types
import typing

from bench import figure

PREFIX: typing.Final = 'bench_'


def main() -> int:
    """Run the chosen measurements; 1 if a figure is outside its bound."""
    options = _parse()
    chosen = [name for name in find() if options.only in {None, name}]
    missed = 0
    for name in chosen:
        for measured in _load(name).run():
            missed += not measured.ok
            _print(measured)
    return 1 if missed or not chosen else 0


def find() -> list[str]:
    """Return the names of the measurements, without their prefix."""
    folder = pathlib.Path(__file__).parent
    files = sorted(folder.glob(f'{PREFIX}*.py'))
    return [file.stem.removeprefix(PREFIX) for file in files]


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m bench', description=__doc__
    )
    parser.add_argument(
        '--only',
        choices=find(),
        metavar='NAME',
        help=f'one of {", ".join(find())}; without it, all are run',
    )
    return parser.parse_args()


def _load(name: str) -> types.ModuleType:
    return importlib.import_module(f'bench.{PREFIX}{name}')


def _print(measured: figure.Figure) -> None:
    sys.stdout.write(f'{json.dumps(measured._asdict())}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
