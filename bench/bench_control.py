"""Cost of control traffic for a balancer.

The slopes listed in ``docs/CAPACITY.md`` are measured by observed agents, by
balancers, by changed records, by stored records and by the size of the
document. Bytes on the wire are the bytes of the frames plus
``MESSAGE_OVERHEAD_BYTES`` per message for nng, TCP and IP.
"""

import contextlib
import multiprocessing
import statistics
import time
import tracemalloc
import typing
from collections import abc

from bench import control_children, figure
from kumquatport.version import members
from kumquatport.version.replication import delta
from tests import network
from tests.builders import documents
from tests.builders import members as builders

SETTLE_S = 4.0
MEASURE_S = 6.0
MESSAGE_OVERHEAD_BYTES = 116
MAX_BYTES_PER_S = 25_000
MAX_CPU_SHARE = 0.034
AGENTS = (10, 30, 100)
BALANCERS = (3, 10, 30)
CHANGES_PER_S = (0, 1, 10, 30)
MAX_BOUNDED_OBSERVED = 35
MAX_BOUNDED_CHANGES_PER_S = 1
RECORDS = (1000, 3000, 10_000)
SERVICES = (10, 100, 1000)
_SPAWN_CONTEXT = multiprocessing.get_context('spawn')

FleetSize = control_children.FleetSize


class Cost(typing.NamedTuple):
    """Rates per second, memory and observed instances of a balancer."""

    wire_bytes: float
    messages: float
    cpu_share: float
    resident_bytes: int
    observed: int


def run() -> abc.Iterator[figure.Figure]:
    """Measure the costs at several sizes and their slopes."""
    yield from _by_agents()
    yield from _by_balancers()
    yield from _by_changes()
    yield from _by_records()
    yield from _by_document()


def _by_agents() -> abc.Iterator[figure.Figure]:
    costs = [_measure(FleetSize(3, count, 0)) for count in AGENTS]
    for count, cost in zip(AGENTS, costs):
        is_expected = cost.observed <= MAX_BOUNDED_OBSERVED
        yield from _costs(
            f'control.idle_{count}_agents', cost, bounded=is_expected
        )
    observed = [cost.observed for cost in costs]
    yield _slope(
        'control.bytes_per_s_for_one_observed',
        observed,
        [cost.wire_bytes for cost in costs],
        'B/s',
    )
    yield _slope(
        'control.processor_us_per_s_for_one_observed',
        observed,
        [cost.cpu_share * 1e6 for cost in costs],
        'us/s',
    )


def _by_balancers() -> abc.Iterator[figure.Figure]:
    costs = [_measure(FleetSize(count, 30, 0)) for count in BALANCERS]
    for count, cost in zip(BALANCERS, costs):
        label = f'control.idle_30_agents_{count}_balancers'
        yield from _costs(label, cost, bounded=True)


def _by_changes() -> abc.Iterator[figure.Figure]:
    costs = [_measure(FleetSize(3, 30, rate)) for rate in CHANGES_PER_S]
    for rate, cost in zip(CHANGES_PER_S, costs):
        is_expected = rate <= MAX_BOUNDED_CHANGES_PER_S
        label = f'control.churn_{rate}_changes_per_s'
        yield from _costs(label, cost, bounded=is_expected)
    yield _slope(
        'control.bytes_for_one_changed_record',
        CHANGES_PER_S,
        [cost.wire_bytes for cost in costs],
        'B',
    )
    yield _slope(
        'control.processor_us_for_one_changed_record',
        CHANGES_PER_S,
        [cost.cpu_share * 1e6 for cost in costs],
        'us',
    )


def _by_records() -> abc.Iterator[figure.Figure]:
    sizes, cpu_s = zip(*(_measure_registry(count) for count in RECORDS))
    yield _slope('control.bytes_of_one_record_held', RECORDS, sizes, 'B')
    per_record = [
        seconds * 1e6 / count for seconds, count in zip(cpu_s, RECORDS)
    ]
    mean = statistics.mean(per_record)
    yield figure.unbounded('control.processor_us_of_one_merge', mean, 'us')


def _by_document() -> abc.Iterator[figure.Figure]:
    full_sizes = []
    for count in SERVICES:
        before, after = _documents(count)
        started = time.process_time()
        update = delta.diff(1, before, 2, after)
        cpu_s = time.process_time() - started
        size = sum(
            len(part) if isinstance(part, bytes) else 10
            for part in update.parts
        )
        full_sizes.append(len(after))
        label = f'control.one_change_of_{count}_services'
        yield figure.unbounded(f'{label}_delta_bytes', size, 'B')
        yield figure.unbounded(f'{label}_whole_bytes', len(after), 'B')
        yield figure.unbounded(f'{label}_processor_ms', cpu_s * 1000, 'ms')
    yield _slope(
        'control.document_bytes_for_one_service', SERVICES, full_sizes, 'B'
    )


def _costs(
    label: str,
    cost: Cost,
    *,
    bounded: bool,
) -> abc.Iterator[figure.Figure]:
    """Yield the figures of one size; only expected loads have bounds."""
    wire, core = f'{label}_wire', f'{label}_core'
    if bounded:
        most = MAX_BYTES_PER_S
        yield figure.at_most(wire, cost.wire_bytes, 'B/s', most)
        most_core = MAX_CPU_SHARE
        yield figure.at_most(core, cost.cpu_share, 'share', most_core)
    else:
        yield figure.unbounded(wire, cost.wire_bytes, 'B/s')
        yield figure.unbounded(core, cost.cpu_share, 'share')
    yield figure.unbounded(f'{label}_messages', cost.messages, '1/s')
    yield figure.unbounded(f'{label}_observed', cost.observed, 'instances')
    yield figure.unbounded(f'{label}_resident', cost.resident_bytes, 'B')


def _slope(
    name: str,
    sizes: abc.Sequence[float],
    values: abc.Sequence[float],
    unit: str,
) -> figure.Figure:
    slope = statistics.linear_regression(sizes, values).slope
    return figure.unbounded(name, slope, unit)


def _measure(fleet_size: FleetSize) -> Cost:
    networks = (network.Network(), network.Network())
    prefixes = control_children.AddressPrefixes(
        *(each.prefix for each in networks)
    )
    with contextlib.ExitStack() as stack:
        for each in networks:
            stack.callback(each.close)
        measured = _start_child(
            stack, control_children.run_measured_balancer, prefixes
        )
        _start_child(
            stack, control_children.run_other_instances, prefixes, fleet_size
        )
        time.sleep(SETTLE_S + fleet_size.balancers / 10)
        before = _request_usage(measured)
        time.sleep(MEASURE_S)
        return _cost(before, _request_usage(measured))


def _start_child(
    stack: contextlib.ExitStack,
    target: abc.Callable[..., None],
    *arguments: typing.Any,
) -> typing.Any:
    parent_end, child_end = _SPAWN_CONTEXT.Pipe()
    child = _SPAWN_CONTEXT.Process(target=target, args=(child_end, *arguments))
    child.start()
    child_end.close()
    stack.callback(child.join)
    stack.callback(parent_end.close)
    return parent_end


def _request_usage(pipe: typing.Any) -> control_children.Usage:
    pipe.send(True)
    return typing.cast(control_children.Usage, pipe.recv())


def _cost(
    before: control_children.Usage,
    after: control_children.Usage,
) -> Cost:
    messages = after.messages - before.messages
    frames = after.frame_bytes - before.frame_bytes
    return Cost(
        (frames + messages * MESSAGE_OVERHEAD_BYTES) / MEASURE_S,
        messages / MEASURE_S,
        (after.cpu_s - before.cpu_s) / MEASURE_S,
        after.resident_bytes,
        after.observed,
    )


def _measure_registry(count: int) -> tuple[int, float]:
    """Fill a registry; return its bytes and the CPU seconds."""
    records = [
        builders.agent(instance=f'agent-{number}', service=f's-{number // 6}')
        for number in range(count)
    ]
    started = time.process_time()
    _registry(records)
    cpu_s = time.process_time() - started
    tracemalloc.start()
    registry = _registry(
        [
            builders.agent(instance=f'a-{number}', service=f's-{number // 6}')
            for number in range(count)
        ],
    )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, cpu_s / len(registry) * count


def _registry(
    records: abc.Iterable[members.InstanceRecord],
) -> members.Registry:
    registry = members.Registry()
    for record in records:
        registry.merge(record)
    return registry


def _documents(count: int) -> tuple[bytes, bytes]:
    """Encode a document before and after a failure domain is taken out."""
    services = [
        documents.service(f'service-{number}', '127.0.0.1:4433', 20001 + number)
        for number in range(count)
    ]
    domains = ('accra-a', 'accra-b', 'accra-c')
    return (
        documents.encode(documents.document('accra', domains, services)),
        documents.encode(
            documents.document(
                'accra', domains, services, out=('accra-b',), base_version=1
            ),
        ),
    )
