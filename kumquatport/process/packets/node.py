"""What a balancer and an agent have in common as processes."""

import gc
import typing
from collections import abc

import mode

from kumquatport.process.packets import (
    beliefs,
    discovery,
    loading,
    mesh,
    models,
    outside,
    peer_link,
)


class Watched(typing.Protocol):
    """Packet decisions that metrics show."""

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return how often each decision was taken."""

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the present state in numbers."""


class Node(mode.Service):
    """One process among the others, its sockets and HTTP servers."""

    def __init__(
        self, settings: models.Settings, kind: str, load: outside.Load
    ) -> None:
        """Build the parts; nothing runs yet.

        Args:
            settings: Of this process.
            kind: ``agent`` or ``balancer``.
            load: Loads what needs HTTP; called in a thread.
        """
        super().__init__()
        self._settings = settings
        self._beliefs = beliefs.Beliefs(settings.instance)
        self._mesh = mesh.Mesh(settings, kind, self._beliefs)
        self._link = peer_link.PeerLink(settings, self._beliefs, self._mesh)
        self._load = load
        self._outside: outside.Outside | None = None
        self._undo: list[abc.Callable[[], None]] = []
        self._servers: list[outside.Server] = []

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that run as long as this one."""
        return (self._link,)

    async def on_stop(self) -> None:
        """Close the sockets."""
        while self._undo:
            self._undo.pop()()
        for server in self._servers:
            await server.cleanup()
        if self._outside is not None:
            await self._outside.store.async_stop()

    async def _async_load(self, watched: Watched) -> outside.Outside:
        """Load what needs HTTP and open the store and the metrics.

        Args:
            watched: Shown by the metrics.

        Raises:
            StartError: The port of the metrics cannot be had.
        """
        loaded = await loading.async_load(self._load)
        _settle_memory()
        self._link.allow_fetches()
        await loaded.store.async_setup()
        self._outside = loaded
        loaded.figures.count('decisions', lambda: watched.counts)
        loaded.figures.count('state', watched.gauges)
        loaded.figures.count('store_calls', lambda: loaded.store.calls)
        port = self._settings.metrics_port
        if port:
            where = models.Endpoint(self._settings.address, port)
            metrics = loaded.figures.application()
            self._servers.append(await loaded.async_serve(metrics, where))
        return loaded

    async def _async_discover(
        self, loaded: outside.Outside
    ) -> discovery.Discovery:
        """Begin to find the others through the store."""
        found = discovery.Discovery(
            loaded.store, self._mesh, is_first=self._settings.is_first_start
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
