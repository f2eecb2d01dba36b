"""The body of a request, read ahead so that a small one can be sent again."""

from collections import abc

from kumquatport.request import messages
from kumquatport.request.proxy import const


class RequestBody:
    """Reads from the caller, at most a bounded part ahead."""

    def __init__(self, exchange: messages.Exchange) -> None:
        """Read nothing yet."""
        self._exchange = exchange
        self._prefix = b''
        self._ended = False
        self._streamed = False

    @property
    def is_replayable(self) -> bool:
        """Whether it can be sent again from its beginning."""
        return self._ended or not self._streamed

    async def async_prefetch(self) -> None:
        """Read until the end or the bound, whichever comes first."""
        pieces = []
        size = 0
        while size < const.MAX_PREFETCH_BYTES:
            piece = await self._exchange.async_read_body()
            if not piece:
                self._ended = True
                break
            pieces.append(piece)
            size += len(piece)
        self._prefix = b''.join(pieces)

    def payload(self) -> bytes | abc.AsyncIterator[bytes] | None:
        """Return what to send: nothing, the whole, or a stream."""
        if self._ended:
            return self._prefix or None
        return self._async_stream()

    async def _async_stream(self) -> abc.AsyncIterator[bytes]:
        self._streamed = True
        yield self._prefix
        while True:
            piece = await self._exchange.async_read_body()
            if not piece:
                return
            yield piece
