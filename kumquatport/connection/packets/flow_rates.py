"""Requests per second that the open flows of a route carry.

Some flows carry one request and others many, so the number of open flows does
not say which work a backend server has been given. At each measurement the
flows of a route are counted, and until the next one the requests of just these
flows. A flow that has carried its only request before it is counted adds
nothing.
"""

import collections
import math
import typing
from collections import abc

# Seconds in which the weight of a measurement decreases to 1/e. Clients change
# their behaviour more slowly, and a route with few flows has few requests.
SMOOTHING_S: typing.Final = 15.0

# Seconds after which a measurement would say little: a process that was paused
# has not seen the requests meanwhile.
MAX_MEASUREMENT_S: typing.Final = 5.0

# Flow seconds from which a rate is known; a route with fewer counts as idle.
MIN_FLOW_S: typing.Final = 1.0


class _Measured(typing.NamedTuple):
    """Weighted sums of a route.

    Attributes:
        requests: Requests of the counted flows.
        flow_s: Seconds for which they were observed.
    """

    requests: float
    flow_s: float

    @property
    def per_s(self) -> float:
        """Return the requests per second of a flow, 0 if it is unknown."""
        return self.requests / self.flow_s if self.flow_s > MIN_FLOW_S else 0


_NONE: typing.Final = _Measured(0, 0)


class FlowRates:
    """Measured rates of the routes of one backend server."""

    def __init__(self) -> None:
        """Start without rates and before the first measurement."""
        self._measured: dict[abc.Hashable, _Measured] = {}
        self._counted_at = -math.inf
        self._flows: abc.Mapping[typing.Any, int] = {}
        self._requests: collections.Counter[abc.Hashable] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Return the number of routes with a measurement."""
        return len(self._measured)

    def note_request(self, route: abc.Hashable, opened_at: float) -> None:
        """Count a request.

        Args:
            route: Route of its flow.
            opened_at: Monotonic time in seconds when the flow was added.
        """
        if opened_at <= self._counted_at:
            self._requests[route] += 1

    def measure(self, flows: abc.Mapping[typing.Any, int], now: float) -> None:
        """Complete a measurement and begin the next one.

        Args:
            flows: Number of flows of each route.
            now: Monotonic time in seconds.
        """
        elapsed_s = now - max(self._counted_at, now - MAX_MEASUREMENT_S)
        decay = math.exp(-elapsed_s / SMOOTHING_S)
        measured = {}
        for route in self._measured.keys() | self._flows.keys():
            before = self._measured.get(route, _NONE)
            after = _Measured(
                before.requests * decay + self._requests[route],
                before.flow_s * decay + self._flows.get(route, 0) * elapsed_s,
            )
            if after.flow_s > MIN_FLOW_S / 10:
                measured[route] = after
        self._measured = measured
        self._flows = dict(flows)
        self._requests.clear()
        self._counted_at = now

    def per_s(self, route: abc.Hashable) -> float:
        """Return the requests per second of a flow, 0 if they are unknown.

        Args:
            route: Route of the flow.
        """
        return self._measured.get(route, _NONE).per_s
