"""Steps of bad input to balancers, agents and control ports."""

import asyncio
import collections
import json
import socket
import time
import uuid
from collections import abc

import behave
from behave import runner

from kumquatport.connection.connection_id import const as id_const
from kumquatport.helpers import tags
from tests import deployment, raw_control, workload
from tests.builders import datagrams, settings
from tests.standins import caller

BALANCER = 'balancer-1'
AGENT = 'storefront-1'
OTHER_KEY = '77' * 32
BURST = 50
BURST_PAUSE_S = 0.01
COUNT_TIMEOUT_S = 5.0
POLL_S = 0.1
GAUGE_FLOWS = 'flows.open'
DROPS = (
    'dropped.',
    'forward_refused.',
    'opening_dropped.',
    'unknown_connection',
    'misdelivered',
    'version_negotiated',
)


def _counters(context: runner.Context, name: str) -> collections.Counter:
    status = context.deployment.status(name)
    return collections.Counter(status['metrics']['counters'])


def _more_dropped(
    context: runner.Context,
    names: abc.Iterable[str],
    prefixes: tuple[str, ...] = DROPS,
) -> int:
    return sum(
        count - context.before[name][counter]
        for name in names
        for counter, count in _counters(context, name).items()
        if counter.startswith(prefixes)
    )


def _send(
    context: runner.Context,
    endpoint: tuple[str, int],
    contents: abc.Iterable[bytes],
) -> None:
    everyone = (*context.deployment.balancers, *context.deployment.agents)
    context.before = {name: _counters(context, name) for name in everyone}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((context.deployment.caller_address, 0))
        for number, content in enumerate(contents):
            sock.sendto(content, endpoint)
            if number % BURST == 0:
                time.sleep(BURST_PAUSE_S)


def _assert_counted(
    context: runner.Context,
    names: abc.Sequence[str],
    count: int,
    prefixes: tuple[str, ...] = DROPS,
) -> None:
    until = time.monotonic() + COUNT_TIMEOUT_S
    more = -1
    while more != count and time.monotonic() < until:
        time.sleep(POLL_S)
        more = _more_dropped(context, names, prefixes)
    seen = {name: dict(_counters(context, name)) for name in names}
    assert more == count, f'{more} counted: {seen}'


def _forged(count: int, seed: int) -> abc.Iterator[bytes]:
    whole = datagrams.opening()
    tag = tags.service_tag('storefront')
    for _ in range(count):
        yield datagrams.forward(whole, tag, OTHER_KEY)


def _misplaced(count: int, seed: int) -> abc.Iterator[bytes]:
    whole = datagrams.opening()
    tag = tags.service_tag('no-such-service')
    for _ in range(count):
        yield datagrams.forward(whole, tag)


MAKERS = {
    'truncated': datagrams.truncated,
    'oversized': datagrams.oversized,
    'random': datagrams.random_bytes,
    'forged': _forged,
    'misplaced': _misplaced,
}


@behave.given(
    'a deployment under bad input with {first:d} storefront '
    'and {second:d} manuals servers'
)
def step_deployment(context: runner.Context, first: int, second: int) -> None:
    plan = deployment.accra(first, second, 2)
    if plan not in context.shared:
        started = deployment.Deployment(plan)
        context.shared[plan] = started
        started.start()
    context.deployment = context.shared[plan]


@behave.when('{count:d} {kind} datagrams with seed {seed:d} go to a balancer')
def step_to_balancer(
    context: runner.Context, count: int, kind: str, seed: int
) -> None:
    target = context.deployment
    endpoint = target.address(BALANCER), target.entry_port('storefront')
    _send(context, endpoint, MAKERS[kind](count, seed))


@behave.when('{count:d} {kind} datagrams with seed {seed:d} go to an agent')
def step_to_agent(
    context: runner.Context, count: int, kind: str, seed: int
) -> None:
    endpoint = context.deployment.address(AGENT), settings.DATA_PORT
    _send(context, endpoint, MAKERS[kind](count, seed))


@behave.then('the balancer counts {count:d} more dropped')
def step_balancer_dropped(context: runner.Context, count: int) -> None:
    _assert_counted(context, [BALANCER], count)


@behave.then('the balancer counts {count:d} more dropped as {reason}')
def step_balancer_reason(
    context: runner.Context, count: int, reason: str
) -> None:
    _assert_counted(context, [BALANCER], count, (f'dropped.{reason}',))


@behave.then('the balancer and the agents count {count:d} more dropped')
def step_all_dropped(context: runner.Context, count: int) -> None:
    _assert_counted(context, [BALANCER, *context.deployment.agents], count)


@behave.then('the agent counts {count:d} more refused forwards')
def step_agent_refused(context: runner.Context, count: int) -> None:
    _assert_counted(context, [AGENT], count, ('forward_refused.',))


@behave.then('callers under bad input are answered')
def step_answered(context: runner.Context) -> None:
    outcomes = context.run(
        workload.async_call_all(
            context.deployment, 2, ('small', 'order', 'feed')
        )
    )
    wrong = [outcome for outcome in outcomes if not outcome.is_correct]
    assert not wrong, wrong


@behave.when(
    'packets of an open storefront flow go to the manuals entry {count:d} times'
)
def step_wrong_entry(context: runner.Context, count: int) -> None:
    context.run(_async_wrong_entry(context, count))


async def _async_wrong_entry(context: runner.Context, count: int) -> None:
    target = context.deployment
    connection = await _async_recorded(target)
    packet = connection.sent[-1]
    assert not packet[0] & caller.LONG_HEADER_BIT
    endpoint = target.address(BALANCER), target.entry_port('manuals')
    await asyncio.to_thread(_send, context, endpoint, [packet] * count)
    await connection.async_close()


async def _async_recorded(
    target: deployment.Deployment,
) -> caller.Connection:
    connection = await caller.async_connect(
        target.service_endpoint('storefront'),
        target.ca,
        'storefront',
        local=(target.caller_address, 0),
        recording=True,
    )
    await connection.async_request('GET', '/stock/1')
    return connection


@behave.then('no backend server saw a request of another service')
def step_no_wrong_service(context: runner.Context) -> None:
    target = context.deployment
    counts = [target.status(server) for server in target.servers]
    assert not sum(count['wrong_service'] for count in counts), counts


@behave.when(
    'a caller orders once and all its datagrams are replayed {times:d} times'
)
def step_replay(context: runner.Context, times: int) -> None:
    context.run(_async_replay(context, times))


async def _async_replay(context: runner.Context, times: int) -> None:
    target = context.deployment
    context.connection = await _async_recorded(target)
    context.key = uuid.uuid4().hex
    answer = await context.connection.async_request(
        'POST', '/orders', {'idempotency-key': context.key}, b'{}'
    )
    assert answer.status == 200, answer
    replayed = list(context.connection.sent) * times
    endpoint = target.service_endpoint('storefront')
    for packet in replayed:
        context.connection.transport.sendto(packet, endpoint)
        await asyncio.sleep(0)
    await asyncio.to_thread(_send, context, endpoint, replayed)


@behave.when(
    "{count:d} mangled copies of an open flow's packets arrive "
    'with seed {seed:d}'
)
def step_mangled_flow(context: runner.Context, count: int, seed: int) -> None:
    context.run(_async_mangled_flow(context, count, seed))


async def _async_mangled_flow(
    context: runner.Context, count: int, seed: int
) -> None:
    target = context.deployment
    context.connection = await _async_recorded(target)
    short = [
        packet
        for packet in context.connection.sent
        if not packet[0] & caller.LONG_HEADER_BIT
    ]
    endpoint = target.service_endpoint('storefront')
    # The connection ID stays, so that each copy reaches the flow's agent.
    intact = 1 + id_const.CONNECTION_ID_BYTES
    for number, packet in enumerate(short):
        share = count // len(short)
        copies = list(datagrams.corrupted(packet, share, seed + number, intact))
        for copy in copies:
            context.connection.transport.sendto(copy, endpoint)
            await asyncio.sleep(0)
        await asyncio.to_thread(_send, context, endpoint, copies)


@behave.then("the caller's connection under bad input lives")
def step_lives(context: runner.Context) -> None:
    _assert_lives(context)


def _assert_lives(context: runner.Context) -> None:
    answer = context.run(
        context.connection.async_request('GET', '/stock/2', {'x-echo': 'two'})
    )
    assert json.loads(answer.body)['echo'] == 'two', answer
    context.run(context.connection.async_close())


@behave.when('{count:d} mangled openings with seed {seed:d} go to a balancer')
def step_mangled_openings(
    context: runner.Context, count: int, seed: int
) -> None:
    target = context.deployment
    endpoint = target.address(BALANCER), target.entry_port('storefront')
    whole = datagrams.opening()
    _send(context, endpoint, datagrams.corrupted(whole, count, seed))


@behave.when(
    '{count:d} authentic {kind} forwards with seed {seed:d} go to an agent'
)
def step_authentic(
    context: runner.Context, count: int, kind: str, seed: int
) -> None:
    endpoint = context.deployment.address(AGENT), settings.DATA_PORT
    tag = tags.service_tag('storefront')
    packets = MAKERS[kind](count, seed)
    _send(
        context,
        endpoint,
        (datagrams.forward(packet, tag) for packet in packets),
    )


@behave.then('the agent counts {count:d} more dropped')
def step_agent_dropped(context: runner.Context, count: int) -> None:
    _assert_counted(context, [AGENT], count)


@behave.then(
    "the order under replay ran once and the caller's connection lives"
)
def step_ran_once(context: runner.Context) -> None:
    _assert_lives(context)
    target = context.deployment
    runs = sum(
        target.status(server)['runs'].get(context.key, 0)
        for server in target.servers
    )
    assert runs == 1, runs


@behave.when('{count:d} callers send an opening packet and nothing more')
def step_silent(context: runner.Context, count: int) -> None:
    target = context.deployment
    endpoint = target.service_endpoint('storefront')
    for number in range(count):
        _send_opening(target.caller_address, endpoint)
        if number % BURST == 0:
            time.sleep(BURST_PAUSE_S)


def _send_opening(address: str, endpoint: tuple[str, int]) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((address, 0))
        sock.sendto(datagrams.opening(), endpoint)


@behave.when('{count:d} callers connect and vanish without a word')
def step_vanish(context: runner.Context, count: int) -> None:
    context.run(_async_vanish(context.deployment, count))


async def _async_vanish(target: deployment.Deployment, count: int) -> None:
    for _ in range(count):
        connection = await caller.async_connect(
            target.service_endpoint('storefront'), target.ca, 'storefront'
        )
        connection.abandon()


@behave.then('at most {limit:d} connections are half open at each agent')
def step_half_open(context: runner.Context, limit: int) -> None:
    time.sleep(1.5)
    held = [_flows(context, agent) for agent in context.deployment.agents]
    assert 0 < max(held) <= limit, held


@behave.then('within {limit_s:d} seconds no agent holds a connection')
def step_none_held(context: runner.Context, limit_s: int) -> None:
    until = time.monotonic() + limit_s
    held = [1.0]
    while any(held) and time.monotonic() < until:
        time.sleep(POLL_S)
        held = [_flows(context, agent) for agent in context.deployment.agents]
    assert not any(held), held


def _flows(context: runner.Context, agent: str) -> float:
    status = context.deployment.status(agent)
    return status['metrics']['gauges'].get(GAUGE_FLOWS, 0.0)


@behave.when(
    'garbage, a huge length and badly signed frames go to control ports'
)
def step_control_garbage(context: runner.Context) -> None:
    context.codes = set()
    for name in (BALANCER, AGENT):
        address = context.deployment.address(name)
        raw_control.send_random_bytes(address, 50)
        raw_control.send_oversized_length(address, 50)
        context.codes.add(raw_control.request_with_wrong_key(address))


@behave.then('the badly signed frames are refused with {code}')
def step_control_refused(context: runner.Context, code: str) -> None:
    assert context.codes == {code}, context.codes
