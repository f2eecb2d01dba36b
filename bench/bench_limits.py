"""Goodput, collapses and latency with the limit in use and its rivals."""

import asyncio
import collections
import time
import types
import typing
from collections import abc

from bench import figure, nested_retries
from kumquatport.request import messages
from kumquatport.request.limit import aimd, gradient, ramp, sample, unlimited
from tests import beside
from tests.builders import exchanges

MEDIAN_S: typing.Final = 0.05
COLD_MEDIAN_S: typing.Final = 0.1
LEARN_S: typing.Final = 9.0
LEVEL_S: typing.Final = 4.0
REST_S: typing.Final = 1.5
COLD_S: typing.Final = 18.0
COLD_TIMES: typing.Final = 1.2
LEVELS: typing.Final = (0.5, 1.0, 2.0, 5.0)
GOODPUT_BOUND: typing.Final = 0.9
ADDRESS: typing.Final = '127.10.253.{number}'
PORT: typing.Final = 8000
PULL: typing.Final = '/pull/large?bytes=20000'

STEPS: typing.Final[abc.Mapping[str, sample.Step]] = types.MappingProxyType(
    {
        'gradient': gradient.step,
        'ramp': ramp.step,
        'aimd': aimd.step,
        'none': unlimited.step,
    }
)


def run() -> abc.Iterator[figure.Figure]:
    """Measure the limit in use against none, and all of them cold."""
    for name in ('gradient', 'none'):
        yield from asyncio.run(_async_levels(name))
    yield from asyncio.run(_async_cold())
    yield from asyncio.run(nested_retries.async_measure())


async def _async_levels(name: str) -> list[figure.Figure]:
    full = beside.capacity(MEDIAN_S)
    async with beside.async_harness(
        beside.Endpoint(ADDRESS.format(number=1), PORT),
        [f'--service-s={MEDIAN_S}'],
        step=STEPS[name],
    ) as side:
        await side.async_open_loop(0.9 * full, LEARN_S, _mixed)
        measured = []
        for times in LEVELS:
            await asyncio.sleep(REST_S)
            measured.extend(await _async_level(side, name, times))
    return measured


async def _async_level(
    side: beside.HandlerHarness, name: str, times: float
) -> list[figure.Figure]:
    full = beside.capacity(MEDIAN_S)
    began_at = time.monotonic()
    calls = await side.async_open_loop(times * full, LEVEL_S, _mixed)
    served = beside.goodput(calls, began_at, began_at + LEVEL_S) / full
    label = f'limits.goodput.{name}.{times:g}x'
    bound = GOODPUT_BOUND * min(times, 1)
    found = [
        figure.Figure(
            label, round(served, 3), 'of capacity', bound, served >= bound
        )
        if name == 'gradient'
        else figure.plain(label, served, 'of capacity')
    ]
    by_class = collections.defaultdict(list)
    for number, call in enumerate(calls):
        by_class[_class_of(number)].append(call)
    for class_name, made in by_class.items():
        p99_ms = 1000 * beside.p99_s(made)
        label = f'limits.p99.{name}.{times:g}x.{class_name}'
        found.append(figure.plain(label, p99_ms, 'ms'))
    return found


def _class_of(number: int) -> str:
    return ('order', 'pull', 'other')[number % 3]


def _mixed(number: int) -> messages.RequestHead:
    kind = _class_of(number)
    if kind == 'order':
        return exchanges.order(f'key-{number}')
    return exchanges.head(path=PULL if kind == 'pull' else '/small')


async def _async_cold() -> list[figure.Figure]:
    found = await asyncio.gather(
        *[
            _async_cold_start(number, name)
            for number, name in enumerate(STEPS, start=2)
        ]
    )
    return [one for pair in found for one in pair]


async def _async_cold_start(number: int, name: str) -> list[figure.Figure]:
    full = beside.capacity(COLD_MEDIAN_S)
    async with beside.async_harness(
        beside.Endpoint(ADDRESS.format(number=number), PORT),
        [f'--service-s={COLD_MEDIAN_S}', '--cold'],
        step=STEPS[name],
    ) as side:
        began_at = time.monotonic()
        calls = await side.async_open_loop(
            COLD_TIMES * full, COLD_S, lambda _: exchanges.head()
        )
        report = await side.async_report()
    collapses = report['collapses']
    served = beside.goodput(calls, began_at, began_at + COLD_S) / full
    label = f'limits.cold_start.{name}'
    counted = (
        figure.at_most(f'{label}.collapses', collapses, 'collapses', 0)
        if name == 'gradient'
        else figure.plain(f'{label}.collapses', collapses, 'collapses')
    )
    return [counted, figure.plain(f'{label}.goodput', served, 'of capacity')]
