"""Relay between a process and the platform that spoils updates of one key."""

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
    """What happens to the next update.

    Attributes:
        forwards: How often it reaches the platform.
        answers: Whether the caller gets the last answer.
        before: Runs before it reaches the platform.
        after: Runs before the caller learns anything.
        late: It reaches the platform after its connection broke.
        silent: From then on no call is answered, until healed.
    """

    forwards: int = 1
    answers: bool = True
    before: Hook | None = None
    after: Hook | None = None
    delayed: bool = False
    unresponsive: bool = False


class Update(typing.NamedTuple):
    """One update that reached the platform."""

    identifier: str
    status: int


class UpdateRelay:
    """Passes calls on; the plan applies to the next update of the key."""

    def __init__(self, platform_url: str) -> None:
        """Keep where calls go."""
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
        """Answer again, and spoil nothing more."""
        self._unresponsive = False
        self.faults = UpdateFaults()

    async def async_wait_delayed_updates(self) -> None:
        """Wait until late updates have arrived."""
        if self._delayed:
            await asyncio.wait(self._delayed)

    def was_applied(self, identifier: str) -> bool:
        """Tell what the platform said to the updates of an attempt."""
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
        plan, self.faults = self.faults, UpdateFaults()
        if plan.delayed:
            task = asyncio.create_task(
                self._async_send_delayed(request, body, UPDATE_DELAY_S)
            )
            self._delayed.add(task)
        if plan.before is not None:
            await plan.before()
        status, answer = 0, b''
        for _ in range(plan.forwards):
            status, answer = await self._async_forward(request, body)
            self.updates.append(Update(_identifier(body), status))
        if plan.after is not None:
            await plan.after()
        self._unresponsive = plan.unresponsive
        if not plan.answers:
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
    """Tell whether a call writes the document, and no audit entry."""
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
