"""Steps for cold start, health reports, overload and client accounts."""

import asyncio
import statistics

import behave
from behave import runner

from tests import handler_harness
from tests.builders import exchanges
from tests.features.steps import request_harness

REPORT_DELAY_S = 30.0
SPAN_S = 4.0
NORMAL_LATENCY_FACTOR = 4.0
LIMIT_DECREASE_TIMEOUT_S = 5.0
LIMIT_POLL_S = 0.005
DECREASED_LIMIT = 3
ORDERS_SHARE = 0.5
SLOW_PULL_ORDERS_SHARE = 0.15
SLOW_PULL = '/pull/slow?bytes=20000000'
SLOW_PULL_S = 2.5
CODE_QUEUE_TIMEOUT = 'KQ-5013'
CROWD = 'crowd'
GUILD = 'guild'


def _small_request(number: int) -> exchanges.messages.RequestHead:
    return exchanges.head()


def _print_figures(context: runner.Context, **figures: object) -> None:
    text = ' '.join(f'{name}={value}' for name, value in figures.items())
    print(f'FIGURE {context.scenario.name}: {text}')


@behave.when(
    'requests are sent at {load_factor:g} times the capacity for {duration:d} s'
)
def step_load(
    context: runner.Context, load_factor: float, duration: int
) -> None:
    context.started_at = context.loop.time()
    context.until = context.started_at + duration
    load = context.harness.async_open_loop(
        context.capacity * load_factor, duration, _small_request
    )
    context.calls = context.run(load)


@behave.when(
    'requests are sent at {load_factor:g} times the capacity for {duration:d} s'
    ' and the backend server becomes cold after {warm:d} s'
)
def step_becomes_cold(
    context: runner.Context, load_factor: float, duration: int, warm: int
) -> None:
    context.started_at = context.loop.time()
    context.until = context.started_at + duration
    rate = context.capacity * load_factor

    async def _async_both() -> list[handler_harness.Call]:
        load = asyncio.create_task(
            context.harness.async_open_loop(rate, duration, _small_request)
        )
        await asyncio.sleep(warm)
        context.requests_before_decrease = await _async_make_cold(
            context.harness
        )
        return await load

    context.calls = context.run(_async_both())


async def _async_make_cold(harness: handler_harness.HandlerHarness) -> int:
    """Make the server cold; count its requests until the limit decreases."""
    before = await harness.async_control(cold=True)
    async with asyncio.timeout(LIMIT_DECREASE_TIMEOUT_S):
        while harness.handler.current_limit.value >= DECREASED_LIMIT:
            await asyncio.sleep(LIMIT_POLL_S)
    after = await harness.async_report()
    return after['started'] - before['started']


@behave.then('the backend server has not collapsed')
def step_no_collapse(context: runner.Context) -> None:
    report = context.run(context.harness.async_report())
    _print_figures(context, collapses=report['collapses'])
    assert report['collapses'] == 0, report


@behave.then(
    'at most {most:d} requests reached it after it became cold'
    ' and before the limit decreased'
)
def step_before_decrease(context: runner.Context, most: int) -> None:
    _print_figures(
        context, requests_after_turn=context.requests_before_decrease
    )
    assert context.requests_before_decrease <= most, (
        context.requests_before_decrease
    )


@behave.then(
    'the goodput is at least {share:g} of the capacity from {since:d} s on'
)
def step_goodput(context: runner.Context, share: float, since: int) -> None:
    shares = [
        handler_harness.goodput(context.calls, second, second + 1)
        / context.capacity
        for second in _second_starts(context)
    ]
    _print_figures(context, share_by_second=[round(one, 2) for one in shares])
    goodput = handler_harness.goodput(
        context.calls, context.started_at + since, context.until
    )
    assert goodput >= share * context.capacity, shares


def _second_starts(context: runner.Context) -> list[float]:
    count = int(context.until - context.started_at)
    return [context.started_at + second for second in range(count)]


@behave.given(
    'warm backend servers with true, frozen, late and inverted health reports'
)
def step_reports(context: runner.Context) -> None:
    context.harness_group = request_harness.HarnessGroup(context)
    context.capacity = handler_harness.capacity(0.1)
    context.harnesses = {}
    for mode in ('true', 'frozen', 'late', 'inverted'):
        harness = context.harness_group.start(options=['--service-s=0.1'])
        command = {'report': mode, 'delay_s': REPORT_DELAY_S}
        context.run(harness.async_control(**command))
        context.harnesses[mode] = harness


@behave.given('each request handler has measured its baseline latency')
def step_all_baselines(context: runner.Context) -> None:
    rate = context.capacity * request_harness.BASELINE_LOAD_FACTOR

    async def _async_all() -> None:
        await asyncio.gather(
            *[
                request_harness.async_confirm_baseline(harness, rate)
                for harness in context.harnesses.values()
            ]
        )

    context.run(_async_all())


@behave.when(
    'requests are sent at {load_factor:g} times the capacity of each backend'
    ' server for {duration:d} s'
)
def step_load_each(
    context: runner.Context, load_factor: float, duration: int
) -> None:
    rate = context.capacity * load_factor

    async def _async_all() -> list[list[handler_harness.Call]]:
        return await asyncio.gather(
            *[
                harness.async_open_loop(rate, duration, _small_request)
                for harness in context.harnesses.values()
            ]
        )

    calls_by_harness = context.run(_async_all())
    context.served = {
        mode: sum(call.succeeded for call in calls)
        for mode, calls in zip(context.harnesses, calls_by_harness, strict=True)
    }


@behave.then(
    'each serves at least {share:g} of the requests served with true reports'
)
def step_reports_alike(context: runner.Context, share: float) -> None:
    _print_figures(context, **context.served)
    bound = share * context.served['true']
    assert min(context.served.values()) >= bound, context.served


@behave.when(
    'requests are sent at {load_factor:g} times the capacity for {duration:d} s'
    ' and then at {later_factor:g} times for {after:d} s'
)
def step_overload(
    context: runner.Context,
    load_factor: float,
    duration: int,
    later_factor: float,
    after: int,
) -> None:
    async def _async_both() -> None:
        harness, capacity = context.harness, context.capacity
        context.report_before = await harness.async_report()
        context.started_at = context.loop.time()
        context.until = context.started_at + duration
        overload = asyncio.create_task(
            harness.async_open_loop(
                capacity * load_factor, duration, _small_request
            )
        )
        await asyncio.sleep(duration)
        context.later_calls = await harness.async_open_loop(
            capacity * later_factor, after, _small_request
        )
        context.calls = await overload

    context.run(_async_both())


@behave.then(
    'the goodput during the overload was at least {share:g} of the capacity'
)
def step_overload_goodput(context: runner.Context, share: float) -> None:
    goodput = handler_harness.goodput(
        context.calls, context.started_at, context.until
    )
    _print_figures(context, goodput=round(goodput / context.capacity, 3))
    assert goodput >= share * context.capacity, goodput / context.capacity


@behave.then('every refusal was sent within {most_ms:d} ms of the decision')
def step_refusal_delay(context: runner.Context, most_ms: int) -> None:
    refused = [
        call for call in context.calls if call.refused_after_s is not None
    ]
    after_decision_ms = [
        1000 * (call.duration_s - call.refused_after_s) for call in refused
    ]
    after_arrival_ms = [
        1000 * call.duration_s
        for call in refused
        if _refused_without_queueing(call)
    ]
    p99_ms = statistics.quantiles(after_arrival_ms, n=100)[-1]
    _print_figures(
        context,
        refused=len(refused),
        most_after_decision_ms=round(max(after_decision_ms), 2),
        p99_after_arrival_ms=round(p99_ms, 2),
    )
    assert max(after_decision_ms) <= most_ms
    assert p99_ms <= most_ms


def _refused_without_queueing(call: handler_harness.Call) -> bool:
    return call.answer.code != CODE_QUEUE_TIMEOUT


@behave.then('every refusal has the outcome not-run and a Retry-After header')
def step_refusal_headers(context: runner.Context) -> None:
    for call in context.calls:
        if call.answer.status != 200:
            assert call.answer.outcome == 'not-run', call.answer.headers
            assert int(call.answer.headers['retry-after']) >= 1


@behave.then('no more than {share:g} of the requests were retried')
def step_retries(context: runner.Context, share: float) -> None:
    report = context.run(context.harness.async_report())
    arrived = report['small'] - context.report_before['small']
    calls = [*context.calls, *context.later_calls]
    requests = len(calls)
    refused = sum(call.answer.status != 200 for call in calls)
    retries = arrived - (requests - refused)
    _print_figures(
        context, arrived=arrived, requests=requests, sent_again=retries
    )
    assert retries <= share * requests


@behave.then(
    '{after:d} s after the overload all requests are answered'
    ' with normal latency'
)
def step_latency_recovered(context: runner.Context, after: int) -> None:
    recovered = [
        call
        for call in context.later_calls
        if call.started_at >= context.until + after
    ]
    slowest_s = max(call.duration_s for call in recovered)
    _print_figures(context, calls=len(recovered), slowest_s=round(slowest_s, 3))
    assert all(call.succeeded for call in recovered)
    assert slowest_s <= NORMAL_LATENCY_FACTOR * context.median_s


@behave.when(
    'client account guild sends requests at {share:g} times the capacity'
    ' for {duration:d} s'
)
def step_guild_alone(
    context: runner.Context, share: float, duration: int
) -> None:
    context.guild_rate = share * context.capacity
    load = context.harness.async_open_loop(
        context.guild_rate, duration, lambda number: _request_of(GUILD)
    )
    context.uncontended = context.run(load)


@behave.when(
    'guild continues for {duration:d} s while another client account sends'
    ' {times:d} times its share'
)
def step_guild_contended(
    context: runner.Context, duration: int, times: int
) -> None:
    # Guild has a share of 3. The other account is not configured and gets the
    # default share of 1.
    crowd_rate = context.capacity / 4 * times

    async def _async_both() -> list[list[handler_harness.Call]]:
        harness = context.harness
        return await asyncio.gather(
            harness.async_open_loop(
                context.guild_rate, duration, lambda number: _request_of(GUILD)
            ),
            harness.async_open_loop(
                crowd_rate, duration, lambda number: _request_of(CROWD)
            ),
        )

    context.guild, context.crowd = context.run(_async_both())


def _request_of(client_account: str) -> exchanges.messages.RequestHead:
    return exchanges.head(x_client_account=client_account)


@behave.then(
    'the 99th percentile latency of guild is at most {most:g} times'
    ' its latency alone'
)
def step_guild_p99(context: runner.Context, most: float) -> None:
    uncontended_s = handler_harness.p99_s(context.uncontended)
    contended_s = handler_harness.p99_s(context.guild)
    _print_figures(
        context,
        alone_ms=round(uncontended_s * 1000, 1),
        crowded_ms=round(contended_s * 1000, 1),
        crowd_served=sum(call.succeeded for call in context.crowd),
    )
    assert contended_s <= most * uncontended_s


@behave.then('no request of guild was refused')
def step_guild_served(context: runner.Context) -> None:
    assert all(call.succeeded for call in context.guild)


@behave.when(
    '{feeds:d} callers keep a feed open and {orders:d} orders are sent'
)
def step_feeds(context: runner.Context, feeds: int, orders: int) -> None:
    async def _async_both() -> list[handler_harness.Call]:
        harness = context.harness
        feed_tasks = [
            asyncio.create_task(
                harness.async_call(exchanges.head(path='/feed'))
            )
            for _ in range(feeds)
        ]
        while harness.handler.requests_in_progress < feeds:
            await asyncio.sleep(request_harness.POLL_S)
        calls = await asyncio.gather(
            *[
                harness.async_call(exchanges.order(f'key-{number}'))
                for number in range(orders)
            ]
        )
        assert harness.handler.requests_in_progress == feeds
        for task in feed_tasks:
            task.cancel()
        await asyncio.gather(*feed_tasks, return_exceptions=True)
        return calls

    context.calls = context.run(_async_both())


@behave.then('all {count:d} orders are answered')
def step_orders_answered(context: runner.Context, count: int) -> None:
    statuses = [call.answer.status for call in context.calls]
    assert statuses == [200] * count, statuses


@behave.when(
    '{pulls:d} slow callers pull twice and {orders:d} orders are sent'
    ' during the second pull'
)
def step_slow_pulls(context: runner.Context, pulls: int, orders: int) -> None:
    harness = context.harness
    rate = SLOW_PULL_ORDERS_SHARE * context.capacity

    async def _async_pull(recorded: exchanges.RecordedExchange) -> None:
        recorded.writable.clear()
        head = exchanges.head(path=SLOW_PULL)
        await harness.handler.async_handle(head, recorded.exchange)

    async def _async_round(orders: int) -> list[handler_harness.Call]:
        pulling = [exchanges.RecordedExchange() for _ in range(pulls)]
        tasks = [asyncio.create_task(_async_pull(one)) for one in pulling]
        await asyncio.sleep(SLOW_PULL_S)
        calls = await harness.async_open_loop(
            rate,
            orders / rate,
            lambda number: exchanges.order(f'key-{number}'),
        )
        for one in pulling:
            one.writable.set()
        await asyncio.gather(*tasks)
        return calls

    context.run(_async_round(1))
    context.calls = context.run(_async_round(orders))
