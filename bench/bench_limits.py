"""Goodput, collapses and latency with the limit in use and alternatives."""

import asyncio
import collections
import time
import types
import typing
from collections import abc

from bench import figure, nested_retries
from kumquatport.request import messages
from kumquatport.request.limit import aimd, gradient, ramp, sample, unlimited
from tests import handler_harness
from tests.builders import exchanges

MEDIAN_S: typing.Final = 0.05
COLD_MEDIAN_S: typing.Final = 0.1
WARM_UP_S: typing.Final = 9.0
LOAD_S: typing.Final = 4.0
PAUSE_S: typing.Final = 1.5
COLD_S: typing.Final = 18.0
COLD_LOAD_FACTOR: typing.Final = 1.2
LOAD_FACTORS: typing.Final = (0.5, 1.0, 2.0, 5.0)
GOODPUT_BOUND: typing.Final = 0.9
ADDRESS: typing.Final = '127.10.253.{number}'
PORT: typing.Final = 8000
PULL_PATH: typing.Final = '/pull/large?bytes=20000'

STEPS: typing.Final[abc.Mapping[str, sample.Step]] = types.MappingProxyType(
    {
        'gradient': gradient.step,
        'ramp': ramp.step,
        'aimd': aimd.step,
        'none': unlimited.step,
    }
)


def run() -> abc.Iterator[figure.Figure]:
    """Measure the limit in use and no limit, then cold starts with all."""
    for name in ('gradient', 'none'):
        yield from asyncio.run(_async_load_factors(name))
    yield from asyncio.run(_async_cold())
    yield from asyncio.run(nested_retries.async_measure())


async def _async_load_factors(name: str) -> list[figure.Figure]:
    capacity = handler_harness.capacity(MEDIAN_S)
    async with handler_harness.async_harness(
        handler_harness.Endpoint(ADDRESS.format(number=1), PORT),
        [f'--service-s={MEDIAN_S}'],
        step=STEPS[name],
    ) as side:
        await side.async_open_loop(0.9 * capacity, WARM_UP_S, _mixed_request)
        measured = []
        for load_factor in LOAD_FACTORS:
            await asyncio.sleep(PAUSE_S)
            measured.extend(await _async_load_factor(side, name, load_factor))
    return measured


async def _async_load_factor(
    side: handler_harness.HandlerHarness, name: str, load_factor: float
) -> list[figure.Figure]:
    capacity = handler_harness.capacity(MEDIAN_S)
    began_at = time.monotonic()
    calls = await side.async_open_loop(
        load_factor * capacity, LOAD_S, _mixed_request
    )
    goodput = (
        handler_harness.goodput(calls, began_at, began_at + LOAD_S) / capacity
    )
    label = f'limits.goodput.{name}.{load_factor:g}x'
    bound = GOODPUT_BOUND * min(load_factor, 1)
    figures = [
        figure.Figure(
            label, round(goodput, 3), 'of capacity', bound, goodput >= bound
        )
        if name == 'gradient'
        else figure.unbounded(label, goodput, 'of capacity')
    ]
    by_class = collections.defaultdict(list)
    for number, call in enumerate(calls):
        by_class[_class_of(number)].append(call)
    for class_name, class_calls in by_class.items():
        p99_ms = 1000 * handler_harness.p99_s(class_calls)
        label = f'limits.p99.{name}.{load_factor:g}x.{class_name}'
        figures.append(figure.unbounded(label, p99_ms, 'ms'))
    return figures


def _class_of(number: int) -> str:
    return ('order', 'pull', 'other')[number % 3]


def _mixed_request(number: int) -> messages.RequestHead:
    class_name = _class_of(number)
    if class_name == 'order':
        return exchanges.order(f'key-{number}')
    return exchanges.head(path=PULL_PATH if class_name == 'pull' else '/small')


async def _async_cold() -> list[figure.Figure]:
    figures = await asyncio.gather(
        *[
            _async_cold_start(number, name)
            for number, name in enumerate(STEPS, start=2)
        ]
    )
    return [one for pair in figures for one in pair]


async def _async_cold_start(number: int, name: str) -> list[figure.Figure]:
    capacity = handler_harness.capacity(COLD_MEDIAN_S)
    async with handler_harness.async_harness(
        handler_harness.Endpoint(ADDRESS.format(number=number), PORT),
        [f'--service-s={COLD_MEDIAN_S}', '--cold'],
        step=STEPS[name],
    ) as side:
        began_at = time.monotonic()
        calls = await side.async_open_loop(
            COLD_LOAD_FACTOR * capacity, COLD_S, lambda _: exchanges.head()
        )
        report = await side.async_report()
    collapses = report['collapses']
    goodput = (
        handler_harness.goodput(calls, began_at, began_at + COLD_S) / capacity
    )
    label = f'limits.cold_start.{name}'
    collapse_figure = (
        figure.at_most(f'{label}.collapses', collapses, 'collapses', 0)
        if name == 'gradient'
        else figure.unbounded(f'{label}.collapses', collapses, 'collapses')
    )
    return [
        collapse_figure,
        figure.unbounded(f'{label}.goodput', goodput, 'of capacity'),
    ]
