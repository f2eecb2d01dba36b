"""Send the metrics of a process by statsd once a second."""

import re
import typing

import mode
import statsd

from kumquatport.process.metrics import const, histograms, registry, usage
from kumquatport.process.settings import models

_UNSAFE: typing.Final = re.compile('[^A-Za-z0-9_-]')


class Flusher(mode.Service):
    """Sends what changed since the last flush; never waits, never fails."""

    def __init__(
        self,
        settings: models.StatsdSettings,
        metrics: registry.Registry,
        kind: str,
        instance: str,
    ) -> None:
        """Prepare to send under ``PREFIX.KIND.INSTANCE``.

        Args:
            settings: Receiver and prefix.
            metrics: What to send.
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
        # A full send buffer drops metrics instead of halting the process.
        self._client._sock.setblocking(False)  # noqa: SLF001

    async def on_stop(self) -> None:
        """Send the last of it."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    @mode.Service.timer(const.FLUSH_INTERVAL_S)
    async def _async_flush(self) -> None:
        self.flush()

    def flush(self) -> None:
        """Send counters, gauges and recent percentiles."""
        if self._client is None:
            return
        self._metrics.sample()
        pipe = self._client.pipeline()
        self._add_counters(pipe)
        for name, amount in self._metrics.gauges.items():
            pipe.gauge(name, amount)
        for summary in self._metrics.recent.summaries():
            _add_summary(pipe, summary)
        self._metrics.recent.reset()
        pipe.send()

    def _add_counters(self, pipe: statsd.StatsClient) -> None:
        for name, total in self._metrics.counters.items():
            change = total - self._sent_totals.get(name, 0)
            if change:
                pipe.incr(name, change)
                self._sent_totals[name] = total


def _add_summary(pipe: statsd.StatsClient, summary: histograms.Summary) -> None:
    base = (
        f'latency.{_clean(summary["client_account"])}.{_clean(summary["kind"])}'
    )
    pipe.incr(f'{base}.count', summary['count'])
    for name, micros in summary['percentiles_us'].items():
        pipe.gauge(f'{base}.{name}_us', micros)


def _clean(label: str) -> str:
    """Make one component of a metric's name."""
    return _UNSAFE.sub('_', label)
