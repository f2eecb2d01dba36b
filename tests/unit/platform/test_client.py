"""The platform client against a fake platform with injected faults."""

import asyncio
import types
import unittest

from kumquatport import exceptions
from kumquatport.platform import client
from tests import network
from tests.standins import platform, runner

ENDPOINT = network.claim_network('platform').platform


class LostResponseTest(unittest.IsolatedAsyncioTestCase):
    """The outcome of a write with a lost response is unknown, not a conflict.

    The HTTP library resends a PUT whose connection was closed; the resent
    conditional update would conflict with the first one.
    """

    async def asyncSetUp(self):
        self.platform = platform.Platform()
        app = self.platform.application()
        await self.enterAsyncContext(
            runner.async_serve(app, ENDPOINT, handler_cancellation=True)
        )
        self.client = client.PlatformClient(
            'http://{}:{}'.format(*ENDPOINT), 2.0
        )
        await self.client.async_setup()
        self.addAsyncCleanup(self.client.async_stop)

    async def test_update(self):
        version = await self.client.async_put('a/b', b'0', 0)
        self.platform.control({'lose_answers': 1})
        with self.assertRaises(exceptions.OutcomeUnknownError):
            await self.client.async_put('a/b', b'1', version)
        self.assertEqual(self.platform.counts['put'], 2)
        stored = await self.client.async_get('a/b')
        self.assertEqual((stored.version, stored.value), (2, b'1'))

    async def test_delete(self):
        await self.client.async_put('a/b', b'0', 0)
        self.platform.control({'lose_answers': 1})
        with self.assertRaises(exceptions.OutcomeUnknownError):
            await self.client.async_delete('a/b', 1)
        self.assertEqual(self.platform.counts['delete'], 1)


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A connection that went silent while it was idle delays no read."""

    ANSWERS = types.MappingProxyType(
        {
            'list': b'{"items":[],"StoreRevision":1}',
            'watch': b'{"events":[],"StoreRevision":1}',
        }
    )

    async def asyncSetUp(self):
        self.answer = b''
        self.connections = []
        self.silent = set()
        server = await asyncio.start_server(self._async_serve, *ENDPOINT)
        self.addCleanup(server.close)
        self.client = client.PlatformClient(
            'http://{}:{}'.format(*ENDPOINT), 2.0
        )
        await self.client.async_setup()
        self.addAsyncCleanup(self.client.async_stop)

    async def _async_serve(self, reader, writer):
        self.connections.append(writer)
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                writer.close()
                return
            if writer in self.silent:
                continue
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
                % (len(self.answer), self.answer)
            )

    async def test_read_does_not_use_a_connection_that_went_silent(self):
        for _ in range(3):
            self.answer = self.ANSWERS['list']
            await self.client.async_list('a/')
            self.answer = self.ANSWERS['watch']
            await self.client.async_watch('a/', 1, 0.0)
            self.silent.update(self.connections)
            self.answer = self.ANSWERS['list']
            async with asyncio.timeout(1):
                await self.client.async_list('a/')
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await self.client.async_watch('a/', 1, -1.8)

    async def test_watches_use_one_connection(self):
        self.answer = self.ANSWERS['watch']
        for _ in range(3):
            await self.client.async_watch('a/', 1, 0.0)
        self.assertEqual(len(self.connections), 1)
