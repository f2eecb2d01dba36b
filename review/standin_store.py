"""Stand-in for the platform's metadata store (PROTOCOL.md, objects form)."""

import asyncio
import copy
import json
import urllib.parse

HISTORY_S = 20.0


class Store:
    """Objects by kind and name, one revision counter, watches, and an era.

    The operator writes by ``put`` and ``delete``; a return is the
    acknowledgement. ``take_copy`` and ``restore`` play the drill in which the
    store comes back from a copy some seconds old.
    """

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.revision = 500
        self.era = 1
        self.objects = {}
        self.history = []
        self.calls = []
        self._connections = set()
        self._changed = asyncio.Event()
        self._server = None
        self._loop = asyncio.get_running_loop()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )

    async def go_down(self):
        """Refuse new connections and reset the open ones."""
        self._server.close()
        self._server = None
        for writer in tuple(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    def take_copy(self):
        return copy.deepcopy((self.revision, self.objects, self.history))

    def restore(self, saved):
        self.revision, self.objects, self.history = copy.deepcopy(saved)
        self.era += 1

    def put(self, kind, name, spec):
        """Write an object as the operator; return its revision."""
        found = self.objects.get((kind, name))
        if found is not None and found['spec'] == spec:
            return found['meta']['Revision']
        return self._write(kind, name, spec, found)['meta']['Revision']

    def delete(self, kind, name):
        """Delete an object as the operator; return the revision."""
        self._remove(kind, name)
        return self.revision

    def names(self, kind):
        return sorted(name for found, name in self.objects if found == kind)

    def _write(self, kind, name, spec, found):
        self.revision += 1
        entry = {
            'meta': {
                'Name': name,
                'Revision': self.revision,
                'Created': found['meta']['Created'] if found else self.revision,
                'Finalizers': [],
                'Deleting': False,
            },
            'spec': spec,
            'status': found['status'] if found else None,
        }
        self.objects[kind, name] = entry
        self._note(kind, entry, deleted=False)
        return entry

    def _remove(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry is None:
            return
        self.revision += 1
        entry = copy.deepcopy(entry)
        entry['meta']['Revision'] = self.revision
        self._note(kind, entry, deleted=True)

    def _note(self, kind, entry, *, deleted):
        now = self._loop.time()
        self.history.append(
            (self.revision, now, kind, copy.deepcopy(entry), deleted)
        )
        while self.history and self.history[0][1] < now - HISTORY_S:
            self.history.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                line, *rows = head.split('\r\n')
                headers = {
                    row.partition(':')[0].lower(): row.partition(':')[2].strip()
                    for row in rows
                    if row
                }
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                method, target, _ = line.split(' ')
                status, answer = await self._answer(method, target, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    (
                        f'HTTP/1.1 {status} X\r\n'
                        'Content-Type: application/json\r\n'
                        f'Store-Era: {self.era}\r\n'
                        f'Content-Length: {len(payload)}\r\n\r\n'
                    ).encode()
                    + payload
                )
                await writer.drain()
                if headers.get('connection', '').lower() == 'close':
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(one) for one in url.path.split('/')[2:]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else ''
        self.calls.append((round(self._loop.time(), 3), method, target))
        await asyncio.sleep(0.004)
        if method == 'GET' and not name:
            if 'Watch' in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get('after', ''))
        sent = json.loads(body) if body else {}
        if method == 'POST':
            name = sent['meta']['Name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self._write(kind, name, sent.get('spec'), None)
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if method == 'GET':
            return 200, found
        expected = query.get('Revision', sent.get('meta', {}).get('Revision'))
        if expected is not None and int(expected) != found['meta']['Revision']:
            return 409, found
        if method == 'DELETE':
            self._remove(kind, name)
            return 200, found
        if found['spec'] == sent.get('spec'):
            return 200, found
        return 200, self._write(kind, name, sent.get('spec'), found)

    def _list(self, kind, after):
        items = [
            entry
            for (found, name), entry in sorted(self.objects.items())
            if found == kind and name > after
        ]
        return 200, {
            'items': items[:500],
            'HasMore': len(items) > 500,
            'StoreRevision': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        until = self._loop.time() + int(query.get('WaitMs', 30000)) / 1000
        era = self.era
        while True:
            oldest = self.history[0][0] if self.history else self.revision + 1
            if since > self.revision or since < oldest - 1 or era != self.era:
                return 410, {}
            events = [
                {'Deleted': deleted, 'Object': entry}
                for revision, _, found, entry, deleted in self.history
                if found == kind and revision > since
            ]
            left = until - self._loop.time()
            if events or left <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
