"""The body of one request, as it arrives on its stream."""

import asyncio

from kumquatport import exceptions


class StreamClosedError(exceptions.KumquatportError):
    """The caller has gone or cancelled; nothing more can be sent."""

    code = 'KQ-5101'


class BodyTooLargeError(exceptions.KumquatportError):
    """A request body is larger than an agent takes."""

    code = 'KQ-5102'


class Inbox:
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
