"""Takes one request to the backend server and its answer back."""

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
    """What serving a request needs.

    Attributes:
        gate: Gives slots.
        feeds: Lets feeds be opened.
        carrier: Opens requests at the backend server.
        claim: Asked before a request that must not run twice.
        answering: Called with the job when the answer's head is here.
    """

    admission_control: admission.AdmissionControl
    feeds: feeds.Feeds
    client: retrying_client.RetryingClient
    claim: claims.ClaimFunction
    on_answer_started: abc.Callable[[request_context.RequestContext], None]


async def async_serve(
    asked: request_context.RequestContext, parts: Dependencies
) -> None:
    """Wait for a slot, run the request, and give the slot back.

    Raises:
        errors.RequestRefusedError: It did not run.
        errors.RequestLostError: It may have run.
        errors.AnswerBrokenError: The answer broke off; reset the stream.
    """
    ticket = parts.admission_control.make_slot_request(
        asked.client_account,
        asked.request_class.name,
        asked.deadline_at,
    )
    held = await _async_acquire(asked, parts, ticket)
    try:
        await _async_run_claimed(asked, parts, held)
    finally:
        held.release()


async def _async_acquire(
    asked: request_context.RequestContext,
    parts: Dependencies,
    ticket: waiter.SlotRequest,
) -> slot.Slot:
    if asked.request_class.holds_slot:
        return await parts.admission_control.async_acquire(ticket)
    left_s = asked.deadline_at - asked.arrived_at
    try:
        async with asyncio.timeout(left_s):
            return await parts.feeds.async_acquire(ticket)
    except TimeoutError as timeout:
        raise errors.QueueTimeoutError('not opened in time') from timeout


async def _async_run_claimed(
    asked: request_context.RequestContext,
    parts: Dependencies,
    held: slot.Slot,
) -> None:
    verdict = await _async_claim(asked, parts)
    if verdict.answer is not None:
        await answer.async_send_stored(asked.exchange, verdict.answer)
        return
    settling = claims.SettleOnce(verdict)
    try:
        await _async_run(asked, parts, held, settling)
    except errors.RequestRefusedError:
        await settling.async_settle(_NOT_RUN)
        raise
    except _MAY_HAVE_RUN:
        await settling.async_settle(_UNKNOWN)
        raise


async def _async_claim(
    asked: request_context.RequestContext, parts: Dependencies
) -> claims.Verdict:
    if asked.request_class.repeatable:
        return await claims.async_grant_unclaimed(asked.head, asked.deadline_at)
    return await parts.claim(asked.head, asked.deadline_at)


async def _async_run(
    asked: request_context.RequestContext,
    parts: Dependencies,
    held: slot.Slot,
    settling: claims.SettleOnce,
) -> None:
    response = await parts.client.async_open(asked, held.in_progress)
    try:
        parts.on_answer_started(asked)
        if not asked.request_class.holds_slot:
            held.release()
        await _async_answer(asked, response, settling)
    finally:
        # Closes the connection of an answer that has not ended.
        response.close()


async def _async_answer(
    asked: request_context.RequestContext,
    response: aiohttp.ClientResponse,
    settling: claims.SettleOnce,
) -> None:
    head = answer.head_of(response)
    copy = answer.AnswerBuffer(wanted=not asked.request_class.repeatable)
    idle_s = (
        const.BODY_IDLE_TIMEOUT_S if asked.request_class.holds_slot else None
    )
    await asked.exchange.async_send_head(response.status, head)
    end = False
    while not end:
        piece = await answer.async_read(response, idle_s)
        copy.add(piece)
        end = response.content.at_eof()
        if end:
            await settling.async_settle(
                claims.Settlement(
                    claims.SETTLED_ANSWERED,
                    copy.answer(response.status, head),
                ),
            )
        await answer.async_send_chunk(asked.exchange, piece, end)
