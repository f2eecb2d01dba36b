"""Stand-in for a backend server: HTTP/1.1, slots and cold start."""

import argparse
import asyncio
import collections
import contextlib
import typing
from collections import abc

from aiohttp import web

from tests import clocks
from tests.standins import capacity, health, pull, runner

SAMPLE_S = 0.1
RETRY_AFTER_S = 1
MAX_CONNECTIONS = 2000
HEADER_DEADLINE = 'X-Deadline'
HEADER_KEY = 'Idempotency-Key'
HEADER_SERVICE = 'X-Kumquatport-Service'
STREAMING = web.RequestKey('streaming', bool)

Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]


class Identity(typing.NamedTuple):
    """Name of a backend server and of the service it belongs to."""

    name: str
    service: str


class BackendServer:
    """Serves orders, feeds, pulls and short responses, and counts requests."""

    def __init__(
        self,
        identity: Identity,
        profile: capacity.Profile,
        seed: int = 0,
        feed_interval_s: float = 1.0,
    ) -> None:
        self.identity = identity
        self.capacity = capacity.Capacity(profile, seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.completed: collections.Counter[str] = collections.Counter()
        self.client_accounts: collections.Counter[str] = collections.Counter()
        self.runner: web.AppRunner | None = None
        self._feed_interval_s = feed_interval_s
        self._open_feeds = 0
        self._in_progress = 0
        self._reports_cold = True
        self._leaving_since: float | None = None
        self._last_request_at: float | None = None
        self._peak_connections = 0
        self.reporter = health.Reporter(self._current_report)

    @property
    def leaving(self) -> bool:
        return self._leaving_since is not None

    @property
    def connections(self) -> int:
        if self.runner is None or self.runner.server is None:
            return 0
        return len(self.runner.server.connections)

    def application(self) -> web.Application:
        app = web.Application(middlewares=[self._middleware()])
        runner.add_control(app, self.control, self.report)
        app.router.add_get('/health', self._async_health)
        app.router.add_get('/feed', self._async_feed)
        app.router.add_get('/pull/{name}', self._async_pull)
        app.router.add_post('/orders', self._async_order)
        app.router.add_route('*', '/{path:.*}', self._async_small)
        return app

    def control(self, command: dict) -> None:
        """Apply a control command from a test.

        Args:
            command: ``cold`` (true restarts the warm-up), ``announced`` (whether
                the health report says so), ``report`` (mode of the health
                report) with ``delay_s``, ``leaving``, ``service_s`` and
                ``reset_counts``; all optional.
        """
        if command.get('cold'):
            self._reports_cold = bool(command.get('announced', False))
            self.capacity.set_cold()
        if 'report' in command:
            delay_s = float(command.get('delay_s', 0))
            self.reporter.set_mode(command['report'], delay_s)
        if 'leaving' in command:
            self._leaving_since = clocks.now() if command['leaving'] else None
        if 'service_s' in command:
            self.capacity.profile = self.capacity.profile._replace(
                service_s=float(command['service_s'])
            )
        if command.get('reset_counts'):
            self.counts.clear()
            self.capacity.peak_running = self.capacity.running

    def report(self) -> dict:
        kinds = ('orders', 'small', 'pulls', 'feeds', 'wrong_service')
        kinds += ('cancelled', 'deadline_exceeded', 'shed', 'after_leaving')
        return {
            'name': self.identity.name,
            'service': self.identity.service,
            **{kind: self.counts[kind] for kind in kinds},
            **self.counts,
            'runs': dict(self.runs),
            'completed': dict(self.completed),
            'client_accounts': dict(self.client_accounts),
            'collapses': self.capacity.collapses,
            'running': self.capacity.running,
            'waiting': self.capacity.waiting,
            'started': self.capacity.started,
            'peak_concurrency': self.capacity.peak_running,
            'peak_waiting': self.capacity.peak_waiting,
            'factor': self.capacity.factor,
            'feeds_open': self._open_feeds,
            'in_progress': self._in_progress,
            'connections': self.connections,
            'peak_connections': self._peak_connections,
            'leaving_s': _elapsed_s(self._leaving_since),
            'last_new_work_s': _elapsed_s(self._last_request_at),
            'state': self._state(),
        }

    async def async_sample(self) -> None:
        """Sample the state for delayed health reports until cancelled."""
        while True:
            self.reporter.sample()
            await asyncio.sleep(SAMPLE_S)

    async def async_drain(self, timeout_s: float) -> None:
        """Start leaving and wait until no request is in progress."""
        self._leaving_since = self._leaving_since or clocks.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._in_progress:
                    await asyncio.sleep(SAMPLE_S)

    def _current_report(self) -> health.Report:
        return health.Report(self._state(), self.capacity.load)

    def _state(self) -> str:
        if self.leaving:
            return 'leaving'
        return 'cold' if self.capacity.cold and self._reports_cold else 'ready'

    def _middleware(self) -> typing.Any:
        @web.middleware
        async def _async_filter(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            exempt = request.path.startswith(('/control', '/health'))
            if exempt:
                return await handler(request)
            return await self._async_handle(request, handler)

        return _async_filter

    async def _async_handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self._peak_connections = max(self._peak_connections, self.connections)
        service = request.headers.get(HEADER_SERVICE, self.identity.service)
        if service != self.identity.service:
            self.counts['wrong_service'] += 1
            return web.Response(status=421)
        if self.connections > MAX_CONNECTIONS:
            self.counts['over_connections'] += 1
            return self._shed()
        self._count_request(request)
        self._in_progress += 1
        try:
            return await self._async_handle_with_deadline(request, handler)
        except capacity.ShedError:
            return self._shed()
        except (asyncio.CancelledError, ConnectionError):
            self.counts['cancelled'] += 1
            raise
        finally:
            self._in_progress -= 1

    async def _async_handle_with_deadline(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        deadline = request.headers.get(HEADER_DEADLINE)
        if deadline is None:
            return await handler(request)
        try:
            async with asyncio.timeout(float(deadline)):
                return await handler(request)
        except TimeoutError:
            self.counts['deadline_exceeded'] += 1
            if request.get(STREAMING) and request.transport is not None:
                request.transport.abort()
            return web.Response(status=504)

    def _count_request(self, request: web.Request) -> None:
        self._last_request_at = clocks.now()
        self.client_accounts[request.headers.get('x-client-account', '')] += 1
        if self.leaving:
            self.counts['after_leaving'] += 1

    def _shed(self) -> web.Response:
        self.counts['shed'] += 1
        return web.Response(
            status=503, headers={'Retry-After': str(RETRY_AFTER_S)}
        )

    async def _async_health(self, request: web.Request) -> web.Response:
        return web.json_response(self.reporter.report()._asdict())

    async def _async_order(self, request: web.Request) -> web.Response:
        self.counts['orders'] += 1
        key = request.headers.get(HEADER_KEY, '')
        await request.read()
        async with self.capacity.slot():
            # An order counts as run as soon as it holds a slot.
            self.runs[key] += 1
            await self.capacity.async_process_request()
            self.completed[key] += 1
        return web.json_response(
            {'key': key, 'run': self.runs[key], 'server': self.identity.name}
        )

    async def _async_small(self, request: web.Request) -> web.Response:
        self.counts['small'] += 1
        await request.read()
        async with self.capacity.slot():
            await self.capacity.async_process_request()
        return web.json_response(
            {
                'path': request.path_qs,
                'service': self.identity.service,
                'server': self.identity.name,
                'echo': request.headers.get('x-echo', ''),
            }
        )

    async def _async_pull(self, request: web.Request) -> web.StreamResponse:
        self.counts['pulls'] += 1
        name = request.match_info['name']
        size = int(request.query.get('bytes', 0))
        async with self.capacity.slot():
            await self.capacity.async_process_request()
            response = web.StreamResponse(
                headers={
                    'X-Checksum': pull.checksum(name, size),
                    'Content-Length': str(size),
                }
            )
            request[STREAMING] = True
            await response.prepare(request)
            for chunk in pull.chunks(name, size):
                await response.write(chunk)
            await response.write_eof()
        return response

    async def _async_feed(self, request: web.Request) -> web.StreamResponse:
        self.counts['feeds'] += 1
        response = web.StreamResponse()
        request[STREAMING] = True
        await response.prepare(request)
        self._open_feeds += 1
        line = 0
        try:
            while True:
                text = f'{self.identity.name} {line}\n'
                await response.write(text.encode())
                line += 1
                await asyncio.sleep(self._feed_interval_s)
        finally:
            self._open_feeds -= 1


def _elapsed_s(moment: float | None) -> float | None:
    return None if moment is None else clocks.now() - moment


def parse_options(
    arguments: abc.Sequence[str] | None = None,
) -> argparse.Namespace:
    """Parse the given arguments, or else those of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', default='backend-server-1')
    parser.add_argument('--service', default='storefront')
    parser.add_argument(
        '--listen',
        type=runner.parse_endpoint,
        default=('127.0.0.1', 8000),
        help='ADDRESS:PORT',
    )
    parser.add_argument('--cold', action='store_true', help='start cold')
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--feed-interval-s', type=float, default=1.0)
    parser.add_argument('--drain-timeout-s', type=float, default=30.0)
    for field, default in capacity.Profile._field_defaults.items():
        flag = f'--{field.replace("_", "-")}'
        parser.add_argument(flag, type=type(default), default=default)
    return parser.parse_args(arguments)


@contextlib.asynccontextmanager
async def async_serve(
    options: argparse.Namespace,
) -> abc.AsyncIterator[BackendServer]:
    """Serve in the running event loop; drain requests on exit."""
    profile = capacity.Profile(
        *[getattr(options, field) for field in capacity.Profile._fields]
    )
    server = BackendServer(
        Identity(options.name, options.service),
        profile,
        options.seed,
        options.feed_interval_s,
    )
    if options.cold:
        server.control({'cold': True, 'announced': True})
    async with runner.async_serve(
        server.application(), options.listen, handler_cancellation=True
    ) as app_runner:
        server.runner = app_runner
        sampling = asyncio.create_task(server.async_sample())
        yield server
        await server.async_drain(options.drain_timeout_s)
        sampling.cancel()


def main() -> None:
    """Run the stand-in from the command line."""
    options = parse_options()
    runner.run(lambda: async_serve(options))


if __name__ == '__main__':
    main()
