"""Checks and classifies requests on arrival."""

import asyncio

from kumquatport.connection.quic import stream
from kumquatport.request import deadline, errors, messages, policy
from kumquatport.request.proxy import body, headers, request_context


def build_context(
    current: policy.Policy | None,
    head: messages.RequestHead,
    exchange: messages.Exchange,
    now: float,
) -> request_context.RequestContext:
    """Validate a head and find its class, client account and deadline.

    Args:
        current: Policy of the current document, None before the first.
        head: Head of the request.
        exchange: The exchange with the caller.
        now: Time on the handler's clock, in seconds.

    Raises:
        errors.NotConfiguredError: No document has been received yet.
        errors.HeadersTooLargeError: The head exceeds its size limits.
        errors.RequestMalformedError: The head can't be sent over HTTP/1.1.
    """
    if current is None:
        raise errors.NotConfiguredError('no document contains this service yet')
    headers.validate(head)
    request_class = policy.classify(current, head)
    return request_context.RequestContext(
        head=head,
        exchange=exchange,
        body=body.RequestBody(exchange),
        request_class=request_class,
        client_account=policy.client_account_of(current, head.headers),
        service=current.service,
        deadline_at=deadline.of_request(head, request_class, now),
        arrived_at=now,
    )


async def async_prefetch(context: request_context.RequestContext) -> None:
    """Read the body ahead, so that a slow upload holds no slot.

    Raises:
        errors.DeadlineUnmeetableError: The body did not arrive in time.
        errors.BodyTooLargeError: The body exceeds its size limit.
    """
    try:
        async with asyncio.timeout(context.deadline_at - context.arrived_at):
            await context.body.async_prefetch()
    except TimeoutError as timeout:
        raise errors.DeadlineUnmeetableError(
            'the request body did not arrive before the deadline',
        ) from timeout
    except stream.BodyTooLargeError as large:
        raise errors.BodyTooLargeError(str(large)) from large
