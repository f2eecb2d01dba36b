"""The calls that the platform and backend servers make to a process."""

from collections import abc

import structlog
from aiohttp import web

from kumquatport import exceptions
from kumquatport.platform import heartbeat
from kumquatport.process.packets import models

_LOGGER = structlog.get_logger(__name__)

_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503


def ready(is_ready: abc.Callable[[], bool]) -> web.Application:
    """Return an application that answers whether a process takes packets."""
    app = web.Application()

    async def answer(_request: web.Request) -> web.Response:
        return web.Response(status=_OK if is_ready() else _UNAVAILABLE)

    app.router.add_get('/ready', answer)
    return app


def heartbeats(
    on_heartbeat: abc.Callable[[models.BackendServerReport], None],
    on_exit: abc.Callable[[str], None],
) -> web.Application:
    """Return an application that takes a backend server's heartbeats.

    Args:
        on_heartbeat: Called with each heartbeat.
        on_exit: Called with the identifier of one that says it exits.
    """
    app = web.Application()

    async def beat(request: web.Request) -> web.Response:
        identifier = request.match_info['identifier']
        try:
            report = heartbeat.decode(identifier, await request.read())
        except exceptions.HeartbeatRejectedError as error:
            _LOGGER.warning('heartbeat refused', error=error)
            return web.json_response({}, status=_BAD_REQUEST)
        on_heartbeat(report)
        return web.json_response({})

    async def gone(request: web.Request) -> web.Response:
        on_exit(request.match_info['identifier'])
        return web.json_response({})

    one = '/instances/{identifier}'
    app.router.add_put(one, beat)
    app.router.add_delete(one, gone)
    return app
