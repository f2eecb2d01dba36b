"""Latency histograms for each client account and class."""

import typing

from hdrh import histogram

from kumquatport import const
from kumquatport.process.metrics import const as metrics_const


class Label(typing.NamedTuple):
    """What a histogram is about; ``kind`` is the class of request."""

    client_account: str
    kind: str


class Summary(typing.TypedDict):
    """A histogram in numbers; latencies in microseconds."""

    client_account: str
    kind: str
    count: int
    mean_us: float
    max_us: int
    percentiles_us: dict[str, int]


class _Series:
    """A histogram and the sum of what it has counted."""

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            metrics_const.MIN_LATENCY_US,
            metrics_const.MAX_LATENCY_US,
            metrics_const.SIGNIFICANT_FIGURES,
        )
        self._sum_us = 0

    @property
    def count(self) -> int:
        return self.histogram.get_total_count()

    @property
    def mean_us(self) -> float:
        # The histogram's own mean walks all of its buckets each time.
        return self._sum_us / self.count

    def record(self, micros: int) -> None:
        self.histogram.record_value(micros)
        self._sum_us += micros

    def reset(self) -> None:
        self.histogram.reset()
        self._sum_us = 0


class Histograms:
    """Histograms by label, a bounded number of them.

    Labels beyond the bound share the label ``other``.
    """

    def __init__(self, limit: int = metrics_const.MAX_HISTOGRAMS) -> None:
        """Start empty.

        Args:
            limit: Most labels kept apart.
        """
        self._limit = limit
        self._by_label: dict[Label, _Series] = {}

    def record(self, client_account: str, kind: str, seconds: float) -> None:
        """Add one latency; beyond an hour it counts as an hour."""
        held = self._get(Label(client_account, kind))
        micros = int(seconds * const.MICROSECONDS_PER_SECOND)
        highest = metrics_const.MAX_LATENCY_US
        held.record(min(max(micros, metrics_const.MIN_LATENCY_US), highest))

    def summaries(self) -> list[Summary]:
        """Return each histogram in numbers."""
        return [
            _summary(label, held)
            for label, held in sorted(self._by_label.items())
            if held.count
        ]

    def reset(self) -> None:
        """Empty each histogram and keep its label."""
        for held in self._by_label.values():
            held.reset()

    def _get(self, label: Label) -> _Series:
        held = self._by_label.get(label)
        if held is not None:
            return held
        if len(self._by_label) >= self._limit:
            label = Label(metrics_const.OTHER_LABEL, metrics_const.OTHER_LABEL)
        return self._by_label.setdefault(label, _Series())


def _summary(label: Label, held: _Series) -> Summary:
    wanted = [percentile for _, percentile in metrics_const.PERCENTILES]
    # One walk over the buckets for all percentiles.
    found = held.histogram.get_percentile_to_value_dict(wanted)
    return {
        'client_account': label.client_account,
        'kind': label.kind,
        'count': held.count,
        'mean_us': held.mean_us,
        'max_us': held.histogram.get_max_value(),
        'percentiles_us': {
            name: found[percentile]
            for name, percentile in metrics_const.PERCENTILES
        },
    }
