"""Sends the error response of a request that failed before its answer."""

import math

from kumquatport.request import const, errors, messages


def outcome_of(error: errors.RequestError) -> str:
    """Return ``not-run`` or ``unknown``."""
    if isinstance(error, errors.RequestRefusedError):
        return const.OUTCOME_NOT_RUN
    return const.OUTCOME_UNKNOWN


def headers_of(error: errors.RequestError) -> messages.Headers:
    """Return the response headers: outcome, error code and when to retry."""
    return (
        (const.HEADER_OUTCOME, outcome_of(error)),
        (const.HEADER_CODE, error.code),
        (const.HEADER_RETRY_AFTER, str(math.ceil(error.retry_after_s))),
        ('content-type', 'text/plain; charset=utf-8'),
    )


async def async_send(
    exchange: messages.Exchange,
    error: errors.RequestError,
) -> None:
    """Answer the request with the error."""
    await exchange.async_send_head(error.status, headers_of(error))
    text = f'{error.code} {outcome_of(error)}: {error}\n'
    await exchange.async_send_body(text.encode(), True)
