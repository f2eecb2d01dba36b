"""Service times by route, from requests that met a free slot.

The time of a request that waited in the backend server's queue says more about
the queue than about the work, so only requests that met a free slot count.
"""

import itertools
import math
import typing

# Address and port that clients call.
RouteKey = tuple[int, int]

# Seconds after which a window ends. Two windows count: the current one and the
# one before, so samples are at most twice as old.
WINDOW_S: typing.Final = 15.0

# Samples below which the service time of a route is unknown.
MIN_SAMPLES: typing.Final = 5

# Routes whose service times are recorded; an agent's service has few.
MAX_ROUTES: typing.Final = 64

# Buckets of the histogram: each is wider by a factor of 2 ** (1 / 4) than the
# one before, and the last one begins above 14 s.
_LOWEST_S: typing.Final = 0.00025
_BUCKETS_PER_DOUBLING: typing.Final = 4
_BUCKETS: typing.Final = 64


class _Window:
    """Samples of one window."""

    __slots__ = ('buckets', 'count', 'started_at', 'sum_s')

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.count = 0
        self.sum_s: float = 0
        self.buckets = list(itertools.repeat(0, _BUCKETS))


class _Histogram:
    """Aged histogram of the service times of one route."""

    __slots__ = ('_current', '_previous', 'last_at')

    def __init__(self, now: float) -> None:
        self.last_at = now
        self._current = _Window(now)
        self._previous = _Window(now)

    def record(self, seconds: float, now: float) -> None:
        """Record a sample."""
        self._rotate(now)
        self.last_at = now
        window = self._current
        window.count += 1
        window.sum_s += seconds
        window.buckets[_bucket(seconds)] += 1

    def totals(self, now: float) -> tuple[int, float]:
        """Return the number of samples and their sum in seconds."""
        self._rotate(now)
        count = self._current.count + self._previous.count
        return count, self._current.sum_s + self._previous.sum_s

    def percentile_s(self, fraction: float, now: float) -> float:
        """Return the upper bound of the bucket that holds a percentile."""
        count, _ = self.totals(now)
        remaining = math.ceil(fraction * count)
        for index in range(_BUCKETS):
            remaining -= self._current.buckets[index]
            remaining -= self._previous.buckets[index]
            if remaining <= 0:
                return _upper_bound_s(index)
        return _upper_bound_s(_BUCKETS - 1)

    def _rotate(self, now: float) -> None:
        age_s = now - self._current.started_at
        if age_s < WINDOW_S:
            return
        is_recent = age_s < 2 * WINDOW_S
        self._previous = self._current if is_recent else _Window(now)
        self._current = _Window(now)


class ServiceTimes:
    """Service times of one backend server by route, in bounded memory."""

    def __init__(self) -> None:
        """Start without samples."""
        self._histograms: dict[RouteKey, _Histogram] = {}

    def record(self, route: RouteKey, seconds: float, now: float) -> None:
        """Record the service time of a request that met a free slot.

        Args:
            route: Address and port that the client calls.
            seconds: Seconds to the first byte of the answer.
            now: Monotonic time in seconds.
        """
        histogram = self._histograms.get(route)
        if histogram is None:
            if len(self._histograms) >= MAX_ROUTES:
                return
            histogram = _Histogram(now)
            self._histograms[route] = histogram
        histogram.record(seconds, now)

    def clear(self) -> None:
        """Remove all samples; they do not apply to a new incarnation."""
        self._histograms.clear()

    def mean_s(self, route: RouteKey, now: float) -> float | None:
        """Return the mean seconds of a route; None if it is unknown.

        Args:
            route: Address and port that the client calls.
            now: Monotonic time in seconds.
        """
        histogram = self._histograms.get(route)
        if histogram is None:
            return None
        count, sum_s = histogram.totals(now)
        return sum_s / count if count >= MIN_SAMPLES else None

    def percentile_s(
        self, route: RouteKey, fraction: float, now: float
    ) -> float | None:
        """Return a percentile of a route in seconds; None if it is unknown.

        Args:
            route: Address and port that the client calls.
            fraction: Fraction of the requests, for example 0.9.
            now: Monotonic time in seconds.
        """
        histogram = self._histograms.get(route)
        if histogram is None or histogram.totals(now)[0] < MIN_SAMPLES:
            return None
        return histogram.percentile_s(fraction, now)

    def age_s(self, route: RouteKey, now: float) -> float | None:
        """Return the seconds since the last sample; None if there is none.

        Args:
            route: Address and port that the client calls.
            now: Monotonic time in seconds.
        """
        histogram = self._histograms.get(route)
        return None if histogram is None else now - histogram.last_at

    def busiest_route(self, now: float) -> RouteKey | None:
        """Return the route with most samples; None if all are unknown.

        Args:
            now: Monotonic time in seconds.
        """
        counts = {
            route: histogram.totals(now)[0]
            for route, histogram in self._histograms.items()
        }
        busiest = max(counts, key=counts.__getitem__, default=None)
        if busiest is None or counts[busiest] < MIN_SAMPLES:
            return None
        return busiest

    def overall_mean_s(self, now: float) -> float | None:
        """Return the mean seconds of all routes; None if it is unknown.

        Args:
            now: Monotonic time in seconds.
        """
        count = 0
        sum_s: float = 0
        for histogram in self._histograms.values():
            route_count, route_sum_s = histogram.totals(now)
            count += route_count
            sum_s += route_sum_s
        return sum_s / count if count >= MIN_SAMPLES else None


def _bucket(seconds: float) -> int:
    if seconds <= _LOWEST_S:
        return 0
    doublings = math.log2(seconds / _LOWEST_S)
    return min(int(doublings * _BUCKETS_PER_DOUBLING), _BUCKETS - 1)


def _upper_bound_s(bucket: int) -> float:
    return _LOWEST_S * math.pow(2, (bucket + 1) / _BUCKETS_PER_DOUBLING)
