"""Stand-in for the platform's store, with pagination and watches.

Writes may be conditional on a revision.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import time
import typing
from collections import abc

from aiohttp import web

from tests.standins import runner

MAX_VALUE_BYTES = 1 << 20
PAGE_ENTRIES = 500
HISTORY_S = 20.0
MODES = ('up', 'down', 'slow')


class Entry(typing.NamedTuple):
    """An object, or the tombstone of a deleted one."""

    kind: str
    name: str
    created: int
    revision: int
    spec: typing.Any
    status: typing.Any
    deleted: bool
    written_at: float

    def as_json(self) -> dict:
        """Return the object as it appears in responses."""
        return {
            'meta': {
                'Name': self.name,
                'Revision': self.revision,
                'Created': self.created,
                'Finalizers': [],
                'Deleting': False,
            },
            'spec': self.spec,
            'status': self.status,
        }


class Store:
    """Objects by kind and name; each change increments the revision."""

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], Entry] = {}
        self.revision = 1
        self.compacted_revision = 0
        self.changed = asyncio.Event()

    def live(self, kind: str, name: str) -> Entry | None:
        entry = self.entries.get((kind, name))
        return None if entry is None or entry.deleted else entry

    def write(
        self,
        kind: str,
        name: str,
        spec: typing.Any,
        *,
        status: typing.Any = None,
        deleted: bool = False,
    ) -> Entry:
        """Store a value or a tombstone.

        A write of the stored values leaves the revision unchanged.
        """
        previous = self.live(kind, name)
        if (
            previous
            and not deleted
            and (previous.spec, previous.status)
            == (
                spec,
                status,
            )
        ):
            return previous
        self.revision += 1
        entry = Entry(
            kind,
            name,
            previous.created if previous else self.revision,
            self.revision,
            spec,
            status,
            deleted,
            time.monotonic(),
        )
        self.entries[kind, name] = entry
        self.changed.set()
        self.changed = asyncio.Event()
        return entry

    def changes_since(self, kind: str, revision: int) -> list[Entry]:
        """List the changes after a revision, including tombstones."""
        found = [
            entry
            for entry in self.entries.values()
            if entry.revision > revision and entry.kind == kind
        ]
        return sorted(found, key=lambda entry: entry.revision)

    def page(self, kind: str, after: str) -> tuple[list[Entry], bool]:
        """Return a page of objects in order of name, and whether more exist."""
        found = sorted(
            (
                entry
                for entry in self.entries.values()
                if entry.kind == kind
                and not entry.deleted
                and entry.name > after
            ),
            key=lambda entry: entry.name,
        )
        return found[:PAGE_ENTRIES], len(found) > PAGE_ENTRIES

    def compact(self) -> None:
        """Discard the history; watches from earlier revisions then fail."""
        self.compacted_revision = self.revision
        self.changed.set()
        self.changed = asyncio.Event()


class Platform:
    """Object API with faults that tests can switch on and off.

    Attributes:
        era: Value of the header ``Store-Era``; None leaves it out.
        era_after_list: Era from the end of the next list on; None for none.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.era: str | None = '1'
        self.era_after_list: str | None = None
        self.mode = 'up'
        self.delay_s = 0.0
        self.lose_answers = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._open: dict[int, web.Request] = {}
        self._started = time.monotonic()

    def application(self) -> web.Application:
        app = web.Application(
            middlewares=[self._middleware()],
            client_max_size=4 * MAX_VALUE_BYTES,
        )
        runner.add_control(app, self.control, self.report)
        one = '/objects/{kind}/{name}'
        app.router.add_get('/objects/{kind}', self._async_list)
        app.router.add_post('/objects/{kind}', self._async_post)
        app.router.add_get(one, self._async_get)
        app.router.add_put(one, self._async_put)
        app.router.add_put(f'{one}/status', self._async_put_status)
        app.router.add_delete(one, self._async_delete)
        return app

    def control(self, command: dict) -> None:
        """Change the mode; ``down`` aborts open requests and watches."""
        mode = command.get('mode', self.mode)
        if mode not in MODES:
            raise ValueError(mode)
        self.mode = mode
        self.delay_s = float(command.get('delay_s', self.delay_s))
        self.lose_answers = int(command.get('lose_answers', self.lose_answers))
        if command.get('forget'):
            self.store.compact()
        if command.get('reset_counts'):
            self.counts.clear()
            self._started = time.monotonic()
        if mode == 'down':
            for request in tuple(self._open.values()):
                _abort_connection(request)

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
        async def _async_filter(
            request: web.Request, handler: abc.Callable
        ) -> web.StreamResponse:
            if request.path.startswith('/control'):
                return await handler(request)
            return await self._async_handle(request, handler)

        return _async_filter

    async def _async_handle(
        self, request: web.Request, handler: abc.Callable
    ) -> web.StreamResponse:
        self._open[id(request)] = request
        try:
            if self.mode == 'slow':
                await asyncio.sleep(self.delay_s)
            if self.mode == 'down':
                self.counts['dropped'] += 1
                return _abort_connection(request)
            response = await handler(request)
            if self.era is not None:
                response.headers['Store-Era'] = self.era
            if request.method == 'GET' and self.era_after_list is not None:
                self.era, self.era_after_list = self.era_after_list, None
            return response
        finally:
            self._open.pop(id(request), None)

    async def _async_get(self, request: web.Request) -> web.Response:
        self.counts['get'] += 1
        entry = self.store.live(*_object_key(request))
        if entry is None:
            return web.Response(status=404)
        return web.json_response(entry.as_json())

    async def _async_post(self, request: web.Request) -> web.Response:
        self.counts['put'] += 1
        payload = json.loads(await request.read())
        kind, name = request.match_info['kind'], payload['meta']['Name']
        stored = self.store.live(kind, name)
        if stored is not None:
            return self._conflict_response(stored)
        entry = self.store.write(kind, name, payload.get('spec'))
        return self._write_response(request, entry)

    async def _async_put(self, request: web.Request) -> web.Response:
        self.counts['put'] += 1
        body = await request.read()
        if len(body) > 2 * MAX_VALUE_BYTES:
            return web.Response(status=413)
        payload = json.loads(body)
        stored = self.store.live(*_object_key(request))
        if stored is None:
            return web.Response(status=404)
        if self._is_conflict(request, payload, stored):
            return self._conflict_response(stored)
        entry = self.store.write(
            stored.kind, stored.name, payload.get('spec'), status=stored.status
        )
        return self._write_response(request, entry)

    async def _async_put_status(self, request: web.Request) -> web.Response:
        self.counts['put'] += 1
        payload = json.loads(await request.read())
        stored = self.store.live(*_object_key(request))
        if stored is None:
            return web.Response(status=404)
        if self._is_conflict(request, payload, stored):
            return self._conflict_response(stored)
        entry = self.store.write(
            stored.kind, stored.name, stored.spec, status=payload.get('status')
        )
        return self._write_response(request, entry)

    async def _async_delete(self, request: web.Request) -> web.Response:
        self.counts['delete'] += 1
        stored = self.store.live(*_object_key(request))
        if stored is None:
            return web.Response(status=404)
        if self._is_conflict(request, {}, stored):
            return self._conflict_response(stored)
        entry = self.store.write(stored.kind, stored.name, None, deleted=True)
        return self._write_response(request, entry)

    async def _async_list(self, request: web.Request) -> web.Response:
        if 'Watch' in request.query:
            return await self._async_watch(request)
        self.counts['list'] += 1
        kind = request.match_info['kind']
        entries, more = self.store.page(kind, request.query.get('after', ''))
        return web.json_response(
            {
                'items': [entry.as_json() for entry in entries],
                'HasMore': more,
                'StoreRevision': self.store.revision,
            }
        )

    async def _async_watch(self, request: web.Request) -> web.Response:
        self.counts['watch'] += 1
        kind = request.match_info['kind']
        since = int(request.query['Watch'])
        timeout = int(request.query.get('WaitMs', 30000)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while (
                    since >= self.store.compacted_revision
                    and not self.store.changes_since(kind, since)
                ):
                    await self.store.changed.wait()
        if since < self.store.compacted_revision:
            self.counts['gone'] += 1
            return web.Response(status=410)
        changed = [
            {'Object': entry.as_json(), 'Deleted': entry.deleted}
            for entry in self.store.changes_since(kind, since)
        ]
        return web.json_response(
            {'events': changed, 'StoreRevision': self.store.revision}
        )

    def _is_conflict(
        self, request: web.Request, payload: dict, stored: Entry
    ) -> bool:
        expected = request.query.get(
            'Revision', payload.get('meta', {}).get('Revision')
        )
        return expected is not None and int(expected) != stored.revision

    def _conflict_response(self, stored: Entry) -> web.Response:
        self.counts['conflict'] += 1
        return web.json_response(stored.as_json(), status=409)

    def _write_response(
        self, request: web.Request, entry: Entry
    ) -> web.Response:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.counts['lost_answer'] += 1
            return _abort_connection(request)
        return web.json_response(entry.as_json())


def _object_key(request: web.Request) -> tuple[str, str]:
    return request.match_info['kind'], request.match_info['name']


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


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
