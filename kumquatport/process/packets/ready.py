"""Whether this process takes packets, over HTTP."""

from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.packets import models

PATH_READY = '/ready'


async def async_serve(
    app: web.Application, endpoint: models.Endpoint
) -> web.AppRunner:
    """Serve an application until its runner is cleaned up.

    Raises:
        StartError: The address or port cannot be had.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(
            runner, endpoint.address, endpoint.port, backlog=128
        ).start()
    except OSError as error:
        raise exceptions.StartError(
            f'cannot bind {endpoint.address}:{endpoint.port}'
        ) from error
    return runner


def application(is_ready: abc.Callable[[], bool]) -> web.Application:
    """Return an application that answers whether this process is ready."""
    app = web.Application()

    async def answer(_request: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app.router.add_get(PATH_READY, answer)
    return app
