"""Rate limit on new flows for a cold backend server.

A backend server that has just started, or has reported that it is cold again,
is the least loaded of its service and would be offered all new flows at once.
"""

import collections
import typing

WINDOW_S: typing.Final = 1.0

# Flows subtracted from the limit: arrivals at the backend server shift against
# the window that is counted here.
MARGIN_FLOWS: typing.Final = 1

# The counted window is slightly longer than the second that the limit covers.
WINDOW_SLACK_S: typing.Final = 0.1


class ColdStartLimiter:
    """Sliding-window limiter of new flows per second.

    Attributes:
        factor: Multiple of the rate that the backend server can take while
            cold.
        slack: Flows per second allowed on top of that.
    """

    def __init__(self, factor: float, slack: float) -> None:
        """Create a limiter with an empty window.

        Args:
            factor: Multiple of the rate that the backend server can take while
                cold.
            slack: Flows per second allowed on top of that.
        """
        self.factor = factor
        self.slack = slack
        self._opened_at: collections.deque[float] = collections.deque()

    def try_acquire(self, per_s: float, now: float) -> bool:
        """Count a new flow if the limit allows it.

        Args:
            per_s: Flows per second that the backend server can take while cold.
            now: Monotonic time in seconds.

        Returns:
            False if the limit is reached.
        """
        while (
            self._opened_at
            and self._opened_at[0] <= now - WINDOW_S - WINDOW_SLACK_S
        ):
            self._opened_at.popleft()
        limit = int(per_s * self.factor + self.slack) - MARGIN_FLOWS
        if len(self._opened_at) >= limit:
            return False
        self._opened_at.append(now)
        return True

    def record(self, now: float) -> None:
        """Count a flow opened while the backend server is not known to be cold.

        Args:
            now: Monotonic time in seconds.
        """
        self._opened_at.append(now)
        while self._opened_at[0] <= now - WINDOW_S - WINDOW_SLACK_S:
            self._opened_at.popleft()
