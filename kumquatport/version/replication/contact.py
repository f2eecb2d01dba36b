"""When the platform last answered anybody in the region."""

import math
from collections import abc

from kumquatport.helpers import clock


class PlatformContact:
    """The latest answer of the platform that this process knows of."""

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Start as if the platform had just answered.

        Args:
            now: Monotonic seconds.
        """
        self._now = now
        self._seen_at = now()

    @property
    def age(self) -> float:
        """Return seconds since that answer."""
        return self._now() - self._seen_at

    def record_answer(self) -> None:
        """Note an answer to this process."""
        self._seen_at = self._now()

    def merge_peer_age(self, age: float) -> None:
        """Take what a peer knows.

        Args:
            age: Its ``age`` when it answered, in seconds.
        """
        if math.isfinite(age) and age >= 0:
            self._seen_at = max(self._seen_at, self._now() - age)
