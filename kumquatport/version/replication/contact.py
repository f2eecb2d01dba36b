"""Tracks when the platform last answered any process of the region."""

import math
from collections import abc

from kumquatport.helpers import clock


class PlatformContact:
    """Time of the platform's latest answer that this process knows of."""

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Initialize as if the platform had just answered.

        Args:
            now: Monotonic clock in seconds.
        """
        self._now = now
        self._answered_at = now()

    @property
    def age(self) -> float:
        """Return seconds since the latest answer."""
        return self._now() - self._answered_at

    def record_answer(self) -> None:
        """Record an answer to this process."""
        self._answered_at = self._now()

    def merge_peer_age(self, age: float) -> None:
        """Merge the latest answer that a peer knows of.

        Args:
            age: The peer's ``age`` when it replied, in seconds.
        """
        if math.isfinite(age) and age >= 0:
            self._answered_at = max(self._answered_at, self._now() - age)
