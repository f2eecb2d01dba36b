"""Interface between a request's stream and its handler."""

import asyncio
import typing
from collections import abc

from kumquatport import exceptions

Headers = tuple[tuple[str, str], ...]


class StreamClosedError(exceptions.KumquatportError):
    """The caller has disconnected or cancelled; nothing more can be sent."""

    code = 'KQ-5101'


class BodyTooLargeError(exceptions.KumquatportError):
    """A request body exceeds the limit of the agent."""

    code = 'KQ-5102'


class RequestHead(typing.NamedTuple):
    """Header section of a request.

    Attributes:
        method: HTTP method.
        path: Path with query.
        authority: Host and port that the caller addressed.
        headers: Other header fields, names in lower case.
        connection: Number of the caller's connection, unique in this agent.
    """

    method: str
    path: str
    authority: str
    headers: Headers
    connection: int


class Exchange(typing.NamedTuple):
    """Operations of a request handler on the caller's stream.

    Attributes:
        async_read_body: Returns the next part of the request body, empty at its
            end.
        async_send_head: Sends the status and header fields.
        async_send_body: Sends a part of the response body; waits while the send
            buffer is full. The flag marks the last part.
        reset: Resets the stream with an HTTP/3 error code, so that the caller
            never mistakes an incomplete response for a complete one.
        cancelled: Set when the caller has disconnected or cancelled.
    """

    async_read_body: abc.Callable[[], abc.Awaitable[bytes]]
    async_send_head: abc.Callable[[int, Headers], abc.Awaitable[None]]
    async_send_body: abc.Callable[[bytes, bool], abc.Awaitable[None]]
    reset: abc.Callable[[int], None]
    cancelled: asyncio.Event


class BodyBuffer:
    """Received parts of a request body that have not been read yet.

    Attributes:
        cancelled: Set when the caller has disconnected or cancelled.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty buffer.

        Args:
            limit: Maximum size of the body in bytes.
        """
        self.cancelled = asyncio.Event()
        self._limit = limit
        self._total = 0
        self._parts: list[bytes] = []
        self._ended = False
        self._changed = asyncio.Event()

    def feed(self, part: bytes, *, end: bool) -> None:
        """Add a received part; ``end`` marks the last one.

        Data over the limit is discarded, and ``async_read`` raises.
        """
        self._total += len(part)
        if part and self._total <= self._limit:
            self._parts.append(part)
        self._ended = self._ended or end
        self._changed.set()

    def cancel(self) -> None:
        """Mark the request as cancelled and wake a waiting reader."""
        self.cancelled.set()
        self._changed.set()

    async def async_read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises:
            BodyTooLargeError: The body exceeds the limit.
            StreamClosedError: The caller disconnected or cancelled before the
                end.
        """
        while True:
            if self._total > self._limit:
                raise BodyTooLargeError(f'over {self._limit} bytes')
            if self._parts:
                return self._parts.pop(0)
            if self._ended:
                return b''
            if self.cancelled.is_set():
                raise StreamClosedError('the caller has disconnected')
            self._changed.clear()
            await self._changed.wait()
