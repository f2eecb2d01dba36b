"""Registry of the metrics of a process."""

import collections
import typing
from collections import abc

from kumquatport.process.metrics import histograms


class Registry:
    """Counters, gauges and histograms of a process.

    The data path updates ``counters`` directly or by ``count``. Nothing here
    sends, blocks or raises errors.

    Attributes:
        counters: Totals since the process started.
        gauges: Current values.
        total: Histograms since the process started.
        recent: Histograms since the last flush.
    """

    def __init__(self) -> None:
        """Start without counters, gauges and histograms."""
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.total = histograms.Histograms()
        self.recent = histograms.Histograms()
        self._samplers: list[abc.Callable[[], None]] = []

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter.

        Args:
            name: Name of the counter, with a reason appended if it has one.
            amount: Increment.
        """
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        self.gauges[name] = value

    def record_latency(
        self, client_account: str, kind: str, seconds: float
    ) -> None:
        """Record the latency of one request.

        Args:
            client_account: Client account of the request.
            kind: Class of the request.
            seconds: Time from its arrival to the end of its answer.
        """
        self.total.record(client_account, kind, seconds)
        self.recent.record(client_account, kind, seconds)

    def add_sampler(self, sampler: abc.Callable[[], None]) -> None:
        """Add a function that updates counters and gauges before a read."""
        self._samplers.append(sampler)

    def sample(self) -> None:
        """Call all samplers to update counters and gauges."""
        for sampler in self._samplers:
            sampler()

    def snapshot(self) -> 'Snapshot':
        """Return an up-to-date copy of all metrics."""
        self.sample()
        return {
            'counters': dict(self.counters),
            'gauges': dict(self.gauges),
            'histograms': self.total.summaries(),
        }


class Snapshot(typing.TypedDict):
    """Metrics of a process at one point in time."""

    counters: dict[str, int]
    gauges: dict[str, float]
    histograms: list[histograms.Summary]
