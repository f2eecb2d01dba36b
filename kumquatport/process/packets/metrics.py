"""Counters, gauges and histograms of a process, exported as text over HTTP."""

import typing
from collections import abc

from aiohttp import web
from hdrh import histogram

PATH: typing.Final = '/metrics'
PREFIX: typing.Final = 'kumquatport'

LOWEST_US: typing.Final = 1
HIGHEST_US: typing.Final = 60_000_000
DIGITS: typing.Final = 2
PERCENTILES: typing.Final = (50, 90, 99, 99.9)
US_PER_S: typing.Final = 1_000_000

# Maximum number of histograms; further labels of a family share one.
MAX_HISTOGRAMS: typing.Final = 64
OTHER: typing.Final = 'other'

CounterSource = abc.Callable[[], abc.Mapping[str, float]]


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Start without metrics."""
        self._sources: dict[str, CounterSource] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def add_source(self, name: str, source: CounterSource) -> None:
        """Register a family of counters or gauges.

        Args:
            name: Name of the family.
            source: Returns the values by label.
        """
        self._sources[name] = source

    def observer(self, name: str) -> abc.Callable[[str, float], None]:
        """Return a function that records seconds by label.

        Args:
            name: Name of the family of histograms.
        """

        def observe(label: str, seconds: float) -> None:
            key = (name, label)
            recorded = self._histograms.get(key)
            if recorded is None and len(self._histograms) >= MAX_HISTOGRAMS:
                key = (name, OTHER)
                recorded = self._histograms.get(key)
            if recorded is None:
                recorded = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._histograms[key] = recorded
            recorded.record_value(min(int(seconds * US_PER_S) + 1, HIGHEST_US))

        return observe

    def render(self) -> str:
        """Return all metrics, one per line."""
        lines = [
            f'{PREFIX}_{name}{{of="{label}"}} {number:g}'
            for name, source in self._sources.items()
            for label, number in sorted(source().items())
        ]
        for (name, label), recorded in self._histograms.items():
            total = recorded.get_total_count()
            lines.append(f'{PREFIX}_{name}_count{{of="{label}"}} {total}')
            for percentile in PERCENTILES:
                percentile_us = recorded.get_value_at_percentile(percentile)
                lines.append(
                    f'{PREFIX}_{name}_us{{of="{label}",'
                    f'percentile="{percentile:g}"}} {percentile_us}'
                )
        return '\n'.join(lines) + '\n'

    def application(self) -> web.Application:
        """Return a web application that serves the metrics."""
        app = web.Application()

        async def respond(_request: web.Request) -> web.Response:
            return web.Response(text=self.render())

        app.router.add_get(PATH, respond)
        return app
