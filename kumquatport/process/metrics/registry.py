"""The metrics that a process holds."""

import collections
import typing
from collections import abc

from kumquatport.process.metrics import histograms


class Registry:
    """Counters, gauges and histograms of a process.

    The data path adds to ``counters`` directly or by ``count``; nothing here
    sends, waits or fails.

    Attributes:
        counters: Totals since the process started.
        gauges: Present values.
        total: Histograms since the process started.
        recent: Histograms since the last flush.
    """

    def __init__(self) -> None:
        """Start with everything at zero."""
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.total = histograms.Histograms()
        self.recent = histograms.Histograms()
        self._samplers: list[abc.Callable[[], None]] = []

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        Args:
            name: Name from ``metrics.const``, with a reason where it has one.
            amount: How much to add.
        """
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def record_latency(
        self, client_account: str, kind: str, seconds: float
    ) -> None:
        """Add the latency of one request.

        Args:
            client_account: Client account of the request.
            kind: Class of the request.
            seconds: From its arrival to the end of its answer.
        """
        self.total.record(client_account, kind, seconds)
        self.recent.record(client_account, kind, seconds)

    def add_sampler(self, sampler: abc.Callable[[], None]) -> None:
        """Have a function set counters and gauges before they are read."""
        self._samplers.append(sampler)

    def sample(self) -> None:
        """Bring counters and gauges up to date."""
        for sampler in self._samplers:
            sampler()

    def snapshot(self) -> 'Snapshot':
        """Return a copy of everything, up to date, for status."""
        self.sample()
        return {
            'counters': dict(self.counters),
            'gauges': dict(self.gauges),
            'histograms': self.total.summaries(),
        }


class Snapshot(typing.TypedDict):
    """The metrics of a process at one time."""

    counters: dict[str, int]
    gauges: dict[str, float]
    histograms: list[histograms.Summary]
