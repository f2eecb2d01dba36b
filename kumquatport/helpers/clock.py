"""Clocks: time of day for names, monotonic time for durations."""

import time
from collections import abc

from kumquatport import const

# A monotonic clock in seconds; tests pass one of their own.
Clock = abc.Callable[[], float]


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970, UTC."""
    return int(time.time() * const.MILLISECONDS_PER_SECOND)


class PauseDetector:
    """Notices pauses of this process.

    A process that was stopped, or whose machine was, sees a gap in its own
    monotonic clock between two checks.
    """

    def __init__(
        self, limit_s: float, monotonic: Clock = time.monotonic
    ) -> None:
        """Start at the present time.

        Args:
            limit_s: Shortest gap that is a pause; more than the period at
                which ``check`` is called.
            monotonic: Clock in seconds.
        """
        self._limit_s = limit_s
        self._monotonic = monotonic
        self._last_s = monotonic()

    def check(self) -> float:
        """Return the length of the pause since the last check, else 0."""
        now_s = self._monotonic()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        return gap_s if gap_s >= self._limit_s else 0
