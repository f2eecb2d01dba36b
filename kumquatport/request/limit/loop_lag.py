"""Measures the lag of this process's event loop.

Latencies measured by a busy process include its own delay, which must not be
attributed to the backend server.
"""

import asyncio
import collections
import typing
from collections import abc

import mode

SAMPLE_INTERVAL_S = 0.02
WINDOW_SAMPLES = 10


class LoopLag(mode.Service):
    """Wakes up periodically and records how late each wake-up is."""

    def __init__(
        self,
        clock: abc.Callable[[], float],
        **options: typing.Any,
    ) -> None:
        """Start with a lag of zero.

        Args:
            clock: Returns monotonic seconds.
            options: Options of ``mode.Service``.
        """
        super().__init__(**options)
        self._clock = clock
        self._recent_lags_s: collections.deque[float] = collections.deque(
            (0,),
            maxlen=WINDOW_SAMPLES,
        )

    @property
    def lag_s(self) -> float:
        """Largest lag of the recent wake-ups, in seconds."""
        return max(self._recent_lags_s)

    @mode.Service.task
    async def _async_measure(self) -> None:
        while not self.should_stop:
            due_at = self._clock() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self._recent_lags_s.append(max(self._clock() - due_at, 0))
