"""Streams an answer to the caller in chunks."""

import asyncio

import aiohttp

from kumquatport.request import claims, errors, messages
from kumquatport.request.proxy import const, headers


class AnswerBuffer:
    """Buffers the body of an answer up to a maximum size."""

    def __init__(self, wanted: bool) -> None:
        """Start with an empty buffer that stays empty unless wanted."""
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_kept = wanted

    def add(self, chunk: bytes) -> None:
        """Add a chunk; drop the buffer once it grows too large."""
        self._size += len(chunk)
        if self._size > const.MAX_STORED_ANSWER_BYTES:
            self._is_kept = False
            self._chunks.clear()
        if self._is_kept:
            self._chunks.append(chunk)

    def answer(
        self,
        status: int,
        answer_headers: messages.Headers,
    ) -> claims.Answer | None:
        """Return the complete answer, None if it wasn't kept."""
        if not self._is_kept:
            return None
        return claims.Answer(status, answer_headers, b''.join(self._chunks))


async def async_read(
    response: aiohttp.ClientResponse,
    idle_s: float | None,
) -> bytes:
    """Read the next chunk of an answer, empty at its end.

    Args:
        response: The answer.
        idle_s: Idle timeout in seconds, None to wait without limit.

    Raises:
        errors.AnswerBrokenError: The answer was cut off or timed out.
    """
    try:
        async with asyncio.timeout(idle_s):
            return await response.content.readany()
    except (aiohttp.ClientError, OSError) as fault:
        raise errors.AnswerBrokenError('the answer was cut off') from fault


async def async_send_chunk(
    exchange: messages.Exchange,
    chunk: bytes,
    is_end: bool,
) -> None:
    """Send a chunk, and give up on a caller that has stopped reading.

    Raises:
        errors.AnswerBrokenError: The caller did not read the chunk within
            ``CALLER_WRITE_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(const.CALLER_WRITE_TIMEOUT_S):
            await exchange.async_send_body(chunk, is_end)
    except TimeoutError as timeout:
        raise errors.AnswerBrokenError(
            'the caller stopped reading the answer'
        ) from timeout


async def async_send_stored(
    exchange: messages.Exchange,
    answer: claims.Answer,
) -> None:
    """Send the stored answer of an earlier run."""
    await exchange.async_send_head(answer.status, answer.headers)
    await async_send_chunk(exchange, answer.body, is_end=True)


def head_of(response: aiohttp.ClientResponse) -> messages.Headers:
    """Return the headers of an answer for the caller."""
    return headers.to_caller(response.headers.items())
