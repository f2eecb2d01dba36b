"""What a balancer and an agent have in common as processes."""

import gc
import typing
from collections import abc

import mode

from kumquatport.process.packets import (
    background_import,
    discovery,
    http_services,
    known_configuration,
    mesh,
    models,
    peer_link,
)


class MetricsSource(typing.Protocol):
    """Packet decisions that metrics show."""

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return how often each decision was taken."""

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the present state in numbers."""


class Node(mode.Service):
    """One process among the others, its sockets and HTTP servers."""

    def __init__(
        self, settings: models.Settings, kind: str, load: http_services.Loader
    ) -> None:
        """Build the parts; nothing runs yet.

        Args:
            settings: Of this process.
            kind: ``agent`` or ``balancer``.
            load: Loads what needs HTTP; called in a thread.
        """
        super().__init__()
        self._settings = settings
        self._configuration = known_configuration.KnownConfiguration(
            settings.instance
        )
        self._mesh = mesh.Mesh(settings, kind, self._configuration)
        self._link = peer_link.PeerLink(
            settings, self._configuration, self._mesh
        )
        self._load = load
        self._http_services: http_services.HttpServices | None = None
        self._close_callbacks: list[abc.Callable[[], None]] = []
        self._servers: list[http_services.Server] = []

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that run as long as this one."""
        return (self._link,)

    async def on_stop(self) -> None:
        """Close the sockets."""
        while self._close_callbacks:
            self._close_callbacks.pop()()
        for server in self._servers:
            await server.cleanup()
        if self._http_services is not None:
            await self._http_services.store.async_stop()

    async def _async_load(
        self, watched: MetricsSource
    ) -> http_services.HttpServices:
        """Load what needs HTTP and open the store and the metrics.

        Args:
            watched: Shown by the metrics.

        Raises:
            StartError: The port of the metrics cannot be had.
        """
        loaded = await background_import.async_run(self._load)
        _settle_memory()
        self._link.allow_fetches()
        await loaded.store.async_setup()
        self._http_services = loaded
        loaded.metrics.add_source('decisions', lambda: watched.counts)
        loaded.metrics.add_source('state', watched.gauges)
        loaded.metrics.add_source('store_calls', lambda: loaded.store.calls)
        port = self._settings.metrics_port
        if port:
            where = models.Endpoint(self._settings.address, port)
            metrics = loaded.metrics.application()
            self._servers.append(await loaded.async_serve(metrics, where))
        return loaded

    async def _async_discover(
        self, loaded: http_services.HttpServices
    ) -> discovery.Discovery:
        """Begin to find the others through the store."""
        found = discovery.Discovery(
            loaded.store,
            self._mesh,
            is_first_start=self._settings.is_first_start,
        )
        await self.add_runtime_dependency(found)
        return found


def _settle_memory() -> None:
    """Leave what was loaded out of later garbage collections.

    Modules live as long as the process, and going through them each time
    takes longer than all that a running process leaves behind.
    """
    gc.freeze()
    gc.enable()
