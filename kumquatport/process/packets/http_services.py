"""Services of a process that need the HTTP library.

The HTTP library takes longer to import than everything else. It is imported
after a restarted process has begun to answer its peers and to forward packets.
"""

from __future__ import annotations

import typing
from collections import abc

from kumquatport import objects
from kumquatport.process.packets import models

if typing.TYPE_CHECKING:
    from aiohttp import web

    from kumquatport.process.packets import metrics as metrics_module


class Store(objects.ObjectStore, typing.Protocol):
    """Client of the store, with connection pools to open and close."""

    @property
    def calls(self) -> abc.Mapping[str, int]:
        """Return the number of calls of each kind."""

    async def async_setup(self) -> None:
        """Open the connection pools."""

    async def async_stop(self) -> None:
        """Close the connection pools."""


class Server(typing.Protocol):
    """A running HTTP server."""

    async def cleanup(self) -> None:
        """Stop the server."""


class HttpServices(typing.NamedTuple):
    """Store client, metrics, and HTTP applications of a process.

    Attributes:
        store: Client of the platform's store, not set up yet.
        ready: Creates the application that answers readiness probes.
        heartbeats: Creates the application that receives heartbeats and exit
            notices of a backend server.
        metrics: Metrics of the process.
        async_serve: Serves an application; raises ``StartError``.
    """

    store: Store
    ready: abc.Callable[[abc.Callable[[], bool]], web.Application]
    heartbeats: abc.Callable[
        [
            abc.Callable[[models.BackendServerReport], bool],
            abc.Callable[[str], None],
        ],
        web.Application,
    ]
    metrics: metrics_module.Metrics
    async_serve: abc.Callable[
        [web.Application, models.Endpoint], abc.Awaitable[Server]
    ]


# Returns what a query is answered with as JSON, from the query's fields.
QueryHandler = abc.Callable[[abc.Mapping[str, str]], object]

Loader = abc.Callable[[], HttpServices]
