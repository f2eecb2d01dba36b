"""Relay to the platform that injects faults into document updates."""

import asyncio
import base64
import json
import typing
from collections import abc

import aiohttp
from aiohttp import web

UPDATE_PATHS = {
    'PUT': '/objects/config/document',
    'POST': '/objects/config',
}
UPDATE_DELAY_S = 0.3

Hook = abc.Callable[[], abc.Awaitable[object]]


class UpdateFaults(typing.NamedTuple):
    """Faults of the next update.

    Attributes:
        forwards: How many times it is forwarded to the platform.
        answers: Whether the client receives the last response.
        before: Called before it is forwarded.
        after: Called before the response is sent to the client.
        delayed: Whether it is also forwarded after a delay, when its
            connection has already broken.
        unresponsive: Whether all later calls fail until the faults are
            cleared.
    """

    forwards: int = 1
    answers: bool = True
    before: Hook | None = None
    after: Hook | None = None
    delayed: bool = False
    unresponsive: bool = False


class Update(typing.NamedTuple):
    """An update forwarded to the platform and its HTTP status."""

    identifier: str
    status: int


class UpdateRelay:
    """Forwards calls; the faults apply to the next document update."""

    def __init__(self, platform_url: str) -> None:
        self.faults = UpdateFaults()
        self.updates: list[Update] = []
        self._url = platform_url
        self._unresponsive = False
        self._delayed: set[asyncio.Task[Update]] = set()

    def application(self) -> web.Application:
        app = web.Application(client_max_size=2 << 20)
        app.router.add_route('*', '/{path:.*}', self._async_handle)
        return app

    def clear_faults(self) -> None:
        """Respond to calls again and inject no more faults."""
        self._unresponsive = False
        self.faults = UpdateFaults()

    async def async_wait_delayed_updates(self) -> None:
        """Wait until delayed updates have been forwarded."""
        if self._delayed:
            await asyncio.wait(self._delayed)

    def was_applied(self, identifier: str) -> bool:
        """Return whether the platform accepted an update of an attempt."""
        return Update(identifier, web.HTTPOk.status_code) in self.updates

    async def _async_handle(self, request: web.Request) -> web.StreamResponse:
        if self._unresponsive:
            return _abort_connection(request)
        body = await request.read()
        if _is_update(request, body):
            return await self._async_apply_faults(request, body)
        status, answer = await self._async_forward(request, body)
        return web.Response(status=status, body=answer)

    async def _async_apply_faults(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        faults, self.faults = self.faults, UpdateFaults()
        if faults.delayed:
            task = asyncio.create_task(
                self._async_send_delayed(request, body, UPDATE_DELAY_S)
            )
            self._delayed.add(task)
        if faults.before is not None:
            await faults.before()
        status, answer = 0, b''
        for _ in range(faults.forwards):
            status, answer = await self._async_forward(request, body)
            self.updates.append(Update(_identifier(body), status))
        if faults.after is not None:
            await faults.after()
        self._unresponsive = faults.unresponsive
        if not faults.answers:
            return _abort_connection(request)
        return web.Response(status=status, body=answer)

    async def _async_send_delayed(
        self, request: web.Request, body: bytes, delay_s: float
    ) -> Update:
        await asyncio.sleep(delay_s)
        status, _answer = await self._async_forward(request, body)
        update = Update(_identifier(body), status)
        self.updates.append(update)
        return update

    async def _async_forward(
        self, request: web.Request, body: bytes
    ) -> tuple[int, bytes]:
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                request.method, f'{self._url}{request.path_qs}', data=body
            ) as response,
        ):
            answer = await response.read()
        return response.status, answer


def _is_update(request: web.Request, body: bytes) -> bool:
    """Return whether a call writes the document, not an audit entry."""
    if request.path != UPDATE_PATHS.get(request.method):
        return False
    return json.loads(body)['meta']['Name'] == 'document'


def _identifier(body: bytes) -> str:
    data = base64.b64decode(json.loads(body)['spec']['data'])
    return json.loads(data)['identifier']


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=web.HTTPServiceUnavailable.status_code)
