"""Whether a backend server fails requests that others would answer.

Load pattern: a backend server takes flows and requests, its heartbeats are good,
and a part of its requests get no answer, or their flow is reset. It is the
emptiest of its service, since nothing it does takes long or is ever finished, so
it would be offered more than the others. Found from its own flows, it is passed
over while others are there; what is remembered runs out, which tests it again
with a few flows.
"""

import collections
import typing

# Seconds for which outcomes count; then the backend server is tested again.
WINDOW_S: typing.Final = 8.0

# Failures below which nothing is concluded: clients leave, too.
MIN_FAILURES: typing.Final = 3

# Share of failures among the outcomes that is not chance.
FAILING_RATIO: typing.Final = 0.2

# Times the mean service time, and at least so many seconds, without the first
# byte of an answer: a request that waited in a queue is answered before.
OVERDUE_FACTOR: typing.Final = 10.0
OVERDUE_MIN_S: typing.Final = 0.8


class RequestOutcomes:
    """How the requests of one backend server have ended of late."""

    def __init__(self) -> None:
        """Start without an outcome."""
        self._recent: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        self._failures = 0

    def record(self, now: float, *, failed: bool) -> None:
        """Note how a request ended, or that it is overdue.

        Args:
            now: Monotonic seconds.
            failed: Whether it got no answer.
        """
        self._expire(now)
        self._recent.append((now, failed))
        self._failures += failed

    def clear(self) -> None:
        """Forget all, since another incarnation has begun."""
        self._recent.clear()
        self._failures = 0

    def is_failing(self, now: float) -> bool:
        """Tell whether the backend server is to be passed over.

        Args:
            now: Monotonic seconds.
        """
        self._expire(now)
        if self._failures < MIN_FAILURES:
            return False
        return self._failures >= FAILING_RATIO * len(self._recent)

    def _expire(self, now: float) -> None:
        while self._recent and self._recent[0][0] < now - WINDOW_S:
            _, failed = self._recent.popleft()
            self._failures -= failed


def overdue_threshold_s(service_s: float) -> float:
    """Return the seconds without an answer after which a request is overdue.

    Args:
        service_s: Mean seconds to the first byte of an answer.
    """
    return max(OVERDUE_MIN_S, OVERDUE_FACTOR * service_s)
