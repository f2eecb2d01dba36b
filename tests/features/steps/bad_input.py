"""Steps that send invalid input to balancers, agents and control ports."""

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
WRONG_SHARED_KEY = '77' * 32
BURST_DATAGRAMS = 50
BURST_PAUSE_S = 0.01
COUNT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1
GAUGE_OPEN_FLOWS = 'flows.open'
DROP_COUNTER_PREFIXES = (
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


def _count_new_drops(
    context: runner.Context,
    names: abc.Iterable[str],
    prefixes: tuple[str, ...] = DROP_COUNTER_PREFIXES,
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
    payloads: abc.Iterable[bytes],
) -> None:
    instances = (*context.deployment.balancers, *context.deployment.agents)
    context.before = {name: _counters(context, name) for name in instances}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((context.deployment.caller_address, 0))
        for number, payload in enumerate(payloads):
            sock.sendto(payload, endpoint)
            if number % BURST_DATAGRAMS == 0:
                time.sleep(BURST_PAUSE_S)


def _assert_new_drops(
    context: runner.Context,
    names: abc.Sequence[str],
    count: int,
    prefixes: tuple[str, ...] = DROP_COUNTER_PREFIXES,
) -> None:
    deadline = time.monotonic() + COUNT_TIMEOUT_S
    new_drops = -1
    while new_drops != count and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        new_drops = _count_new_drops(context, names, prefixes)
    counters = {name: dict(_counters(context, name)) for name in names}
    assert new_drops == count, f'{new_drops} counted: {counters}'


def _with_wrong_key(count: int, seed: int) -> abc.Iterator[bytes]:
    opening_packet = datagrams.opening()
    tag = tags.service_tag('storefront')
    for _ in range(count):
        yield datagrams.forward(opening_packet, tag, WRONG_SHARED_KEY)


def _with_unknown_service(count: int, seed: int) -> abc.Iterator[bytes]:
    opening_packet = datagrams.opening()
    tag = tags.service_tag('no-such-service')
    for _ in range(count):
        yield datagrams.forward(opening_packet, tag)


DATAGRAM_BUILDERS = {
    'truncated': datagrams.truncated,
    'oversized': datagrams.oversized,
    'random': datagrams.random_bytes,
    'forged': _with_wrong_key,
    'misplaced': _with_unknown_service,
}


@behave.given(
    'a deployment for invalid input with {first:d} storefront '
    'and {second:d} manuals servers'
)
def step_deployment(context: runner.Context, first: int, second: int) -> None:
    plan = deployment.accra(first, second, 2)
    if plan not in context.shared:
        system = deployment.Deployment(plan)
        context.shared[plan] = system
        system.start()
    context.deployment = context.shared[plan]


@behave.when(
    '{count:d} {kind} datagrams with seed {seed:d} are sent to a balancer'
)
def step_send_to_balancer(
    context: runner.Context, count: int, kind: str, seed: int
) -> None:
    system = context.deployment
    endpoint = system.address(BALANCER), system.entry_port('storefront')
    _send(context, endpoint, DATAGRAM_BUILDERS[kind](count, seed))


@behave.when(
    '{count:d} {kind} datagrams with seed {seed:d} are sent to an agent'
)
def step_send_to_agent(
    context: runner.Context, count: int, kind: str, seed: int
) -> None:
    endpoint = context.deployment.address(AGENT), settings.DATA_PORT
    _send(context, endpoint, DATAGRAM_BUILDERS[kind](count, seed))


@behave.then('the balancer counts {count:d} more dropped datagrams')
def step_balancer_dropped(context: runner.Context, count: int) -> None:
    _assert_new_drops(context, [BALANCER], count)


@behave.then('the balancer counts {count:d} more datagrams dropped as {reason}')
def step_balancer_dropped_as(
    context: runner.Context, count: int, reason: str
) -> None:
    _assert_new_drops(context, [BALANCER], count, (f'dropped.{reason}',))


@behave.then(
    'the balancer and the agents count {count:d} more dropped datagrams'
)
def step_all_dropped(context: runner.Context, count: int) -> None:
    _assert_new_drops(context, [BALANCER, *context.deployment.agents], count)


@behave.then('the agent counts {count:d} more refused forwards')
def step_agent_refused(context: runner.Context, count: int) -> None:
    _assert_new_drops(context, [AGENT], count, ('forward_refused.',))


@behave.then('callers receive correct answers despite the invalid input')
def step_correct_answers(context: runner.Context) -> None:
    outcomes = context.run(
        workload.async_call_all(
            context.deployment, 2, ('small', 'order', 'feed')
        )
    )
    incorrect = [outcome for outcome in outcomes if not outcome.is_correct]
    assert not incorrect, incorrect


@behave.when(
    'packets of an open storefront flow are sent to the manuals entry port '
    '{count:d} times'
)
def step_send_to_wrong_entry_port(context: runner.Context, count: int) -> None:
    context.run(_async_send_to_wrong_entry_port(context, count))


async def _async_send_to_wrong_entry_port(
    context: runner.Context, count: int
) -> None:
    system = context.deployment
    connection = await _async_connect_recording(system)
    packet = connection.sent[-1]
    assert not packet[0] & caller.LONG_HEADER_BIT
    endpoint = system.address(BALANCER), system.entry_port('manuals')
    await asyncio.to_thread(_send, context, endpoint, [packet] * count)
    await connection.async_close()


async def _async_connect_recording(
    system: deployment.Deployment,
) -> caller.Connection:
    connection = await caller.async_connect(
        system.service_endpoint('storefront'),
        system.ca,
        'storefront',
        local=(system.caller_address, 0),
        recording=True,
    )
    await connection.async_request('GET', '/stock/1')
    return connection


@behave.then('no backend server received a request for another service')
def step_no_wrong_service(context: runner.Context) -> None:
    system = context.deployment
    counts = [system.status(server) for server in system.servers]
    assert not sum(count['wrong_service'] for count in counts), counts


@behave.when(
    'a caller orders once and all its datagrams are replayed {times:d} times'
)
def step_replay(context: runner.Context, times: int) -> None:
    context.run(_async_replay_datagrams(context, times))


async def _async_replay_datagrams(context: runner.Context, times: int) -> None:
    system = context.deployment
    context.connection = await _async_connect_recording(system)
    context.key = uuid.uuid4().hex
    answer = await context.connection.async_request(
        'POST', '/orders', {'idempotency-key': context.key}, b'{}'
    )
    assert answer.status == 200, answer
    replayed = list(context.connection.sent) * times
    endpoint = system.service_endpoint('storefront')
    for packet in replayed:
        context.connection.transport.sendto(packet, endpoint)
        await asyncio.sleep(0)
    await asyncio.to_thread(_send, context, endpoint, replayed)


@behave.when(
    "{count:d} corrupted copies of an open flow's packets are sent "
    'with seed {seed:d}'
)
def step_corrupted_copies(
    context: runner.Context, count: int, seed: int
) -> None:
    context.run(_async_send_corrupted_copies(context, count, seed))


async def _async_send_corrupted_copies(
    context: runner.Context, count: int, seed: int
) -> None:
    system = context.deployment
    context.connection = await _async_connect_recording(system)
    short_header_packets = [
        packet
        for packet in context.connection.sent
        if not packet[0] & caller.LONG_HEADER_BIT
    ]
    endpoint = system.service_endpoint('storefront')
    # An intact connection ID routes each copy to the agent of the flow.
    intact_bytes = 1 + id_const.CONNECTION_ID_BYTES
    for number, packet in enumerate(short_header_packets):
        copies_per_packet = count // len(short_header_packets)
        copies = list(
            datagrams.corrupted(
                packet, copies_per_packet, seed + number, intact_bytes
            )
        )
        for copy in copies:
            context.connection.transport.sendto(copy, endpoint)
            await asyncio.sleep(0)
        await asyncio.to_thread(_send, context, endpoint, copies)


@behave.then("the caller's connection still works despite the invalid input")
def step_connection_works(context: runner.Context) -> None:
    _assert_connection_works(context)


def _assert_connection_works(context: runner.Context) -> None:
    answer = context.run(
        context.connection.async_request('GET', '/stock/2', {'x-echo': 'two'})
    )
    assert json.loads(answer.body)['echo'] == 'two', answer
    context.run(context.connection.async_close())


@behave.when(
    '{count:d} corrupted Initial packets with seed {seed:d} '
    'are sent to a balancer'
)
def step_corrupted_initials(
    context: runner.Context, count: int, seed: int
) -> None:
    system = context.deployment
    endpoint = system.address(BALANCER), system.entry_port('storefront')
    opening_packet = datagrams.opening()
    _send(context, endpoint, datagrams.corrupted(opening_packet, count, seed))


@behave.when(
    '{count:d} authenticated forwards of {kind} packets with seed {seed:d} '
    'are sent to an agent'
)
def step_authenticated_forwards(
    context: runner.Context, count: int, kind: str, seed: int
) -> None:
    endpoint = context.deployment.address(AGENT), settings.DATA_PORT
    tag = tags.service_tag('storefront')
    packets = DATAGRAM_BUILDERS[kind](count, seed)
    _send(
        context,
        endpoint,
        (datagrams.forward(packet, tag) for packet in packets),
    )


@behave.then('the agent counts {count:d} more dropped datagrams')
def step_agent_dropped(context: runner.Context, count: int) -> None:
    _assert_new_drops(context, [AGENT], count)


@behave.then(
    "the replayed order ran once and the caller's connection still works"
)
def step_ran_once(context: runner.Context) -> None:
    _assert_connection_works(context)
    system = context.deployment
    runs = sum(
        system.status(server)['runs'].get(context.key, 0)
        for server in system.servers
    )
    assert runs == 1, runs


@behave.when('{count:d} callers send only an Initial packet')
def step_initial_only(context: runner.Context, count: int) -> None:
    system = context.deployment
    endpoint = system.service_endpoint('storefront')
    for number in range(count):
        _send_initial(system.caller_address, endpoint)
        if number % BURST_DATAGRAMS == 0:
            time.sleep(BURST_PAUSE_S)


def _send_initial(address: str, endpoint: tuple[str, int]) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((address, 0))
        sock.sendto(datagrams.opening(), endpoint)


@behave.when(
    '{count:d} callers connect and abandon the connection without closing it'
)
def step_abandon(context: runner.Context, count: int) -> None:
    context.run(_async_abandon_connections(context.deployment, count))


async def _async_abandon_connections(
    system: deployment.Deployment, count: int
) -> None:
    for _ in range(count):
        connection = await caller.async_connect(
            system.service_endpoint('storefront'), system.ca, 'storefront'
        )
        connection.abandon()


@behave.then('each agent has at most {limit:d} half-open connections')
def step_half_open_limit(context: runner.Context, limit: int) -> None:
    time.sleep(1.5)
    open_flows = [
        _open_flows(context, agent) for agent in context.deployment.agents
    ]
    assert 0 < max(open_flows) <= limit, open_flows


@behave.then('within {limit_s:d} seconds no agent has an open connection')
def step_no_open_connection(context: runner.Context, limit_s: int) -> None:
    deadline = time.monotonic() + limit_s
    open_flows = [1.0]
    while any(open_flows) and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        open_flows = [
            _open_flows(context, agent) for agent in context.deployment.agents
        ]
    assert not any(open_flows), open_flows


def _open_flows(context: runner.Context, agent: str) -> float:
    status = context.deployment.status(agent)
    return status['metrics']['gauges'].get(GAUGE_OPEN_FLOWS, 0.0)


@behave.when(
    'random bytes, oversized lengths and frames with a wrong MAC '
    'are sent to control ports'
)
def step_invalid_control_data(context: runner.Context) -> None:
    context.error_codes = set()
    for name in (BALANCER, AGENT):
        address = context.deployment.address(name)
        raw_control.send_random_bytes(address, 50)
        raw_control.send_oversized_length(address, 50)
        context.error_codes.add(raw_control.request_with_wrong_mac(address))


@behave.then('the frames with a wrong MAC are refused with {code}')
def step_control_refused(context: runner.Context, code: str) -> None:
    assert context.error_codes == {code}, context.error_codes
