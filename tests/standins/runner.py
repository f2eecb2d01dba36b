"""Helpers that run a stand-in and serve its control interface."""

import asyncio
import contextlib
import json
import resource
import signal
from collections import abc

from aiohttp import web

Main = abc.Callable[[], contextlib.AbstractAsyncContextManager[object]]
Endpoint = tuple[str, int]


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``ADDRESS:PORT``."""
    address, _, port = text.rpartition(':')
    return address, int(port)


def raise_file_limit() -> None:
    """Raise the limit of open files to the hard limit of the process."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run(main: Main) -> None:
    """Run the context manager until SIGTERM or SIGINT."""
    raise_file_limit()
    asyncio.run(_async_run(main))


async def _async_run(main: Main) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with main():
        await stop.wait()


@contextlib.asynccontextmanager
async def async_serve(
    app: web.Application,
    endpoint: Endpoint,
    **options: object,
) -> abc.AsyncIterator[web.AppRunner]:
    """Serve an aiohttp application on one endpoint."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=1.0, **options
    )
    await runner.setup()
    site = web.TCPSite(runner, *endpoint, backlog=1024, reuse_address=True)
    await site.start()
    try:
        yield runner
    finally:
        await runner.cleanup()


async def async_serve_in_background(
    app: web.Application, endpoint: Endpoint
) -> 'asyncio.Task[None]':
    """Start serving an application; cancel the returned task to stop."""
    started = asyncio.Event()

    async def _async_serve() -> None:
        async with async_serve(app, endpoint):
            started.set()
            await asyncio.Event().wait()

    task = asyncio.create_task(_async_serve())
    waiting = asyncio.create_task(started.wait())
    await asyncio.wait({task, waiting}, return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        waiting.cancel()
        task.result()
    return task


def control_app(
    apply: abc.Callable[[dict], None],
    counts: abc.Callable[[], dict],
) -> web.Application:
    """Build an application with ``/control`` and ``/control/counts``."""
    app = web.Application()
    add_control(app, apply, counts)
    return app


def add_control(
    app: web.Application,
    apply: abc.Callable[[dict], None],
    counts: abc.Callable[[], dict],
) -> None:
    """Add the control routes of a stand-in to its application."""

    async def _async_apply(request: web.Request) -> web.Response:
        try:
            apply(json.loads(await request.read()))
        except (KeyError, TypeError, ValueError) as error:
            return web.json_response({'fault': repr(error)}, status=400)
        return web.json_response(counts())

    async def _async_counts(request: web.Request) -> web.Response:
        return web.json_response(counts())

    app.router.add_post('/control', _async_apply)
    app.router.add_get('/control/counts', _async_counts)
