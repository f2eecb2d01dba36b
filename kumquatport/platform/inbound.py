"""HTTP endpoints of a process for the platform and backend servers."""

from collections import abc

import structlog
from aiohttp import web

from kumquatport import exceptions
from kumquatport.platform import heartbeat
from kumquatport.process.logs import faults
from kumquatport.process.packets import models

_LOGGER = structlog.get_logger(__name__)

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_UNAVAILABLE = 503


def ready(is_ready: abc.Callable[[], bool]) -> web.Application:
    """Return the application of the readiness check."""
    app = web.Application()

    async def get_ready(_request: web.Request) -> web.Response:
        return web.Response(status=_OK if is_ready() else _UNAVAILABLE)

    app.router.add_get('/ready', get_ready)
    return app


def heartbeats(
    on_heartbeat: abc.Callable[[models.BackendServerReport], bool],
    on_exit: abc.Callable[[str], None],
) -> web.Application:
    """Return the application that receives heartbeats of backend servers.

    Args:
        on_heartbeat: Called with each heartbeat; returns whether it, or a
            later one of its sender, is in force. A backend server that leaves
            takes a 2xx answer as an acknowledgement, so other heartbeats get
            none. Raises ``HeartbeatRejectedError`` if it is of another writer.
        on_exit: Called with the identifier of a backend server that announces
            its exit.
    """
    app = web.Application()
    report_refusal = faults.reporter(
        _LOGGER, 'heartbeat refused', 'heartbeat accepted again'
    )

    async def put_heartbeat(request: web.Request) -> web.Response:
        identifier = request.match_info['identifier']
        try:
            report = heartbeat.decode(identifier, await request.read())
            is_in_force = on_heartbeat(report)
        except exceptions.HeartbeatRejectedError as error:
            report_refusal(error, identifier)
            return web.json_response({}, status=_BAD_REQUEST)
        report_refusal(None, identifier)
        return web.json_response({}, status=_OK if is_in_force else _CONFLICT)

    async def delete_instance(request: web.Request) -> web.Response:
        on_exit(request.match_info['identifier'])
        return web.json_response({})

    instance_path = '/instances/{identifier}'
    app.router.add_put(instance_path, put_heartbeat)
    app.router.add_delete(instance_path, delete_instance)
    return app
