"""Steps of load: cold starts, misleading reports, overload, client accounts."""

import asyncio
import statistics

import behave
from behave import runner

from tests import beside
from tests.builders import exchanges
from tests.features.steps import request_beside

REPORT_DELAY_S = 30.0
SPAN_S = 4.0
NORMAL_OVER_MEDIAN = 4.0
TURN_TIMEOUT_S = 5.0
TURN_POLL_S = 0.005
LIMIT_LOW = 3
ORDERS_SHARE = 0.5
SLOW_ORDERS_SHARE = 0.15
SLOW_PULL = '/pull/slow?bytes=20000000'
SLOW_PULL_S = 2.5
CODE_QUEUE_TIMEOUT = 'KQ-5013'
CROWD = 'crowd'
GUILD = 'guild'


def _small(number: int) -> exchanges.messages.RequestHead:
    return exchanges.head()


def _print(context: runner.Context, **figures: object) -> None:
    text = ' '.join(f'{name}={value}' for name, value in figures.items())
    print(f'FIGURE {context.scenario.name}: {text}')


@behave.when('requests come at {times:g} times its capacity for {duration:d} s')
def step_load(context: runner.Context, times: float, duration: int) -> None:
    context.started_at = context.loop.time()
    context.until = context.started_at + duration
    load = context.side.async_open_loop(
        context.capacity * times, duration, _small
    )
    context.calls = context.run(load)


@behave.when(
    'requests come at {times:g} times its capacity for {duration:d} s'
    ' and it turns cold after {warm:d} s'
)
def step_turn(
    context: runner.Context, times: float, duration: int, warm: int
) -> None:
    context.started_at = context.loop.time()
    context.until = context.started_at + duration
    rate = context.capacity * times

    async def _async_both() -> list[beside.Call]:
        load = asyncio.create_task(
            context.side.async_open_loop(rate, duration, _small)
        )
        await asyncio.sleep(warm)
        context.after_turn = await _async_turn(context.side)
        return await load

    context.calls = context.run(_async_both())


async def _async_turn(side: beside.HandlerHarness) -> int:
    """Turn the server cold; count what reaches it until the limit falls."""
    before = await side.async_control(cold=True)
    async with asyncio.timeout(TURN_TIMEOUT_S):
        while side.handler.current_limit.value >= LIMIT_LOW:
            await asyncio.sleep(TURN_POLL_S)
    after = await side.async_report()
    return after['started'] - before['started']


@behave.then('the backend server beside has not collapsed')
def step_no_collapse(context: runner.Context) -> None:
    report = context.run(context.side.async_report())
    _print(context, collapses=report['collapses'])
    assert report['collapses'] == 0, report


@behave.then(
    'at most {most:d} requests reached it after the turn before the limit fell'
)
def step_after_turn(context: runner.Context, most: int) -> None:
    _print(context, requests_after_turn=context.after_turn)
    assert context.after_turn <= most, context.after_turn


@behave.then('it serves at least {share:g} of its capacity from {since:d} s on')
def step_full_rate(context: runner.Context, share: float, since: int) -> None:
    rates = [
        beside.goodput(context.calls, second, second + 1) / context.capacity
        for second in _seconds(context)
    ]
    _print(context, share_by_second=[round(rate, 2) for rate in rates])
    served = beside.goodput(
        context.calls, context.started_at + since, context.until
    )
    assert served >= share * context.capacity, rates


def _seconds(context: runner.Context) -> list[float]:
    count = int(context.until - context.started_at)
    return [context.started_at + second for second in range(count)]


@behave.given(
    'warm backend servers beside with reports true, frozen, late and inverted'
)
def step_reports(context: runner.Context) -> None:
    context.standing = request_beside.Standing(context)
    context.capacity = beside.capacity(0.1)
    context.sides = {}
    for mode in ('true', 'frozen', 'late', 'inverted'):
        side = context.standing.enter(options=['--service-s=0.1'])
        order = {'report': mode, 'delay_s': REPORT_DELAY_S}
        context.run(side.async_control(**order))
        context.sides[mode] = side


@behave.given('each request handler has learnt its latency')
def step_all_learnt(context: runner.Context) -> None:
    rate = context.capacity * request_beside.LEARN_RATE

    async def _async_all() -> None:
        await asyncio.gather(
            *[
                request_beside.async_learn(side, rate)
                for side in context.sides.values()
            ]
        )

    context.run(_async_all())


@behave.when(
    'requests come at {times:g} times the capacity of each for {duration:d} s'
)
def step_load_each(
    context: runner.Context, times: float, duration: int
) -> None:
    rate = context.capacity * times

    async def _async_all() -> list[list[beside.Call]]:
        return await asyncio.gather(
            *[
                side.async_open_loop(rate, duration, _small)
                for side in context.sides.values()
            ]
        )

    calls = context.run(_async_all())
    context.served = {
        mode: sum(call.succeeded for call in made)
        for mode, made in zip(context.sides, calls, strict=True)
    }


@behave.then(
    'each serves at least {share:g} of what the one with true reports serves'
)
def step_reports_alike(context: runner.Context, share: float) -> None:
    _print(context, **context.served)
    least = share * context.served['true']
    assert min(context.served.values()) >= least, context.served


@behave.when(
    'requests come at {times:g} times its capacity for {duration:d} s'
    ' and then at {rest:g} times for {after:d} s'
)
def step_overload(
    context: runner.Context,
    times: float,
    duration: int,
    rest: float,
    after: int,
) -> None:
    async def _async_both() -> None:
        side, full = context.side, context.capacity
        context.before = await side.async_report()
        context.started_at = context.loop.time()
        context.until = context.started_at + duration
        first = asyncio.create_task(
            side.async_open_loop(full * times, duration, _small)
        )
        await asyncio.sleep(duration)
        context.later = await side.async_open_loop(full * rest, after, _small)
        context.calls = await first

    context.run(_async_both())


@behave.then('it served at least {share:g} of its capacity during the overload')
def step_overload_goodput(context: runner.Context, share: float) -> None:
    served = beside.goodput(context.calls, context.started_at, context.until)
    _print(context, goodput=round(served / context.capacity, 3))
    assert served >= share * context.capacity, served / context.capacity


@behave.then('every refusal was answered within {most:d} ms of the decision')
def step_refused_fast(context: runner.Context, most: int) -> None:
    refused = [
        call for call in context.calls if call.refused_after_s is not None
    ]
    held_ms = [
        1000 * (call.duration_s - call.refused_after_s) for call in refused
    ]
    taken_ms = [1000 * call.duration_s for call in refused if _at_once(call)]
    p99_ms = statistics.quantiles(taken_ms, n=100)[-1]
    _print(
        context,
        refused=len(refused),
        most_after_decision_ms=round(max(held_ms), 2),
        p99_after_arrival_ms=round(p99_ms, 2),
    )
    assert max(held_ms) <= most
    assert p99_ms <= most


def _at_once(call: beside.Call) -> bool:
    return call.answer.code != CODE_QUEUE_TIMEOUT


@behave.then('every refusal said that it did not run and when to come back')
def step_refused_true(context: runner.Context) -> None:
    for call in context.calls:
        if call.answer.status != 200:
            assert call.answer.outcome == 'not-run', call.answer.headers
            assert int(call.answer.headers['retry-after']) >= 1


@behave.then('no more than {share:g} of the requests were sent again')
def step_retries(context: runner.Context, share: float) -> None:
    report = context.run(context.side.async_report())
    arrived = report['small'] - context.before['small']
    calls = [*context.calls, *context.later]
    made = len(calls)
    refused = sum(call.answer.status != 200 for call in calls)
    again = arrived - (made - refused)
    _print(context, arrived=arrived, requests=made, sent_again=again)
    assert again <= share * made


@behave.then(
    '{after:d} s after the overload all requests are answered in normal time'
)
def step_normal_again(context: runner.Context, after: int) -> None:
    late = [
        call
        for call in context.later
        if call.started_at >= context.until + after
    ]
    slowest_s = max(call.duration_s for call in late)
    _print(context, calls=len(late), slowest_s=round(slowest_s, 3))
    assert all(call.succeeded for call in late)
    assert slowest_s <= NORMAL_OVER_MEDIAN * context.median_s


@behave.when(
    'the guild asks for {share:g} of the capacity for {duration:d} s alone'
)
def step_guild_alone(
    context: runner.Context, share: float, duration: int
) -> None:
    context.guild_rate = share * context.capacity
    load = context.side.async_open_loop(
        context.guild_rate, duration, lambda number: _of(GUILD)
    )
    context.alone = context.run(load)


@behave.when(
    'then for {duration:d} s beside a client account that asks for'
    ' {times:d} times its share'
)
def step_guild_beside(
    context: runner.Context, duration: int, times: int
) -> None:
    # Shares: guild 3, default 1; the crowd is unknown, so it is the default.
    crowd_rate = context.capacity / 4 * times

    async def _async_both() -> list[list[beside.Call]]:
        side = context.side
        return await asyncio.gather(
            side.async_open_loop(
                context.guild_rate, duration, lambda number: _of(GUILD)
            ),
            side.async_open_loop(
                crowd_rate, duration, lambda number: _of(CROWD)
            ),
        )

    context.guild, context.crowd = context.run(_async_both())


def _of(client_account: str) -> exchanges.messages.RequestHead:
    return exchanges.head(x_client_account=client_account)


@behave.then(
    "the guild's 99th percentile is within {most:g} of what it was alone"
)
def step_guild_p99(context: runner.Context, most: float) -> None:
    alone_s = beside.p99_s(context.alone)
    crowded_s = beside.p99_s(context.guild)
    _print(
        context,
        alone_ms=round(alone_s * 1000, 1),
        crowded_ms=round(crowded_s * 1000, 1),
        crowd_served=sum(call.succeeded for call in context.crowd),
    )
    assert crowded_s <= most * alone_s


@behave.then("none of the guild's requests was refused")
def step_guild_served(context: runner.Context) -> None:
    assert all(call.succeeded for call in context.guild)


@behave.when(
    '{feeds:d} callers hold a feed open and {orders:d} orders are sent'
)
def step_feeds(context: runner.Context, feeds: int, orders: int) -> None:
    async def _async_both() -> list[beside.Call]:
        side = context.side
        held = [
            asyncio.create_task(side.async_call(exchanges.head(path='/feed')))
            for _ in range(feeds)
        ]
        while side.handler.requests_in_progress < feeds:
            await asyncio.sleep(request_beside.POLL_S)
        made = await asyncio.gather(
            *[
                side.async_call(exchanges.order(f'key-{number}'))
                for number in range(orders)
            ]
        )
        assert side.handler.requests_in_progress == feeds
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        return made

    context.calls = context.run(_async_both())


@behave.then('all {count:d} orders are answered')
def step_orders_answered(context: runner.Context, count: int) -> None:
    statuses = [call.answer.status for call in context.calls]
    assert statuses == [200] * count, statuses


@behave.when(
    '{pulls:d} slow callers pull twice and {orders:d} orders are sent'
    ' while they do'
)
def step_slow_pulls(context: runner.Context, pulls: int, orders: int) -> None:
    side = context.side
    rate = SLOW_ORDERS_SHARE * context.capacity

    async def _async_pull(recorded: exchanges.RecordedExchange) -> None:
        recorded.writable.clear()
        head = exchanges.head(path=SLOW_PULL)
        await side.handler.async_handle(head, recorded.exchange)

    async def _async_round(orders: int) -> list[beside.Call]:
        taking = [exchanges.RecordedExchange() for _ in range(pulls)]
        tasks = [asyncio.create_task(_async_pull(one)) for one in taking]
        await asyncio.sleep(SLOW_PULL_S)
        made = await side.async_open_loop(
            rate,
            orders / rate,
            lambda number: exchanges.order(f'key-{number}'),
        )
        for one in taking:
            one.writable.set()
        await asyncio.gather(*tasks)
        return made

    context.run(_async_round(1))
    context.calls = context.run(_async_round(orders))
