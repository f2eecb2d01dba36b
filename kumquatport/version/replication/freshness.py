"""Tracks whether the document of this process is known to be current."""

import math
from collections import abc

import structlog

from kumquatport.helpers import clock
from kumquatport.version.replication import const

_LOGGER = structlog.get_logger(__name__)


class Freshness:
    """Time of the last confirmation of the document, and process suspensions.

    A process that was suspended may hold an outdated document. A gap between
    two ticks reveals the suspension. The process is not fresh again until the
    version is confirmed in an exchange that began after the gap.
    """

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Initialize without a confirmation.

        Args:
            now: Monotonic clock in seconds that continues during suspension.
        """
        self._now = now
        self._last_tick_at = now()
        self._resumed_at = -math.inf
        self._confirmed_at = -math.inf

    @property
    def age(self) -> float:
        """Return seconds since the last confirmation, infinite if none."""
        return self._now() - self._confirmed_at

    @property
    def ever_confirmed(self) -> bool:
        """Return whether confirmed since the start or last suspension."""
        return math.isfinite(self._confirmed_at)

    def is_fresh(self) -> bool:
        """Return whether the document was confirmed recently; cheap."""
        return self.tick() - self._confirmed_at < const.FRESHNESS_S

    def tick(self) -> float:
        """Detect a suspension of the process; return the time.

        Returns:
            Seconds of the clock given at initialization.
        """
        now = self._now()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap > const.SUSPENSION_THRESHOLD_S:
            self._resumed_at = now
            self._confirmed_at = -math.inf
            _LOGGER.warning(
                'process was suspended, document needs confirmation',
                gap_s=gap,
            )
        return now

    def confirm(self, asked_at: float) -> bool:
        """Record a confirmation by the platform or by several peers.

        Args:
            asked_at: Value of ``tick`` when the exchange began.

        Returns:
            Whether it counts; not if the process was suspended meanwhile.
        """
        self.tick()
        if asked_at < self._resumed_at:
            return False
        self._confirmed_at = max(self._confirmed_at, asked_at)
        return True

    def extend(self, asked_at: float) -> bool:
        """Record a confirmation by one fresh peer.

        It does not suffice after a start or suspension, because the newest
        document may not have reached that peer yet.

        Args:
            asked_at: Value of ``tick`` when the exchange began.

        Returns:
            Whether it counts.
        """
        self.tick()
        return self.ever_confirmed and self.confirm(asked_at)
