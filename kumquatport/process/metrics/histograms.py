"""Latency histograms for each client account and request class."""

import typing

from hdrh import histogram

from kumquatport import const
from kumquatport.process.metrics import const as metrics_const


class Label(typing.NamedTuple):
    """Label of a histogram; ``kind`` is the class of the requests."""

    client_account: str
    kind: str


class Summary(typing.TypedDict):
    """Summary of a histogram; latencies in microseconds."""

    client_account: str
    kind: str
    count: int
    mean_us: float
    max_us: int
    percentiles_us: dict[str, int]


class _Series:
    """A histogram and the sum of the recorded latencies."""

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
        # ``HdrHistogram`` would iterate over all buckets for its mean.
        return self._sum_us / self.count

    def record(self, latency_us: int) -> None:
        self.histogram.record_value(latency_us)
        self._sum_us += latency_us

    def reset(self) -> None:
        self.histogram.reset()
        self._sum_us = 0


class Histograms:
    """Histograms by label, limited in number.

    Latencies of labels beyond the limit are recorded under ``other``.
    """

    def __init__(self, limit: int = metrics_const.MAX_HISTOGRAMS) -> None:
        """Start without histograms.

        Args:
            limit: Maximum number of labels, without ``other``.
        """
        self._limit = limit
        self._by_label: dict[Label, _Series] = {}

    def record(self, client_account: str, kind: str, seconds: float) -> None:
        """Record one latency, clamped to the range of the histogram.

        Args:
            client_account: Client account of the request.
            kind: Class of the request.
            seconds: Latency in seconds; above one hour it counts as one hour.
        """
        series = self._get_series(Label(client_account, kind))
        latency_us = int(seconds * const.MICROSECONDS_PER_SECOND)
        max_latency_us = metrics_const.MAX_LATENCY_US
        series.record(
            min(max(latency_us, metrics_const.MIN_LATENCY_US), max_latency_us)
        )

    def summaries(self) -> list[Summary]:
        """Return summaries of the non-empty histograms, sorted by label."""
        return [
            _summary(label, series)
            for label, series in sorted(self._by_label.items())
            if series.count
        ]

    def reset(self) -> None:
        """Reset every histogram; keep the labels."""
        for series in self._by_label.values():
            series.reset()

    def _get_series(self, label: Label) -> _Series:
        series = self._by_label.get(label)
        if series is not None:
            return series
        if len(self._by_label) >= self._limit:
            label = Label(metrics_const.OTHER_LABEL, metrics_const.OTHER_LABEL)
        return self._by_label.setdefault(label, _Series())


def _summary(label: Label, series: _Series) -> Summary:
    percentiles = [percentile for _, percentile in metrics_const.PERCENTILES]
    # One iteration over the buckets for all percentiles.
    value_by_percentile = series.histogram.get_percentile_to_value_dict(
        percentiles
    )
    return {
        'client_account': label.client_account,
        'kind': label.kind,
        'count': series.count,
        'mean_us': series.mean_us,
        'max_us': series.histogram.get_max_value(),
        'percentiles_us': {
            name: value_by_percentile[percentile]
            for name, percentile in metrics_const.PERCENTILES
        },
    }
