"""One request of the HTTP/3 client and its response."""

import asyncio
import time
import typing
from collections import abc

from aioquic.h3 import events as h3_events

from tests.standins import caller_errors as errors

ANSWER_TIMEOUT_S = 30.0


class Response(typing.NamedTuple):
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Header fields by lower-case name.
        body: Bytes of the body.
        first_s: Seconds from sending to the header fields.
        seconds: Seconds from sending to the end of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    first_s: float
    seconds: float


class Exchange:
    """A request on its stream and the response as it arrives."""

    def __init__(
        self, stream_id: int, cancel: abc.Callable[[int], None]
    ) -> None:
        self.stream_id = stream_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.started = time.monotonic()
        self._cancel = cancel
        self._events: asyncio.Queue[h3_events.H3Event | Exception] = (
            asyncio.Queue()
        )
        self._ended = False

    def deliver(self, event: h3_events.H3Event | Exception) -> None:
        """Queue an event of this stream, or the error that ended it."""
        self._events.put_nowait(event)

    async def async_headers(self, timeout_s: float = ANSWER_TIMEOUT_S) -> int:
        """Wait for the header fields; return the status."""
        while not self.status:
            event = await self._async_next(timeout_s)
            if isinstance(event, h3_events.HeadersReceived):
                self._store_headers(event)
        return self.status

    async def async_chunks(
        self, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> abc.AsyncIterator[bytes]:
        """Yield chunks of the body; ``timeout_s`` applies to each."""
        await self.async_headers(timeout_s)
        while not self._ended:
            event = await self._async_next(timeout_s)
            if isinstance(event, h3_events.DataReceived):
                self._ended = event.stream_ended
                if event.data:
                    yield event.data
            elif isinstance(event, h3_events.HeadersReceived):
                self._ended = event.stream_ended

    async def async_lines(
        self, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> abc.AsyncIterator[str]:
        """Yield the body line by line."""
        rest = b''
        async for chunk in self.async_chunks(timeout_s):
            *lines, rest = (rest + chunk).split(b'\n')
            for line in lines:
                yield line.decode()

    async def async_answer(
        self, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> Response:
        """Wait for the complete response, at most ``timeout_s`` in all."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._async_response()
        except TimeoutError as error:
            raise errors.ResponseTimeoutError(timeout_s) from error

    def cancel(self) -> None:
        """Cancel the request in both directions of its stream."""
        self._cancel(self.stream_id)

    async def _async_response(self) -> Response:
        await self.async_headers()
        first_s = time.monotonic() - self.started
        body = b''.join([chunk async for chunk in self.async_chunks()])
        seconds = time.monotonic() - self.started
        return Response(self.status, self.headers, body, first_s, seconds)

    async def _async_next(self, timeout_s: float) -> h3_events.H3Event:
        try:
            async with asyncio.timeout(timeout_s):
                event = await self._events.get()
        except TimeoutError as error:
            raise errors.ResponseTimeoutError(timeout_s) from error
        if isinstance(event, Exception):
            self._events.put_nowait(event)
            raise event
        return event

    def _store_headers(self, event: h3_events.HeadersReceived) -> None:
        fields = {
            name.decode(): value.decode() for name, value in event.headers
        }
        self.status = int(fields.pop(':status'))
        self.headers = fields
        self._ended = event.stream_ended
