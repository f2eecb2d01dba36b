"""Periodic sending of the metrics of a process to statsd."""

import re
import typing

import mode
import statsd

from kumquatport.process.metrics import const, histograms, registry, usage
from kumquatport.process.settings import models

_UNSAFE_CHARACTERS: typing.Final = re.compile('[^A-Za-z0-9_-]')


class Flusher(mode.Service):
    """Sends metrics over UDP, without blocking and without raising errors."""

    def __init__(
        self,
        settings: models.StatsdSettings,
        metrics: registry.Registry,
        kind: str,
        instance: str,
    ) -> None:
        """Set the prefix ``PREFIX.KIND.INSTANCE``; open no socket yet.

        Args:
            settings: Address of the receiver, and the prefix.
            metrics: Metrics to send.
            kind: Kind of the program.
            instance: Name of the instance.
        """
        super().__init__()
        self._metrics = metrics
        self._sent_totals: dict[str, int] = {}
        self._settings = settings
        self._prefix = f'{settings.prefix}.{kind}.{_clean(instance)}'
        self._client: statsd.StatsClient | None = None
        metrics.add_sampler(lambda: usage.update_gauges(metrics))

    async def on_start(self) -> None:
        """Open the socket."""
        self._client = statsd.StatsClient(
            self._settings.host,
            self._settings.port,
            prefix=self._prefix,
            maxudpsize=const.MAX_UDP_BYTES,
        )
        # A full send buffer drops metrics instead of blocking the process.
        self._client._sock.setblocking(False)  # noqa: SLF001

    async def on_stop(self) -> None:
        """Flush once more and close the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    @mode.Service.timer(const.FLUSH_INTERVAL_S)
    async def _async_flush(self) -> None:
        self.flush()

    def flush(self) -> None:
        """Send changes of counters, all gauges and recent percentiles."""
        if self._client is None:
            return
        self._metrics.sample()
        pipeline = self._client.pipeline()
        self._add_counters(pipeline)
        for name, gauge_value in self._metrics.gauges.items():
            pipeline.gauge(name, gauge_value)
        for summary in self._metrics.recent.summaries():
            _add_summary(pipeline, summary)
        self._metrics.recent.reset()
        pipeline.send()

    def _add_counters(self, pipeline: statsd.StatsClient) -> None:
        for name, total in self._metrics.counters.items():
            change = total - self._sent_totals.get(name, 0)
            if change:
                pipeline.incr(name, change)
                self._sent_totals[name] = total


def _add_summary(
    pipeline: statsd.StatsClient, summary: histograms.Summary
) -> None:
    base = (
        f'latency.{_clean(summary["client_account"])}.{_clean(summary["kind"])}'
    )
    pipeline.incr(f'{base}.count', summary['count'])
    for name, value_us in summary['percentiles_us'].items():
        pipeline.gauge(f'{base}.{name}_us', value_us)


def _clean(label: str) -> str:
    """Return a label as a component of a metric name."""
    return _UNSAFE_CHARACTERS.sub('_', label)
