"""Counters, gauges and histograms of a process, as text over HTTP."""

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

# Histograms kept apart; further labels share one.
MAX_HISTOGRAMS: typing.Final = 64
OTHER: typing.Final = 'other'

CounterSource = abc.Callable[[], abc.Mapping[str, float]]


class Metrics:
    """What one process counts and measures."""

    def __init__(self) -> None:
        """Start without figures."""
        self._sources: dict[str, CounterSource] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def add_source(self, name: str, source: CounterSource) -> None:
        """Show counters or gauges.

        Args:
            name: Of the family.
            source: Returns the figures by label.
        """
        self._sources[name] = source

    def observer(self, name: str) -> abc.Callable[[str, float], None]:
        """Return a function that records seconds under a label.

        Args:
            name: Of the family of histograms.
        """

        def observe(label: str, seconds: float) -> None:
            key = (name, label)
            made = self._histograms.get(key)
            if made is None and len(self._histograms) >= MAX_HISTOGRAMS:
                key = (name, OTHER)
                made = self._histograms.get(key)
            if made is None:
                made = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._histograms[key] = made
            made.record_value(min(int(seconds * US_PER_S) + 1, HIGHEST_US))

        return observe

    def render(self) -> str:
        """Return all figures, a line each."""
        lines = [
            f'{PREFIX}_{name}{{of="{label}"}} {figure:g}'
            for name, source in self._sources.items()
            for label, figure in sorted(source().items())
        ]
        for (name, label), made in self._histograms.items():
            total = made.get_total_count()
            lines.append(f'{PREFIX}_{name}_count{{of="{label}"}} {total}')
            for share in PERCENTILES:
                found = made.get_value_at_percentile(share)
                lines.append(
                    f'{PREFIX}_{name}_us{{of="{label}",'
                    f'percentile="{share:g}"}} {found}'
                )
        return '\n'.join(lines) + '\n'

    def application(self) -> web.Application:
        """Return an application that answers with the figures."""
        app = web.Application()

        async def answer(_request: web.Request) -> web.Response:
            return web.Response(text=self.render())

        app.router.add_get(PATH, answer)
        return app
