"""Round trips to failure domains, measured by offers and their answers.

An answer may wait for a processor at either end, so the shortest of the recent
round trips counts.
"""

import collections
import typing

# Seconds for which a round trip counts.
WINDOW_S: typing.Final = 10.0


class _RoundTrip(typing.NamedTuple):
    """A measured round trip.

    Attributes:
        at: Monotonic seconds of the answer.
        seconds: Duration.
    """

    at: float
    seconds: float


class RoundTrips:
    """Minimum of the recent round trips by failure domain."""

    def __init__(self) -> None:
        """Start without round trips."""
        self._by_domain: dict[str, collections.deque[_RoundTrip]] = {}

    def record(self, failure_domain: str, seconds: float, now: float) -> None:
        """Record a round trip.

        Args:
            failure_domain: Failure domain of the agent.
            seconds: Duration.
            now: Monotonic seconds of the answer.
        """
        # Durations increase from the first to the last entry: an entry that is
        # older and longer than another one is never the minimum again.
        recent = self._by_domain.setdefault(failure_domain, collections.deque())
        while recent and recent[-1].seconds >= seconds:
            recent.pop()
        recent.append(_RoundTrip(now, seconds))
        self._expire(recent, now)

    def minimum_s(self, failure_domain: str, now: float) -> float | None:
        """Return the shortest recent round trip; None if there is none.

        Args:
            failure_domain: Failure domain of the agent.
            now: Monotonic time in seconds.
        """
        recent = self._by_domain.get(failure_domain)
        if not recent:
            return None
        self._expire(recent, now)
        return recent[0].seconds if recent else None

    def _expire(
        self, recent: collections.deque[_RoundTrip], now: float
    ) -> None:
        while recent and recent[0].at < now - WINDOW_S:
            recent.popleft()
