"""Data delivered to a backend server that sends nothing any more.

A backend server acknowledges data on an open flow within milliseconds, since
it runs on the same host. One that is leaving, accepts no connections and leaves
data unanswered does not hold the flow any more.
"""

import typing

# Seconds without any sign of life after which data counts as unanswered: far
# longer than a running backend server takes, and short enough for the client
# to send its request again before it gives up.
UNANSWERED_S: typing.Final = 0.5

# Checks that must find the data unanswered. After a pause of the whole host
# all time has passed at once, but the checks go on one by one.
MIN_CHECKS: typing.Final = 3

# Seconds between two checks that count.
MIN_CHECK_INTERVAL_S: typing.Final = 0.2


class _Delivery(typing.NamedTuple):
    """The first data on a flow since the last sign of life.

    Attributes:
        delivered_at: Monotonic time in seconds.
        checks: Checks since then.
    """

    delivered_at: float
    checks: int = 0


class UnansweredData:
    """Flows on which data was delivered since the last sign of life."""

    def __init__(self) -> None:
        """Start without data."""
        self._deliveries: dict[bytes, _Delivery] = {}
        self._checked_at: float = 0

    def add(self, flow: bytes, now: float, active_at: float) -> None:
        """Record data that is delivered.

        Args:
            flow: Key of the flow.
            now: Monotonic time in seconds.
            active_at: Time of the backend server's last sign of life.
        """
        known = self._deliveries.get(flow)
        if known is None or known.delivered_at <= active_at:
            self._deliveries[flow] = _Delivery(now)

    def clear(self) -> None:
        """Forget all data."""
        self._deliveries.clear()

    def check(self, now: float, active_at: float) -> list[bytes]:
        """Remove and return the flows whose data is unanswered.

        Args:
            now: Monotonic time in seconds.
            active_at: Time of the backend server's last sign of life.
        """
        if now - self._checked_at < MIN_CHECK_INTERVAL_S:
            return []
        self._checked_at = now
        self._deliveries = {
            flow: delivery._replace(checks=delivery.checks + 1)
            for flow, delivery in self._deliveries.items()
            if delivery.delivered_at > active_at
        }
        due = [
            flow
            for flow, delivery in self._deliveries.items()
            if delivery.checks >= MIN_CHECKS
            and now - delivery.delivered_at >= UNANSWERED_S
        ]
        for flow in due:
            self._deliveries.pop(flow)
        return due
