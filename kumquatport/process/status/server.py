"""HTTP server for the local status request."""

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
    """Answers ``GET /status`` and ``GET /metrics.json``."""

    def __init__(
        self,
        address: str,
        port: int,
        build: abc.Callable[[], models.Status],
        metrics: registry.Registry,
    ) -> None:
        """Prepare to listen.

        Args:
            address: IPv4 address to listen on.
            port: TCP port to listen on.
            build: Returns the present status; called for each request.
            metrics: Answered at ``/metrics.json``.
        """
        super().__init__()
        self._address = address
        self._port = port
        self._build_status = build
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Listen.

        Raises:
            StartError: The port is taken or the address is not ours.
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
                f'status on {self._address}:{self._port}: {err.strerror}'
            ) from err

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _async_handle_status(self, _request: web.Request) -> web.Response:
        return _json_response(self._build_status())

    async def _async_handle_metrics(
        self, _request: web.Request
    ) -> web.Response:
        return _json_response(self._metrics.snapshot())


def _json_response(answer: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(answer), content_type=_JSON)
