"""Service quality per second while a failure domain is out and returns.

Callers offer 70% of the capacity of the remaining backend servers. The time
series is written to ``var/bench/domains.json`` and drawn by ``make report``.
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import statistics
import time
import typing
from collections import abc

from bench import figure
from tests import deployment, traffic
from tests.builders import plans
from tests.standins import caller
from tests.standins import caller_errors as errors

SERIES: typing.Final = pathlib.Path('var/bench/domains.json')
SERVERS = 6
ANNOUNCEMENTS_COUNTER = 'announcements'
DOMAIN = 'duluth'
SERVICE = 'desk'
SLOTS = 5
SERVICE_S = 0.1
LOAD_SHARE = 0.7
CALLERS = 60
BEFORE_S = 20.0
OUT_S = 14.0
AFTER_S = 14.0
WARM_UP_S = 12.0
OUT_BOUND_S = 4.0
P99_RANK = 0.99
MAX_IMBALANCE = 1.15


class Second(typing.NamedTuple):
    """Results of the requests of one second.

    Attributes:
        at: Seconds since the start.
        answered: Number of successful requests.
        failed: Number of refused or broken requests.
        p99_ms: 99th percentile of the latency of successful requests, in
            milliseconds; 0 if there were none.
    """

    at: int
    answered: int
    failed: int
    p99_ms: float


def run() -> abc.Iterator[figure.Figure]:
    """Take a failure domain out of use under load and bring it back."""
    options = deployment.Options(
        backend=('--service-s', str(SERVICE_S), '--cold-s', '5'),
    )
    plan = plans.lakes(desk=SERVERS, archive=1)
    with deployment.Deployment(plan, options) as target:
        notes, marks, request_counts = asyncio.run(_async_measure(target))
        collapses = sum(
            target.status(server)['collapses'] for server in target.servers
        )
        announced = sum(
            target.status(agent)['metrics']['counters'].get(
                ANNOUNCEMENTS_COUNTER, 0
            )
            for agent in target.agents
        )
    yield figure.unbounded('announcements', announced, 'records')
    seconds = _by_second(notes)
    SERIES.parent.mkdir(parents=True, exist_ok=True)
    rows = [second._asdict() for second in seconds]
    SERIES.write_text(json.dumps({'seconds': rows, 'marks': marks}))
    yield from _figures(seconds, marks)
    yield figure.at_most('collapses', collapses, 'collapses', 0)
    imbalance = max(request_counts) / statistics.mean(request_counts)
    yield figure.at_most('request_imbalance', imbalance, 'ratio', MAX_IMBALANCE)


def _figures(
    seconds: list[Second],
    marks: list[float],
) -> abc.Iterator[figure.Figure]:
    spans = {
        'before': (0, marks[0]),
        'leaving': (marks[0], marks[0] + OUT_BOUND_S),
        'out': (marks[0] + OUT_BOUND_S, marks[1]),
        'returning': (marks[1], marks[-1]),
    }
    for name, (start, end) in spans.items():
        within = [one for one in seconds if start <= one.at < end]
        failed = sum(one.failed for one in within)
        share = failed / max(failed + sum(one.answered for one in within), 1)
        p99_ms = statistics.median(one.p99_ms for one in within)
        yield figure.unbounded(f'failed_share_{name}', share, 'share')
        yield figure.unbounded(f'p99_{name}', p99_ms, 'ms')


async def _async_measure(
    target: deployment.Deployment,
) -> tuple[list[traffic.Observation], list[float], list[int]]:
    """Measure under load.

    Returns:
        Results of the requests; the seconds at which the failure domain was
        taken out, was brought back and the run ended; the number of requests
        per backend server before the change.
    """
    remaining = SERVERS * 2 // 3
    rate = LOAD_SHARE * remaining * SLOTS / SERVICE_S
    notes: list[traffic.Observation] = []
    stop = asyncio.Event()
    callers = [
        asyncio.create_task(_async_caller(target, CALLERS / rate, notes, stop))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(WARM_UP_S)
    notes.clear()
    before = await asyncio.to_thread(_request_counts, target)
    started = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    after = await asyncio.to_thread(_request_counts, target)
    marks = [time.monotonic() - started]
    await asyncio.to_thread(_publish_document, target, (DOMAIN,))
    await asyncio.sleep(OUT_S)
    marks.append(time.monotonic() - started)
    await asyncio.to_thread(_publish_document, target, ())
    await asyncio.sleep(AFTER_S)
    marks.append(time.monotonic() - started)
    stop.set()
    await asyncio.gather(*callers, return_exceptions=True)
    relative = [
        note._replace(observed_at=note.observed_at - started) for note in notes
    ]
    request_counts = [
        late - early for late, early in zip(after, before, strict=True)
    ]
    return relative, marks, request_counts


def _publish_document(
    target: deployment.Deployment, out: tuple[str, ...]
) -> None:
    target.put_document(target.document(out=out))


def _request_counts(target: deployment.Deployment) -> list[int]:
    names = [f'{SERVICE}-{number + 1}-server' for number in range(SERVERS)]
    return [target.status(name)['small'] for name in names]


async def _async_caller(
    target: deployment.Deployment,
    period_s: float,
    notes: list[traffic.Observation],
    stop: asyncio.Event,
) -> None:
    """Open a connection per request, so that counts reflect the placement."""
    while not stop.is_set():
        try:
            await _async_request(target, period_s, notes)
        except errors.CallerError as error:
            notes.append(
                traffic.Observation(
                    time.monotonic(), SERVICE, 'small', repr(error), 0
                ),
            )


async def _async_request(
    target: deployment.Deployment,
    period_s: float,
    notes: list[traffic.Observation],
) -> None:
    connection = await caller.async_connect(
        target.service_endpoint(SERVICE),
        target.ca,
        SERVICE,
        local=(target.caller_address, 0),
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(connection.async_close)
        started = time.monotonic()
        answer = await connection.async_request('GET', '/stock')
        seconds = time.monotonic() - started
        result = str(answer.status)
        notes.append(
            traffic.Observation(
                time.monotonic(), SERVICE, 'small', result, seconds
            ),
        )
        await asyncio.sleep(max(period_s - seconds, 0))


def _by_second(notes: list[traffic.Observation]) -> list[Second]:
    answered: dict[int, list[float]] = collections.defaultdict(list)
    failed: collections.Counter[int] = collections.Counter()
    for note in notes:
        if note.observed_at < 0:
            continue
        if note.result == '200':
            answered[int(note.observed_at)].append(note.duration_s)
        else:
            failed[int(note.observed_at)] += 1
    return [
        Second(at, len(answered[at]), failed[at], _p99_ms(answered[at]))
        for at in range(max((*answered, *failed), default=0))
    ]


def _p99_ms(seconds: list[float]) -> float:
    if not seconds:
        return 0
    ordered = sorted(seconds)
    return ordered[int(P99_RANK * (len(ordered) - 1))] * 1000
