"""Builders of request heads, and exchanges that record their response."""

import asyncio
import typing
from collections import abc

from kumquatport.request import messages

Headers = tuple[tuple[str, str], ...]


class RecordedExchange:
    """Records the response of an exchange as the caller receives it."""

    def __init__(self, body: abc.Sequence[bytes] = ()) -> None:
        """Prepare an exchange.

        Args:
            body: Chunks of the request body.
        """
        self.status = 0
        self.headers: dict[str, str] = {}
        self.pieces: list[bytes] = []
        self.ended = False
        self.reset_code: int | None = None
        self.cancelled = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self._body = list(body)

    @property
    def exchange(self) -> messages.Exchange:
        return messages.Exchange(
            self._async_read_body,
            self._async_send_head,
            self._async_send_body,
            self._reset,
            self.cancelled,
        )

    @property
    def body(self) -> bytes:
        return b''.join(self.pieces)

    @property
    def outcome(self) -> str:
        return self.headers.get('x-kumquatport-outcome', '')

    @property
    def code(self) -> str:
        return self.headers.get('x-kumquatport-code', '')

    async def _async_read_body(self) -> bytes:
        return self._body.pop(0) if self._body else b''

    async def _async_send_head(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = dict(headers)

    async def _async_send_body(self, piece: bytes, end: bool) -> None:
        self.pieces.append(piece)
        self.ended = self.ended or end
        await self.writable.wait()

    def _reset(self, code: int) -> None:
        self.reset_code = code


def head(
    method: str = 'GET',
    path: str = '/small',
    **headers: typing.Any,
) -> messages.RequestHead:
    """Build a head; ``x_echo='one'`` becomes ``x-echo: one``."""
    fields = tuple(
        (name.replace('_', '-'), str(value)) for name, value in headers.items()
    )
    return messages.RequestHead(method, path, 'shop.example', fields, 1)


def order(key: str, **headers: typing.Any) -> messages.RequestHead:
    """Build the head of an order."""
    return head('POST', '/orders', idempotency_key=key, **headers)
