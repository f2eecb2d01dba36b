"""Tracks the requests in progress."""

import asyncio
import contextlib
from collections import abc


class InFlightRequests:
    """Counts requests from their arrival to the end of their answer."""

    def __init__(self) -> None:
        """Start without requests."""
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    @contextlib.contextmanager
    def track(self) -> abc.Iterator[None]:
        """Count a request while the context is active."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    async def async_wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()
