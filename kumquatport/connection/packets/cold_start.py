"""How many new flows a cold backend server is given.

Load pattern: a backend server that just started, or came back cold, is the
emptiest of its service and would be offered everything at once.
"""

import collections
import typing

WINDOW_S: typing.Final = 1.0

# Flows kept back from the allowance: the arrival at the backend server shifts
# against the window that is counted here.
MARGIN_FLOWS: typing.Final = 1

# The window is counted a little longer than the second that is promised.
WINDOW_SLACK_S: typing.Final = 0.1


class ColdStartLimiter:
    """New flows within a sliding second."""

    def __init__(self, factor: float, slack: float) -> None:
        """Start with an unused allowance.

        Args:
            factor: Times the rate that the backend server bears.
            slack: Flows a second on top of that.
        """
        self.factor = factor
        self.slack = slack
        self._opened_at: collections.deque[float] = collections.deque()

    def try_acquire(self, per_s: float, now: float) -> bool:
        """Use one flow of the allowance.

        Args:
            per_s: Flows a second that the backend server bears.
            now: Monotonic seconds.

        Returns:
            False if the allowance of this second is used up.
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
        """Count a flow that was opened while not known to be cold."""
        self._opened_at.append(now)
        while self._opened_at[0] <= now - WINDOW_S - WINDOW_SLACK_S:
            self._opened_at.popleft()
