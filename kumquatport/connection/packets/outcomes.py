"""Passive health check: detects backend servers that fail requests.

Such a backend server accepts flows and requests and sends good heartbeats, but
leaves part of its requests unanswered or resets their flows. It looks like the
least loaded of its service, since none of these requests takes long or ever
completes, so it would be offered more flows than the others. The agent detects
this from the flows it carries, and balancers prefer other agents while there
are any. Outcomes expire, after which a few new flows test the backend server
again.
"""

import collections
import typing

# Seconds for which outcomes count; then the backend server is tested again.
WINDOW_S: typing.Final = 8.0

# Minimum failures for a verdict: clients that leave count as failures too.
MIN_FAILURES: typing.Final = 3

# Ratio of failed outcomes that is unlikely to be chance.
FAILING_RATIO: typing.Final = 0.2

# A request is overdue without a first byte of its answer after this multiple
# of the mean service time, and at least after the minimum in seconds. A
# request that only waited in a queue is answered before.
OVERDUE_FACTOR: typing.Final = 10.0
OVERDUE_MIN_S: typing.Final = 0.8


class RequestOutcomes:
    """Sliding window of the request outcomes of one backend server."""

    def __init__(self) -> None:
        """Create an empty window."""
        self._recent: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        self._failures = 0

    def record(self, now: float, *, failed: bool) -> None:
        """Record the outcome of a request that ended or is overdue.

        Args:
            now: Monotonic time in seconds.
            failed: Whether the request got no answer.
        """
        self._expire(now)
        self._recent.append((now, failed))
        self._failures += failed

    def clear(self) -> None:
        """Remove all outcomes.

        They do not apply to a new incarnation of the backend server, nor to one
        that is not warm and rejects requests for lack of capacity.
        """
        self._recent.clear()
        self._failures = 0

    def is_failing(self, now: float) -> bool:
        """Return whether other backend servers should be preferred.

        Args:
            now: Monotonic time in seconds.
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
