"""Request bodies, read ahead so that small ones can be sent again."""

from collections import abc

from kumquatport.request import messages
from kumquatport.request.proxy import const


class RequestBody:
    """Reads a body from the caller, up to a maximum size ahead."""

    def __init__(self, exchange: messages.Exchange) -> None:
        """Initialize without reading."""
        self._exchange = exchange
        self._prefix = b''
        self._ended = False
        self._streamed = False

    @property
    def is_replayable(self) -> bool:
        """Whether it can be sent (again) from its beginning."""
        return self._ended or not self._streamed

    async def async_prefetch(self) -> None:
        """Read to the end of the body or until the maximum size."""
        chunks = []
        size = 0
        while size < const.MAX_PREFETCH_BYTES:
            chunk = await self._exchange.async_read_body()
            if not chunk:
                self._ended = True
                break
            chunks.append(chunk)
            size += len(chunk)
        self._prefix = b''.join(chunks)

    def payload(self) -> bytes | abc.AsyncIterator[bytes] | None:
        """Return what to send: None, the complete body or a stream."""
        if self._ended:
            return self._prefix or None
        return self._async_stream()

    async def _async_stream(self) -> abc.AsyncIterator[bytes]:
        self._streamed = True
        yield self._prefix
        while True:
            chunk = await self._exchange.async_read_body()
            if not chunk:
                return
            yield chunk
