"""What a process needs of HTTP, loaded after its packets flow.

The HTTP library takes longer to load than all the rest. A process that starts
again answers its peers and carries packets before that.
"""

from __future__ import annotations

import typing
from collections import abc

from kumquatport import objects
from kumquatport.process.packets import models

if typing.TYPE_CHECKING:
    from aiohttp import web

    from kumquatport.process.packets import metrics as figures_module


class Store(objects.ObjectStore, typing.Protocol):
    """Access to the store, with connections to open and close."""

    @property
    def calls(self) -> abc.Mapping[str, int]:
        """Return how many calls of each kind were made."""

    async def async_setup(self) -> None:
        """Open the connection pools."""

    async def async_stop(self) -> None:
        """Close the connection pools."""


class Server(typing.Protocol):
    """An HTTP server that runs."""

    async def cleanup(self) -> None:
        """Stop it."""


class HttpServices(typing.NamedTuple):
    """The store, and the calls of the platform and of backend servers.

    Attributes:
        store: The platform's store, not set up yet.
        ready: Builds the application that answers whether this process takes
            packets.
        heartbeats: Builds the application that takes heartbeats, and the word
            that a backend server exits.
        metrics: What the metrics show.
        async_serve: Serves an application; raises ``StartError``.
    """

    store: Store
    ready: abc.Callable[[abc.Callable[[], bool]], web.Application]
    heartbeats: abc.Callable[
        [
            abc.Callable[[models.BackendServerReport], None],
            abc.Callable[[str], None],
        ],
        web.Application,
    ]
    metrics: figures_module.Metrics
    async_serve: abc.Callable[
        [web.Application, models.Endpoint], abc.Awaitable[Server]
    ]


Loader = abc.Callable[[], HttpServices]
