"""Forwards a request to the backend server and its answer to the caller."""

import asyncio
import typing
from collections import abc

import aiohttp

from kumquatport.connection.quic import stream
from kumquatport.request import claims, errors
from kumquatport.request.admission import admission, feeds, slot
from kumquatport.request.proxy import (
    answer,
    const,
    request_context,
    retrying_client,
)
from kumquatport.request.queue import waiter

_NOT_RUN = claims.Settlement(claims.SETTLED_NOT_RUN, None)
_UNKNOWN = claims.Settlement(claims.SETTLED_UNKNOWN, None)
_MAY_HAVE_RUN = (
    errors.RequestLostError,
    asyncio.CancelledError,
    stream.StreamClosedError,
)


class Dependencies(typing.NamedTuple):
    """Dependencies for serving a request.

    Attributes:
        admission_control: Grants slots.
        feeds: Limits the opening of feeds.
        client: Sends requests to the backend server.
        claim: Awaited before a request that must not run twice is sent.
        on_answer_started: Called when the head of the answer has arrived.
    """

    admission_control: admission.AdmissionControl
    feeds: feeds.Feeds
    client: retrying_client.RetryingClient
    claim: claims.ClaimFunction
    on_answer_started: abc.Callable[[request_context.RequestContext], None]


async def async_serve(
    context: request_context.RequestContext, dependencies: Dependencies
) -> None:
    """Wait for a slot, run the request and release the slot.

    Raises:
        errors.RequestRefusedError: The request did not run.
        errors.RequestLostError: The request may have run.
        errors.AnswerBrokenError: The answer was cut off after its head had
            been sent; the caller's stream must be reset.
    """
    slot_request = dependencies.admission_control.make_slot_request(
        context.client_account,
        context.request_class.name,
        context.deadline_at,
    )
    held_slot = await _async_acquire(context, dependencies, slot_request)
    try:
        await _async_run_claimed(context, dependencies, held_slot)
    finally:
        held_slot.release()


async def _async_acquire(
    context: request_context.RequestContext,
    dependencies: Dependencies,
    slot_request: waiter.SlotRequest,
) -> slot.Slot:
    if context.request_class.holds_slot:
        return await dependencies.admission_control.async_acquire(slot_request)
    left_s = context.deadline_at - context.arrived_at
    try:
        async with asyncio.timeout(left_s):
            return await dependencies.feeds.async_acquire(slot_request)
    except TimeoutError as timeout:
        raise errors.QueueTimeoutError(
            'the feed was not opened before the deadline'
        ) from timeout


async def _async_run_claimed(
    context: request_context.RequestContext,
    dependencies: Dependencies,
    held_slot: slot.Slot,
) -> None:
    verdict = await _async_claim(context, dependencies)
    if verdict.answer is not None:
        await answer.async_send_stored(context.exchange, verdict.answer)
        return
    settlement = claims.SettleOnce(verdict)
    try:
        await _async_run(context, dependencies, held_slot, settlement)
    except errors.RequestRefusedError:
        await settlement.async_settle(_NOT_RUN)
        raise
    except _MAY_HAVE_RUN:
        await settlement.async_settle(_UNKNOWN)
        raise


async def _async_claim(
    context: request_context.RequestContext, dependencies: Dependencies
) -> claims.Verdict:
    if context.request_class.repeatable:
        return await claims.async_grant_unclaimed(
            context.head, context.deadline_at
        )
    return await dependencies.claim(context.head, context.deadline_at)


async def _async_run(
    context: request_context.RequestContext,
    dependencies: Dependencies,
    held_slot: slot.Slot,
    settlement: claims.SettleOnce,
) -> None:
    response = await dependencies.client.async_open(
        context, held_slot.in_progress
    )
    try:
        dependencies.on_answer_started(context)
        if not context.request_class.holds_slot:
            held_slot.release()
        await _async_answer(context, response, settlement)
    finally:
        # Closes the connection if the answer has not ended.
        response.close()


async def _async_answer(
    context: request_context.RequestContext,
    response: aiohttp.ClientResponse,
    settlement: claims.SettleOnce,
) -> None:
    head = answer.head_of(response)
    buffer = answer.AnswerBuffer(wanted=not context.request_class.repeatable)
    idle_s = (
        const.BODY_IDLE_TIMEOUT_S if context.request_class.holds_slot else None
    )
    await context.exchange.async_send_head(response.status, head)
    is_end = False
    while not is_end:
        chunk = await answer.async_read(response, idle_s)
        buffer.add(chunk)
        is_end = response.content.at_eof()
        if is_end:
            await settlement.async_settle(
                claims.Settlement(
                    claims.SETTLED_ANSWERED,
                    buffer.answer(response.status, head),
                ),
            )
        await answer.async_send_chunk(context.exchange, chunk, is_end)
