"""Run histories on the emulator and compare variants of constants.

A day is YAML with ``seconds``, ``faults`` (their number), ``orders`` (names of
the faults to draw from) and ``plan`` (sizes, as ``deployment.Plan``). Variants
replace constants of the deciding modules, for example
``placement.SAMPLE_SIZE=2``. Each variant runs with the same seeds; the results
are reported side by side as text, JSON or a plot.
"""

import argparse
import contextlib
import importlib
import json
import logging
import pathlib
import statistics
import sys
import typing
from collections import abc
from unittest import mock

import structlog
import yaml

from tests.emulator import checks, deployment, history

PACKAGES = ('kumquatport.connection.packets', 'kumquatport.process.packets')
AIM_LATENCY_S = 0.3


def main() -> None:
    """Run from the command line."""
    options = _parse()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    first, _, last = options.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    day = yaml.safe_load(options.day.read_text()) if options.day else {}
    rows = []
    for variant in options.variant or ['']:
        with _override_constants(variant):
            rows.append(_run_variant(variant or 'as is', seeds, day))
    if options.json:
        print(json.dumps(rows, indent=1))
    else:
        _print(rows)
    if options.plot:
        _plot(rows, options.plot)
    sys.exit(1 if any(row['broken'] for row in rows) else 0)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m tests.emulator', description=__doc__
    )
    parser.add_argument('--seeds', default='1-20', help='FIRST-LAST')
    parser.add_argument('--day', type=pathlib.Path, help='YAML of a day')
    parser.add_argument(
        '--variant',
        action='append',
        help='MODULE.CONSTANT=NUMBER, several by comma; may be repeated',
    )
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--plot', type=pathlib.Path, help='PNG to write')
    return parser.parse_args()


def _run_variant(
    name: str, seeds: abc.Iterable[int], day: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    plan = deployment.Plan(**day.get('plan', {}))
    results = [
        history.run(
            seed,
            seconds=day.get('seconds', 12.0),
            fault_count=day.get('faults', 4),
            fault_names=day.get('orders', ()),
            plan=plan,
        )
        for seed in seeds
    ]
    outcomes = [one for result in results for one in result.outcomes]
    durations = sorted(one.duration_s for one in outcomes if one.served)
    return {
        'variant': name,
        'histories': len(results),
        'broken': [
            f'seed {result.seed}: {line}'
            for result in results
            for line in checks.format_violations(result.violations)
        ],
        'served': sum(one.served for one in outcomes) / len(outcomes),
        'in_aim': sum(
            one.served and one.duration_s <= AIM_LATENCY_S for one in outcomes
        )
        / len(outcomes),
        'p50_ms': statistics.median(durations) * 1000,
        'p99_ms': durations[int(len(durations) * 0.99)] * 1000,
        'busiest': statistics.mean(_busiest(result) for result in results),
        'by_second': _by_second(results),
    }


def _busiest(result: history.Result) -> float:
    """Return the ratio of the busiest backend server's requests to the mean."""
    counts = list(result.served.values())[: deployment.Plan().store_agents]
    return max(counts) / (statistics.mean(counts) or 1)


def _by_second(results: abc.Sequence[history.Result]) -> list[float]:
    """Return the share of requests served in time, by second of their start."""
    in_aim: dict[int, list[bool]] = {}
    for result in results:
        for one in result.outcomes:
            second = int(one.requested_at - 1002)
            in_aim.setdefault(second, []).append(
                one.served and one.duration_s <= AIM_LATENCY_S
            )
    return [sum(row) / len(row) for _, row in sorted(in_aim.items())]


@contextlib.contextmanager
def _override_constants(variant: str) -> abc.Iterator[None]:
    """Replace the constants named in a variant."""
    with contextlib.ExitStack() as stack:
        for part in filter(None, variant.split(',')):
            target, _, number = part.partition('=')
            module, _, constant = target.rpartition('.')
            found = _find_module(module)
            stack.enter_context(
                mock.patch.object(found, constant, float(number))
                if '.' in number
                else mock.patch.object(found, constant, int(number))
            )
        yield


def _find_module(name: str) -> typing.Any:
    for package in PACKAGES:
        with contextlib.suppress(ModuleNotFoundError):
            return importlib.import_module(f'{package}.{name}')
    raise SystemExit(f'no module of decisions is named {name}')


def _print(rows: abc.Iterable[dict[str, typing.Any]]) -> None:
    for row in rows:
        print(
            f'{row["variant"]}: {row["histories"]} histories, '
            f'{len(row["broken"])} promises broken, '
            f'served {row["served"]:.4f}, in aim {row["in_aim"]:.4f}, '
            f'p50 {row["p50_ms"]:.0f} ms, p99 {row["p99_ms"]:.0f} ms, '
            f'busiest/mean {row["busiest"]:.2f}'
        )
        for line in row['broken'][:20]:
            print(f'  {line}')


def _plot(
    rows: abc.Iterable[dict[str, typing.Any]], path: pathlib.Path
) -> None:
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    for row in rows:
        pyplot.plot(row['by_second'], label=row['variant'])
    pyplot.xlabel('second')
    pyplot.ylabel('share in aim')
    pyplot.legend()
    pyplot.savefig(path)


if __name__ == '__main__':
    main()
