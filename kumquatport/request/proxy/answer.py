"""Carries an answer to the caller, piece by piece."""

import asyncio

import aiohttp

from kumquatport.request import claims, errors, messages
from kumquatport.request.proxy import const, headers


class AnswerBuffer:
    """A copy of an answer's body while it is small."""

    def __init__(self, wanted: bool) -> None:
        """Keep nothing yet, and nothing at all unless wanted."""
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_kept = wanted

    def add(self, piece: bytes) -> None:
        """Take a piece, or give up once it grows too large."""
        self._size += len(piece)
        if self._size > const.MAX_STORED_ANSWER_BYTES:
            self._is_kept = False
            self._chunks.clear()
        if self._is_kept:
            self._chunks.append(piece)

    def answer(
        self,
        status: int,
        kept_headers: messages.Headers,
    ) -> claims.Answer | None:
        """Return the whole answer, None if it wasn't kept."""
        if not self._is_kept:
            return None
        return claims.Answer(status, kept_headers, b''.join(self._chunks))


async def async_read(
    response: aiohttp.ClientResponse,
    idle_s: float | None,
) -> bytes:
    """Read the next piece of an answer, empty at its end.

    Args:
        response: The answer.
        idle_s: Longest silence, None to wait for ever.

    Raises:
        errors.AnswerBrokenError: The answer broke off or fell silent.
    """
    try:
        async with asyncio.timeout(idle_s):
            return await response.content.readany()
    except (aiohttp.ClientError, OSError) as fault:
        raise errors.AnswerBrokenError('the answer broke off') from fault


async def async_send_chunk(
    exchange: messages.Exchange,
    piece: bytes,
    end: bool,
) -> None:
    """Send a piece, and give up on a caller that takes nothing more.

    Raises:
        errors.AnswerBrokenError: The caller stopped reading.
    """
    try:
        async with asyncio.timeout(const.CALLER_WRITE_TIMEOUT_S):
            await exchange.async_send_body(piece, end)
    except TimeoutError as timeout:
        raise errors.AnswerBrokenError('the caller is stalled') from timeout


async def async_send_stored(
    exchange: messages.Exchange,
    answer: claims.Answer,
) -> None:
    """Send an answer that was kept from an earlier run."""
    await exchange.async_send_head(answer.status, answer.headers)
    await async_send_chunk(exchange, answer.body, end=True)


def head_of(response: aiohttp.ClientResponse) -> messages.Headers:
    """Return the answer's headers for the caller."""
    return headers.to_caller(response.headers.items())
