"""Base of the balancer and agent processes."""

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
    """Source of the decision counters and gauges of a process."""

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return the number of times that each decision was taken."""

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the current values of the gauges."""


class Node(mode.Service):
    """A process with its mesh, sockets and HTTP servers."""

    def __init__(
        self, settings: models.Settings, kind: str, load: http_services.Loader
    ) -> None:
        """Create the components; nothing runs yet.

        Args:
            settings: Settings of this process.
            kind: ``agent`` or ``balancer``.
            load: Imports and creates the HTTP services; called in a thread.
        """
        super().__init__()
        self._settings = settings
        self._configuration = known_configuration.KnownConfiguration(
            settings.instance,
            settings.bounds.configuration_s,
            settings.bounds.evacuate_s,
        )
        self._mesh = mesh.Mesh(settings, kind, self._configuration)
        self._link = peer_link.PeerLink(
            settings, self._configuration, self._mesh
        )
        self._load = load
        self._http_services: http_services.HttpServices | None = None
        self._close_callbacks: list[abc.Callable[[], None]] = []
        self._servers: list[http_services.Server] = []
        self._query_handlers: dict[str, http_services.QueryHandler] = {}

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that start and stop with this one."""
        return (self._link,)

    async def on_stop(self) -> None:
        """Close the sockets, the HTTP servers and the store."""
        while self._close_callbacks:
            self._close_callbacks.pop()()
        for server in self._servers:
            await server.cleanup()
        if self._http_services is not None:
            await self._http_services.store.async_stop()

    async def _async_load(
        self, source: MetricsSource
    ) -> http_services.HttpServices:
        """Import the HTTP services, open the store and serve the metrics.

        Args:
            source: Source of the decision counters and gauges.

        Raises:
            StartError: The port of the metrics cannot be bound.
        """
        services = await background_import.async_run(self._load)
        _freeze_imported_objects()
        self._link.allow_fetches()
        await services.store.async_setup()
        self._http_services = services
        services.metrics.add_source('decisions', lambda: source.counts)
        services.metrics.add_source('state', source.gauges)
        services.metrics.add_source('store_calls', lambda: services.store.calls)
        for path, handler in self._query_handlers.items():
            services.metrics.add_handler(path, handler)
        port = self._settings.metrics_port
        if port:
            endpoint = models.Endpoint(self._settings.address, port)
            metrics = services.metrics.application()
            self._servers.append(await services.async_serve(metrics, endpoint))
        return services

    async def _async_discover(
        self, services: http_services.HttpServices
    ) -> discovery.Discovery:
        """Start the discovery of peers through the store."""
        peer_discovery = discovery.Discovery(
            services.store,
            self._mesh,
            is_first_start=self._settings.is_first_start,
        )
        await self.add_runtime_dependency(peer_discovery)
        return peer_discovery


def _freeze_imported_objects() -> None:
    """Exclude the imported modules from later garbage collections.

    Modules live as long as the process, and traversing them takes longer than
    collecting everything that a running process discards.
    """
    gc.freeze()
    gc.enable()
