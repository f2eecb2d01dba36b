"""HTTP server for the status and metrics of a process."""

import typing
from collections import abc

import mode
import msgspec
from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.metrics import registry
from kumquatport.process.status import const, models

_JSON: typing.Final = 'application/json'


class Server(mode.Service):
    """Serves ``GET /status`` and ``GET /metrics.json``."""

    def __init__(
        self,
        address: str,
        port: int,
        build_status: abc.Callable[[], models.Status],
        metrics: registry.Registry,
    ) -> None:
        """Create the server without listening yet.

        Args:
            address: IPv4 address to listen on.
            port: TCP port to listen on.
            build_status: Returns the current status; called for each request.
            metrics: Metrics served at ``/metrics.json``.
        """
        super().__init__()
        self._address = address
        self._port = port
        self._build_status = build_status
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start to listen.

        Raises:
            StartError: The port is in use, or the address is not assigned to
                this host.
        """
        app = web.Application(client_max_size=const.MAX_REQUEST_BYTES)
        app.router.add_get(const.PATH_STATUS, self._async_handle_status)
        app.router.add_get(const.PATH_METRICS, self._async_handle_metrics)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=const.SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address, self._port)
        try:
            await site.start()
        except OSError as err:
            await self._runner.cleanup()
            raise exceptions.StartError(
                'status server cannot listen on '
                f'{self._address}:{self._port}: {err.strerror}'
            ) from err

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _async_handle_status(self, _request: web.Request) -> web.Response:
        return _json_response(self._build_status())

    async def _async_handle_metrics(
        self, _request: web.Request
    ) -> web.Response:
        return _json_response(self._metrics.snapshot())


def _json_response(content: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(content), content_type=_JSON)
