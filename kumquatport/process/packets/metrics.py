"""Counters, gauges and histograms of a process, exported as text over HTTP."""

import typing
from collections import abc

import msgspec
from aiohttp import web
from hdrh import histogram

from kumquatport import exceptions
from kumquatport.process.packets import http_services

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

_CONTENT_TYPE: typing.Final = 'application/json'
_BAD_REQUEST: typing.Final = 400


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Start without metrics."""
        self._sources: dict[str, CounterSource] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._handlers: dict[str, http_services.QueryHandler] = {}

    def add_source(self, name: str, source: CounterSource) -> None:
        """Register a family of counters or gauges.

        Args:
            name: Name of the family.
            source: Returns the values by label.
        """
        self._sources[name] = source

    def add_handler(
        self, path: str, handler: http_services.QueryHandler
    ) -> None:
        """Serve a query beside the metrics.

        Args:
            path: Path of the query.
            handler: Called for each query. A ``KumquatportError`` that it
                raises is answered with its code.
        """
        self._handlers[path] = handler

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
        """Return a web application that serves metrics and queries."""
        app = web.Application()

        async def respond(_request: web.Request) -> web.Response:
            return web.Response(text=self.render())

        app.router.add_get(PATH, respond)
        for path, handler in self._handlers.items():
            app.router.add_get(path, _responder(handler))
        return app


def _responder(
    handler: http_services.QueryHandler,
) -> abc.Callable[[web.Request], abc.Awaitable[web.Response]]:
    async def respond(request: web.Request) -> web.Response:
        try:
            answer, status = handler(request.query), 200
        except exceptions.KumquatportError as error:
            answer = {'error': error.code, 'message': str(error)}
            status = _BAD_REQUEST
        return web.Response(
            body=msgspec.json.encode(answer),
            content_type=_CONTENT_TYPE,
            status=status,
        )

    return respond
