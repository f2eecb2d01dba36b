"""One request's stream of a connection, as the request handler sees it."""

import asyncio
import typing
from collections import abc

from kumquatport import exceptions

Headers = tuple[tuple[str, str], ...]


class StreamClosedError(exceptions.KumquatportError):
    """The caller has gone or cancelled; nothing more can be sent."""

    code = 'KQ-5101'


class BodyTooLargeError(exceptions.KumquatportError):
    """A request body is larger than an agent takes."""

    code = 'KQ-5102'


class RequestHead(typing.NamedTuple):
    """The head of a request.

    Attributes:
        method: HTTP method.
        path: Path with query.
        authority: Host the caller addressed.
        headers: Other header fields, names in lower case.
        connection: Number unique to the caller's connection in this agent.
    """

    method: str
    path: str
    authority: str
    headers: Headers
    connection: int


class Exchange(typing.NamedTuple):
    """What a request handler may do with the caller's stream.

    Attributes:
        async_read_body: Returns the next part of the body, empty at its end.
        async_send_head: Sends status and header fields.
        async_send_body: Sends a part of the body; waits while the caller
            takes it slower than it comes. The flag ends the answer.
        reset: Ends the stream at once with an HTTP/3 error code, so that the
            caller never takes a broken answer for a whole one.
        cancelled: Set when the caller has gone or cancelled.
    """

    async_read_body: abc.Callable[[], abc.Awaitable[bytes]]
    async_send_head: abc.Callable[[int, Headers], abc.Awaitable[None]]
    async_send_body: abc.Callable[[bytes, bool], abc.Awaitable[None]]
    reset: abc.Callable[[int], None]
    cancelled: asyncio.Event


class BodyBuffer:
    """Body parts of one request that have arrived and are not read yet."""

    def __init__(self, limit: int) -> None:
        """Start empty.

        Args:
            limit: Largest body that is taken, in bytes.
        """
        self.cancelled = asyncio.Event()
        self._limit = limit
        self._total = 0
        self._parts: list[bytes] = []
        self._ended = False
        self._changed = asyncio.Event()

    def feed(self, part: bytes, *, end: bool) -> None:
        """Take a part that has arrived; ``end`` marks the last one."""
        self._total += len(part)
        if part and self._total <= self._limit:
            self._parts.append(part)
        self._ended = self._ended or end
        self._changed.set()

    def cancel(self) -> None:
        """Note that the caller has gone or cancelled."""
        self.cancelled.set()
        self._changed.set()

    async def async_read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises:
            BodyTooLargeError: The body is over the limit.
            StreamClosedError: The caller has gone before the end.
        """
        while True:
            if self._total > self._limit:
                raise BodyTooLargeError(f'over {self._limit} bytes')
            if self._parts:
                return self._parts.pop(0)
            if self._ended:
                return b''
            if self.cancelled.is_set():
                raise StreamClosedError('the caller has gone')
            self._changed.clear()
            await self._changed.wait()
