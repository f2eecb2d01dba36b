"""Whether this process may act on the document it holds."""

import math
from collections import abc

import structlog

from kumquatport.helpers import clock
from kumquatport.version.replication import const

_LOGGER = structlog.get_logger(__name__)


class Freshness:
    """When the version held was last confirmed, and pauses in between.

    A process that was paused holds what was in force before. Its own clock
    shows the gap, and until somebody confirms the version anew, in an exchange
    that began after the gap, the process is not fresh.
    """

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Start unconfirmed.

        Args:
            now: Monotonic seconds that go on while suspended.
        """
        self._now = now
        self._ticked_at = now()
        self._resumed_at = -math.inf
        self._confirmed_at = -math.inf

    @property
    def age(self) -> float:
        """Return seconds since the last confirmation, infinite for none."""
        return self._now() - self._confirmed_at

    @property
    def ever_confirmed(self) -> bool:
        """Tell whether there was a confirmation since start or pause."""
        return math.isfinite(self._confirmed_at)

    def is_fresh(self) -> bool:
        """Tell whether the version held may be acted on; cheap."""
        return self.tick() - self._confirmed_at < const.FRESH_S

    def tick(self) -> float:
        """Note that the process runs; return the time.

        Returns:
            Seconds of the clock given.
        """
        now = self._now()
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > const.PAUSE_S:
            self._resumed_at = now
            self._confirmed_at = -math.inf
            _LOGGER.warning('paused, confirming the document', gap_s=gap)
        return now

    def confirm(self, asked_at: float) -> bool:
        """Take a confirmation after asking round.

        Args:
            asked_at: What ``tick`` returned when the exchange began.

        Returns:
            Whether it counts: the process was not paused since.
        """
        self.tick()
        if asked_at < self._resumed_at:
            return False
        self._confirmed_at = max(self._confirmed_at, asked_at)
        return True

    def extend(self, asked_at: float) -> bool:
        """Take a confirmation by one fresh peer.

        After a start or a pause it does not do: that peer may be the one that
        the newest document has not reached yet.

        Args:
            asked_at: What ``tick`` returned when the exchange began.

        Returns:
            Whether it counts.
        """
        self.tick()
        return self.ever_confirmed and self.confirm(asked_at)
