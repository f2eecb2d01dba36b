"""HTTP server for the platform and backend servers."""

import typing

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.packets import models

# Seconds that open requests may take to end at shutdown.
SHUTDOWN_TIMEOUT_S: typing.Final = 0.1


async def async_serve(
    app: web.Application, endpoint: models.Endpoint
) -> web.AppRunner:
    """Serve an application until its runner is cleaned up.

    Raises:
        StartError: The address or port cannot be bound.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, endpoint.address, endpoint.port).start()
    except OSError as error:
        raise exceptions.StartError(
            f'cannot bind {endpoint.address}:{endpoint.port}'
        ) from error
    return runner
