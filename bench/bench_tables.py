"""Balance, disruption and cost of the tables, with alternative algorithms.

Usage: ``python -m bench.bench_tables``.
"""

import json
import random
import statistics
import sys
import time
import tracemalloc
import types
import typing
from collections import abc

from bench import figure, table_alternatives
from kumquatport.version import table

SEED: typing.Final = 20261204
ROUNDS: typing.Final = 100
FLOWS: typing.Final = 5000
MOVEMENT_FLOWS: typing.Final = 40000
SERVERS: typing.Final = 7
IMBALANCE_BOUND: typing.Final = 1.10
MOVED_BOUND: typing.Final = 1.2
SERVICES: typing.Final = 16000
BACKEND_SERVERS: typing.Final = 100000
MICROSECONDS: typing.Final = 1e6

Algorithm = abc.Callable[
    [table_alternatives.Weights], table_alternatives.OwnerLookup
]


def flow_rendezvous(
    weights: table_alternatives.Weights,
) -> table_alternatives.OwnerLookup:
    """Place each flow with the table in use."""
    built = table.build('storefront', _candidates(weights))
    return lambda flow: built.rank(flow, 1)[0].instance


ALGORITHMS: typing.Final[abc.Mapping[str, Algorithm]] = types.MappingProxyType(
    {
        'flow_rendezvous': flow_rendezvous,
        'bucket_rendezvous': table_alternatives.bucket_rendezvous,
        'maglev': table_alternatives.maglev,
        'bounded_rendezvous': table_alternatives.bounded_rendezvous,
    }
)


def run() -> abc.Iterator[figure.Figure]:
    """Measure all algorithms; only the one in use has bounds."""
    for name, build in ALGORITHMS.items():
        bounded = build is flow_rendezvous
        yield from _imbalance(name, build, bounded=bounded)
        yield from _moved(name, build, bounded=bounded)
        yield _build_time(name, build)
    yield from _weighted()
    yield from _overflow()
    yield from _lookups()
    yield from _target_scale()


def _servers(count: int, round_number: int = 0) -> table_alternatives.Weights:
    return {f'agent-{round_number}-{place}': 1.0 for place in range(count)}


def _candidates(weights: table_alternatives.Weights) -> list[table.Candidate]:
    return [
        table.Candidate(name, 'accra-a', '127.0.0.1', 7100, weight)
        for name, weight in weights.items()
    ]


def _flows(count: int, seed: int) -> list[int]:
    rng = random.Random(SEED + seed)
    return [rng.getrandbits(64) for _ in range(count)]


def _load_ratio(
    owner: table_alternatives.OwnerLookup, flows: list[int]
) -> float:
    loads: dict[str, int] = {}
    for flow in flows:
        name = owner(flow)
        loads[name] = loads.get(name, 0) + 1
    return max(loads.values()) * SERVERS / len(flows)


def _imbalance(
    name: str,
    build: Algorithm,
    *,
    bounded: bool,
) -> abc.Iterator[figure.Figure]:
    ratios = [
        _load_ratio(
            build(_servers(SERVERS, round_number)),
            _flows(FLOWS, round_number),
        )
        for round_number in range(ROUNDS)
    ]
    within = sum(ratio <= IMBALANCE_BOUND for ratio in ratios) / ROUNDS
    label = f'tables.{name}.imbalance_5000_flows_7_servers'
    mean = statistics.mean(ratios)
    if bounded:
        yield figure.at_most(f'{label}_mean', mean, 'ratio', IMBALANCE_BOUND)
    else:
        yield figure.unbounded(f'{label}_mean', mean, 'ratio')
    yield figure.unbounded(f'{label}_worst_of_{ROUNDS}', max(ratios), 'ratio')
    yield figure.unbounded(f'{label}_rounds_within_bound', within, 'share')


def _moved(
    name: str,
    build: Algorithm,
    *,
    bounded: bool,
) -> abc.Iterator[figure.Figure]:
    for count in (3, SERVERS, 20):
        ratio = _moved_ratio(build, count)
        label = f'tables.{name}.moved_1_of_{count}_over_least'
        if bounded:
            yield figure.at_most(label, ratio, 'ratio', MOVED_BOUND)
        else:
            yield figure.unbounded(label, ratio, 'ratio')


def _moved_ratio(build: Algorithm, count: int) -> float:
    flows = _flows(MOVEMENT_FLOWS, 0)
    weights = _servers(count)
    before = build(weights)
    weights.pop(f'agent-0-{count // 2}')
    after = build(weights)
    moved = sum(before(flow) != after(flow) for flow in flows)
    return moved * count / len(flows)


def _build_time(name: str, build: Algorithm) -> figure.Figure:
    servers = _servers(SERVERS)
    started = time.process_time()
    for _ in range(10):
        build(servers)
    elapsed_s = (time.process_time() - started) / 10
    label = f'tables.{name}.build_7_servers'
    return figure.unbounded(label, elapsed_s * MICROSECONDS, 'us')


def _weighted() -> abc.Iterator[figure.Figure]:
    weights = _servers(SERVERS)
    weights['agent-0-0'] = 0.1
    owner = flow_rendezvous(weights)
    flows = _flows(MOVEMENT_FLOWS, 1)
    placed = sum(owner(flow) == 'agent-0-0' for flow in flows)
    expected = len(flows) * 0.1 / sum(weights.values())
    yield figure.at_most(
        'tables.flow_rendezvous.share_of_weight_0.1_over_due',
        placed / expected,
        'ratio',
        IMBALANCE_BOUND,
    )


def _overflow() -> abc.Iterator[figure.Figure]:
    built = table.build('storefront', _candidates(_servers(SERVERS)))
    overflow_counts: dict[str, int] = {}
    for flow in _flows(MOVEMENT_FLOWS, 2):
        owner, following = built.rank(flow, 2)
        if owner.instance == 'agent-0-0':
            overflow_counts[following.instance] = (
                overflow_counts.get(following.instance, 0) + 1
            )
    fullest = (
        max(overflow_counts.values())
        * (SERVERS - 1)
        / sum(overflow_counts.values())
    )
    yield figure.at_most(
        'tables.flow_rendezvous.overflow_of_one_over_mean',
        fullest,
        'ratio',
        IMBALANCE_BOUND,
    )


def _lookups() -> abc.Iterator[figure.Figure]:
    flows = _flows(1000, 3)
    for count in (SERVERS, 30, 100, 1000):
        built = table.build('storefront', _candidates(_servers(count)))
        started = time.process_time()
        for flow in flows:
            built.rank(flow, 3)
        elapsed_s = (time.process_time() - started) / len(flows)
        yield figure.unbounded(
            f'tables.flow_rendezvous.rank_of_{count}',
            elapsed_s * MICROSECONDS,
            'us',
        )


def _target_scale() -> abc.Iterator[figure.Figure]:
    groups = _target_scale_groups()
    started = time.process_time()
    _build_all(groups)
    elapsed_s = time.process_time() - started
    yield figure.unbounded('tables.build_all_16000_services', elapsed_s, 's')
    tracemalloc.start()
    tables = _build_all(groups[:1000])
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    size = allocated / len(tables)
    yield figure.unbounded('tables.bytes_of_one_table_of_6', size, 'B')


def _target_scale_groups() -> list[list[table.Candidate]]:
    each = BACKEND_SERVERS / SERVICES
    bounds = [round(place * each) for place in range(SERVICES + 1)]
    return [
        _candidates({f'agent-{number}': 1.0 for number in range(low, high)})
        for low, high in zip(bounds, bounds[1:])
    ]


def _build_all(groups: list[list[table.Candidate]]) -> list[table.Table]:
    return [
        table.build(f'service-{place}', group)
        for place, group in enumerate(groups)
    ]


def main() -> None:
    """Print each figure as one line of JSON."""
    for measured in run():
        sys.stdout.write(f'{json.dumps(measured._asdict())}\n')


if __name__ == '__main__':
    main()
