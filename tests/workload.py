"""Sends requests of all kinds to a service and checks the responses."""

import asyncio
import json
import time
import typing
import uuid

from tests import deployment
from tests.standins import caller, caller_exchange
from tests.standins import caller_errors as errors

CLIENT_ACCOUNT = {'x-client-account': 'guild'}
PULL_BYTES = 250_000
FEED_LINES = 2
ANSWER_TIMEOUT_S = 15.0
MAX_SHOWN_BYTES = 200
RECEIPT_FIELDS = {'key', 'run', 'server'}


class Outcome(typing.NamedTuple):
    """Outcome of one request.

    Attributes:
        service: Name of the called service.
        kind: order, pull, feed or small.
        result: HTTP status, or the error's type.
        is_correct: Whether the response was complete and correct.
        duration_s: Seconds from sending to the end of the response.
        server: Backend server named in the response, if any.
    """

    service: str
    kind: str
    result: str
    is_correct: bool
    duration_s: float
    server: str = ''


async def async_order(connection: caller.Connection, service: str) -> Outcome:
    """Send an order with a new idempotency key and check its receipt."""
    key = uuid.uuid4().hex
    headers = {**CLIENT_ACCOUNT, 'idempotency-key': key}
    answer = await connection.async_request(
        'POST', '/orders', headers, b'{"item": "cups"}', ANSWER_TIMEOUT_S
    )
    if answer.status != 200:
        return _outcome(service, 'order', answer, is_correct=False)
    receipt = json.loads(answer.body)
    is_correct = (receipt['key'], receipt['run']) == (key, 1)
    return _outcome(
        service, 'order', answer, receipt['server'], is_correct=is_correct
    )


async def async_small(connection: caller.Connection, service: str) -> Outcome:
    """Request a small response and check that it echoes the request."""
    echo = uuid.uuid4().hex
    headers = {**CLIENT_ACCOUNT, 'x-echo': echo}
    answer = await connection.async_request(
        'GET', f'/stock/{echo}', headers, b'', ANSWER_TIMEOUT_S
    )
    if answer.status != 200:
        return _outcome(service, 'small', answer, is_correct=False)
    content = json.loads(answer.body)
    is_correct = (content['service'], content['echo']) == (service, echo)
    return _outcome(
        service, 'small', answer, content['server'], is_correct=is_correct
    )


async def async_pull(connection: caller.Connection, service: str) -> Outcome:
    """Pull a body; the caller verifies its checksum."""
    name = uuid.uuid4().hex
    answer = await connection.async_pull(
        name, PULL_BYTES, CLIENT_ACCOUNT, ANSWER_TIMEOUT_S
    )
    return _outcome(service, 'pull', answer, is_correct=answer.status == 200)


async def async_feed(connection: caller.Connection, service: str) -> Outcome:
    """Read the first lines of a feed, then cancel it."""
    exchange = connection.start('GET', '/feed', CLIENT_ACCOUNT)
    status = await exchange.async_headers(ANSWER_TIMEOUT_S)
    lines: list[str] = []
    if status == 200:
        async for line in exchange.async_lines(ANSWER_TIMEOUT_S):
            lines.append(line)
            if len(lines) == FEED_LINES:
                break
    exchange.cancel()
    numbers = [int(line.split()[1]) for line in lines]
    server = lines[0].split()[0] if lines else ''
    seconds = time.monotonic() - exchange.started
    answer = caller_exchange.Response(status, {}, b'', seconds, seconds)
    is_correct = numbers == list(range(FEED_LINES))
    return _outcome(service, 'feed', answer, server, is_correct=is_correct)


KINDS = {
    'order': async_order,
    'small': async_small,
    'pull': async_pull,
    'feed': async_feed,
}


async def async_call(
    target: deployment.Deployment, service: str, kinds: tuple[str, ...]
) -> list[Outcome]:
    """Send requests one after another over one connection."""
    try:
        connection = await caller.async_connect(
            target.service_endpoint(service),
            target.ca,
            service,
            local=(target.caller_address, 0),
        )
    except errors.CallerError as error:
        result = type(error).__name__
        return [Outcome(service, kind, result, False, 0.0) for kind in kinds]
    try:
        return [await _async_send(connection, service, kind) for kind in kinds]
    finally:
        await connection.async_close()


async def async_call_all(
    target: deployment.Deployment, connections: int, kinds: tuple[str, ...]
) -> list[Outcome]:
    """Call each service of a deployment over several connections."""
    calls = [
        async_call(target, service, _rotated(kinds, number))
        for service in target.plan.service_names
        for number in range(connections)
    ]
    return [
        outcome for batch in await asyncio.gather(*calls) for outcome in batch
    ]


def _rotated(kinds: tuple[str, ...], number: int) -> tuple[str, ...]:
    start = number % len(kinds)
    return kinds[start:] + kinds[:start]


async def _async_send(
    connection: caller.Connection, service: str, kind: str
) -> Outcome:
    try:
        return await KINDS[kind](connection, service)
    except errors.CallerError as error:
        return Outcome(service, kind, repr(error), False, 0.0)


def _outcome(
    service: str,
    kind: str,
    answer: caller_exchange.Response,
    server: str = '',
    *,
    is_correct: bool,
) -> Outcome:
    result = str(answer.status)
    if answer.status != 200:
        result = f'{result} {answer.body[:MAX_SHOWN_BYTES].decode()}'
    return Outcome(service, kind, result, is_correct, answer.seconds, server)
