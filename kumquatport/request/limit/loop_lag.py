"""How late this process's own event loop is.

A latency measured by a busy process holds its own delay, which says nothing
of the backend server.
"""

import asyncio
import collections
import typing
from collections import abc

import mode

SAMPLE_INTERVAL_S = 0.02
WINDOW_SAMPLES = 10


class LoopLag(mode.Service):
    """Wakes often and remembers how late it woke."""

    def __init__(
        self,
        clock: abc.Callable[[], float],
        **options: typing.Any,
    ) -> None:
        """Remember nothing yet."""
        super().__init__(**options)
        self._clock = clock
        self._recent_lags_s: collections.deque[float] = collections.deque(
            (0,),
            maxlen=WINDOW_SAMPLES,
        )

    @property
    def lag_s(self) -> float:
        """Latest of the recent wake-ups, in seconds."""
        return max(self._recent_lags_s)

    @mode.Service.task
    async def _async_measure(self) -> None:
        while not self.should_stop:
            due_at = self._clock() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self._recent_lags_s.append(max(self._clock() - due_at, 0))
