"""Stand-in of the platform's object API: versions, conditions, watches."""

import argparse
import asyncio
import base64
import collections
import contextlib
import time
import typing
from collections import abc

from aiohttp import web

from tests.standins import runner

MAX_VALUE_BYTES = 1 << 20
HEADER_VERSION = 'X-Object-Version'
MODES = ('up', 'down', 'slow')


class Entry(typing.NamedTuple):
    """One object, or what is left of it after a delete."""

    key: str
    version: int
    revision: int
    value: bytes
    deleted: bool


class Store:
    """Objects with versions; the revision counts all writes."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.changed = asyncio.Event()

    def live(self, key: str) -> Entry | None:
        entry = self.entries.get(key)
        return None if entry is None or entry.deleted else entry

    def write(self, key: str, value: bytes, *, deleted: bool = False) -> Entry:
        """Store a value, or a delete, under the next version."""
        before = self.entries.get(key)
        self.revision += 1
        entry = Entry(
            key,
            1 if before is None else before.version + 1,
            self.revision,
            value,
            deleted,
        )
        self.entries[key] = entry
        self.changed.set()
        self.changed = asyncio.Event()
        return entry

    def since(self, prefix: str, revision: int) -> list[Entry]:
        """List what changed after a revision, deletes among it."""
        found = [
            entry
            for entry in self.entries.values()
            if entry.revision > revision and entry.key.startswith(prefix)
        ]
        return sorted(found, key=lambda entry: entry.revision)


class Platform:
    """The object API with faults that tests switch on and off."""

    def __init__(self) -> None:
        self.store = Store()
        self.mode = 'up'
        self.delay_s = 0.0
        self.lose_answers = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._open: dict[int, web.Request] = {}
        self._started = time.monotonic()

    def application(self) -> web.Application:
        app = web.Application(
            middlewares=[self._middleware()],
            client_max_size=2 * MAX_VALUE_BYTES,
        )
        runner.add_control(app, self.control, self.report)
        app.router.add_get('/v1/objects', self._async_list)
        app.router.add_get('/v1/watch', self._async_watch)
        app.router.add_get('/v1/objects/{key:.+}', self._async_get)
        app.router.add_put('/v1/objects/{key:.+}', self._async_put)
        app.router.add_delete('/v1/objects/{key:.+}', self._async_delete)
        return app

    def control(self, order: dict) -> None:
        """Change the mode; ``down`` drops what is open, watches too."""
        mode = order.get('mode', self.mode)
        if mode not in MODES:
            raise ValueError(mode)
        self.mode = mode
        self.delay_s = float(order.get('delay_s', self.delay_s))
        self.lose_answers = int(order.get('lose_answers', self.lose_answers))
        if order.get('reset_counts'):
            self.counts.clear()
            self._started = time.monotonic()
        if mode == 'down':
            for request in tuple(self._open.values()):
                _drop(request)

    def report(self) -> dict:
        return {
            'calls': dict(self.counts),
            'mode': self.mode,
            'revision': self.store.revision,
            'objects': len(self.store.entries),
            'seconds': time.monotonic() - self._started,
        }

    def _middleware(self) -> typing.Any:
        @web.middleware
        async def _async_guard(
            request: web.Request, handler: abc.Callable
        ) -> web.StreamResponse:
            if request.path.startswith('/control'):
                return await handler(request)
            return await self._async_guarded(request, handler)

        return _async_guard

    async def _async_guarded(
        self, request: web.Request, handler: abc.Callable
    ) -> web.StreamResponse:
        self._open[id(request)] = request
        try:
            if self.mode == 'slow':
                await asyncio.sleep(self.delay_s)
            if self.mode == 'down':
                self.counts['dropped'] += 1
                return _drop(request)
            return await handler(request)
        finally:
            self._open.pop(id(request), None)

    async def _async_get(self, request: web.Request) -> web.Response:
        self.counts['get'] += 1
        entry = self.store.live(request.match_info['key'])
        if entry is None:
            return web.Response(status=404)
        return web.Response(
            body=entry.value, headers={HEADER_VERSION: str(entry.version)}
        )

    async def _async_put(self, request: web.Request) -> web.Response:
        self.counts['put'] += 1
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        if self._conflicts(request):
            self.counts['conflict'] += 1
            return web.Response(status=412)
        entry = self.store.write(request.match_info['key'], value)
        return self._answer_write(request, entry)

    async def _async_delete(self, request: web.Request) -> web.Response:
        self.counts['delete'] += 1
        if self._conflicts(request):
            self.counts['conflict'] += 1
            return web.Response(status=412)
        key = request.match_info['key']
        if self.store.live(key) is None:
            return web.Response(status=404)
        entry = self.store.write(key, b'', deleted=True)
        return self._answer_write(request, entry)

    async def _async_list(self, request: web.Request) -> web.Response:
        self.counts['list'] += 1
        prefix = request.query.get('prefix', '')
        entries = [
            entry for entry in self.store.since(prefix, 0) if not entry.deleted
        ]
        return _listing(self.store.revision, entries)

    async def _async_watch(self, request: web.Request) -> web.Response:
        self.counts['watch'] += 1
        prefix = request.query.get('prefix', '')
        since = int(request.query.get('since', 0))
        timeout = float(request.query.get('timeout', 30.0))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not self.store.since(prefix, since):
                    await self.store.changed.wait()
        return _listing(self.store.revision, self.store.since(prefix, since))

    def _conflicts(self, request: web.Request) -> bool:
        entry = self.store.live(request.match_info['key'])
        if request.headers.get('If-None-Match') == '*':
            return entry is not None
        expected = request.headers.get('If-Match')
        if expected is None:
            return False
        return entry is None or str(entry.version) != expected.strip('"')

    def _answer_write(self, request: web.Request, entry: Entry) -> web.Response:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.counts['lost_answer'] += 1
            return _drop(request)
        return web.Response(headers={HEADER_VERSION: str(entry.version)})


def _drop(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _listing(revision: int, entries: list[Entry]) -> web.Response:
    found = [
        {
            'key': entry.key,
            'version': entry.version,
            'value': base64.b64encode(entry.value).decode(),
            'deleted': entry.deleted,
        }
        for entry in entries
    ]
    return web.json_response({'revision': revision, 'objects': found})


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--listen',
        type=runner.parse_endpoint,
        default=('127.0.0.1', 9000),
        help='ADDRESS:PORT of the object API and /control',
    )
    options = parser.parse_args()

    @contextlib.asynccontextmanager
    async def _async_main() -> abc.AsyncIterator[None]:
        app = Platform().application()
        async with runner.async_serve(
            app, options.listen, handler_cancellation=True
        ):
            yield

    runner.run(_async_main)


if __name__ == '__main__':
    main()
