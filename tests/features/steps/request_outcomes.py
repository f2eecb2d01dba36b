"""Steps for complete responses and correct outcomes."""

import asyncio
import hashlib
import time

import behave
from behave import runner

from tests import handler_harness
from tests.builders import exchanges

PULL_BYTES = 200_000
PULL_EVERY = 5
CANCEL_EVERY = 7
CANCEL_AFTER_S = 0.012
REQUEST_INTERVAL_S = 0.01
FROZEN_S = 0.5
THAWED_S = 0.3
MARGIN_S = 0.05
SETTLE_S = 1.0


def _print_figures(context: runner.Context, **figures: object) -> None:
    text = ' '.join(f'{name}={value}' for name, value in figures.items())
    print(f'FIGURE {context.scenario.name}: {text}')


def _is_pull(number: int) -> bool:
    return number % PULL_EVERY == 0


def _cancels(number: int) -> bool:
    return number % CANCEL_EVERY == 0


def _distinct_request(number: int) -> exchanges.messages.RequestHead:
    if _is_pull(number):
        return exchanges.head(path=f'/pull/{number}?bytes={PULL_BYTES}')
    return exchanges.head(path=f'/own/{number}', x_echo=number)


@behave.when(
    '{count:d} callers send requests and pulls with distinct paths'
    ' and every seventh cancels early'
)
def step_own(context: runner.Context, count: int) -> None:
    async def _async_one(number: int) -> exchanges.RecordedExchange:
        await asyncio.sleep(number * REQUEST_INTERVAL_S)
        recorded = exchanges.RecordedExchange()
        handled = context.harness.handler.async_handle(
            _distinct_request(number), recorded.exchange
        )
        task = asyncio.create_task(handled)
        if _cancels(number):
            await asyncio.sleep(CANCEL_AFTER_S)
            recorded.cancelled.set()
        await task
        return recorded

    async def _async_all() -> list[exchanges.RecordedExchange]:
        return await asyncio.gather(*map(_async_one, range(count)))

    context.answers = context.run(_async_all())


@behave.then('every response matches the request of its caller')
def step_own_answer(context: runner.Context) -> None:
    whole = 0
    for number, answer in enumerate(context.answers):
        if _is_pull(number) or not answer.ended or answer.status != 200:
            continue
        whole += 1
        assert f'"echo": "{number}"'.encode() in answer.body, answer.body
        assert f'"/own/{number}"'.encode() in answer.body, answer.body
    _print_figures(context, whole=whole)
    assert whole


@behave.then('every pull is complete')
def step_own_pull(context: runner.Context) -> None:
    whole = 0
    for number, answer in enumerate(context.answers):
        if not _is_pull(number) or answer.status != 200:
            continue
        if not answer.ended:
            assert _cancels(number) or answer.reset_code is not None
            continue
        whole += 1
        checksum = hashlib.sha256(answer.body).hexdigest()
        assert checksum == answer.headers['x-checksum']
        assert len(answer.body) == PULL_BYTES
    _print_figures(context, whole=whole)
    assert whole


@behave.then('no slot is held afterwards')
def step_no_slot(context: runner.Context) -> None:
    assert context.harness.handler.admission_control.in_progress == 0
    assert context.harness.handler.requests_in_progress == 0
    report = context.run(context.harness.async_report())
    _print_figures(
        context, cancelled=report['cancelled'], running=report['running']
    )
    assert report['running'] == 0, report
    assert report['cancelled'], report


@behave.when(
    'the backend server is killed while a slow caller reads a pull'
    ' of {size:d} bytes'
)
def step_killed(context: runner.Context, size: int) -> None:
    recorded = exchanges.RecordedExchange()
    head = exchanges.head(path=f'/pull/large?bytes={size}')

    async def _async_take() -> None:
        recorded.writable.clear()
        handled = context.harness.handler.async_handle(head, recorded.exchange)
        task = asyncio.create_task(handled)
        while not recorded.pieces:
            await asyncio.sleep(REQUEST_INTERVAL_S)
        context.harness.server.kill()
        recorded.writable.set()
        await task

    context.run(_async_take())
    context.answer = recorded
    _print_figures(context, taken=len(recorded.body))
    assert len(recorded.body) < size


@behave.then("the caller's stream is reset instead of ended")
def step_reset(context: runner.Context) -> None:
    assert context.answer.reset_code is not None
    assert not context.answer.ended


@behave.when(
    '{count:d} orders with a deadline of {deadline:g} s are sent'
    ' while the backend server is frozen repeatedly'
)
def step_frozen_orders(
    context: runner.Context, count: int, deadline: float
) -> None:
    async def _async_one(number: int) -> handler_harness.Call:
        await asyncio.sleep(number * REQUEST_INTERVAL_S)
        head = exchanges.order(f'order-{number}', x_deadline=deadline)
        return await context.harness.async_call(head, [b'{}'])

    async def _async_freeze(until: float) -> None:
        while time.monotonic() < until:
            context.harness.server.suspend()
            await asyncio.sleep(FROZEN_S)
            context.harness.server.resume()
            await asyncio.sleep(THAWED_S)

    async def _async_all() -> list[handler_harness.Call]:
        until = time.monotonic() + count * REQUEST_INTERVAL_S
        freezing = asyncio.create_task(_async_freeze(until))
        calls = await asyncio.gather(*map(_async_one, range(count)))
        await freezing
        await asyncio.sleep(SETTLE_S)
        return calls

    context.deadline_s = deadline
    context.calls = context.run(_async_all())
    context.runs = context.run(context.harness.async_report())['runs']
    outcomes = [call.answer.outcome or 'answered' for call in context.calls]
    unknown = outcomes.count('unknown')
    _print_figures(
        context,
        answered=outcomes.count('answered'),
        not_run=outcomes.count('not-run'),
        unknown=unknown,
        unknown_share=round(unknown / count, 3),
        unknown_that_ran=sum(
            f'order-{number}' in context.runs
            for number, outcome in enumerate(outcomes)
            if outcome == 'unknown'
        ),
    )
    assert unknown and outcomes.count('not-run')


@behave.then('no order ran twice')
def step_no_second_run(context: runner.Context) -> None:
    assert max(context.runs.values()) == 1, context.runs


@behave.then('no order that was refused as not run has run')
def step_not_run(context: runner.Context) -> None:
    for number, call in enumerate(context.calls):
        if call.answer.outcome == 'not-run':
            assert f'order-{number}' not in context.runs, call.answer.headers


@behave.then('every answered order has run')
def step_answered_ran(context: runner.Context) -> None:
    for number, call in enumerate(context.calls):
        if call.succeeded:
            assert context.runs[f'order-{number}'] == 1


@behave.then(
    'every order received a complete response at most {most:d} ms'
    ' after its deadline'
)
def step_answered_in_time(context: runner.Context, most: int) -> None:
    slowest_s = max(call.duration_s for call in context.calls)
    _print_figures(context, slowest_s=round(slowest_s, 3))
    assert all(call.answer.ended for call in context.calls)
    assert slowest_s <= context.deadline_s + most / 1000


@behave.when(
    'the backend server is killed, {count:d} orders are sent'
    ' and it is started again'
)
def step_orders_refused(context: runner.Context, count: int) -> None:
    harness = context.harness
    harness.server.kill()

    async def _async_all() -> list[handler_harness.Call]:
        return await asyncio.gather(
            *[
                harness.async_call(exchanges.order(f'order-{number}'), [b'{}'])
                for number in range(count)
            ]
        )

    context.calls = context.run(_async_all())
    context.run(harness.server.async_start())
    context.runs = context.run(harness.async_report())['runs']


@behave.then('all {count:d} orders were refused as not run')
def step_all_not_run(context: runner.Context, count: int) -> None:
    outcomes = [call.answer.outcome for call in context.calls]
    assert outcomes == ['not-run'] * count, outcomes


@behave.then('none of these orders has run')
def step_none_ran(context: runner.Context) -> None:
    assert not context.runs, context.runs


@behave.when('the handler drains with {count:d} requests in progress')
def step_drain(context: runner.Context, count: int) -> None:
    async def _async_drain() -> list[handler_harness.Call]:
        handler = context.harness.handler
        # Feeds and the queue both hold requests in progress.
        tasks = [
            asyncio.create_task(context.harness.async_call(exchanges.head()))
            for _ in range(count)
        ]
        await asyncio.sleep(0)
        assert handler.requests_in_progress == count
        await handler.async_drain()
        context.drained_readiness = handler.readiness()
        assert all(task.done() for task in tasks)
        return await asyncio.gather(*tasks)

    context.calls = context.run(_async_drain())


@behave.then('all {count:d} requests are answered before the drain ends')
def step_drained(context: runner.Context, count: int) -> None:
    assert [call.succeeded for call in context.calls] == [True] * count
    assert context.drained_readiness.state == 'leaving'
    assert not context.drained_readiness.accepts_flows
