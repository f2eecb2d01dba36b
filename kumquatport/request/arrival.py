"""What is decided of a request at its arrival."""

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
    """Check a head and find its class, client account and deadline.

    Args:
        current: Of the current document, None before the first.
        head: What is asked for.
        exchange: The way back to the caller.
        now: On the handler's clock.

    Raises:
        errors.NotConfiguredError: No document has come yet.
        errors.HeadersTooLargeError: Over the limits on the head.
        errors.RequestMalformedError: The head can't be carried over HTTP/1.1.
    """
    if current is None:
        raise errors.NotConfiguredError('no document names this service')
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


async def async_prefetch(asked: request_context.RequestContext) -> None:
    """Read the body ahead, so that a slow caller holds no slot.

    Raises:
        errors.DeadlineUnmeetableError: It did not arrive in time.
        errors.BodyTooLargeError: It is over the limit.
    """
    try:
        async with asyncio.timeout(asked.deadline_at - asked.arrived_at):
            await asked.body.async_prefetch()
    except TimeoutError as timeout:
        raise errors.DeadlineUnmeetableError(
            'the request did not arrive whole in time',
        ) from timeout
    except stream.BodyTooLargeError as large:
        raise errors.BodyTooLargeError(str(large)) from large
