"""The platform client against a fake platform with injected faults."""

import asyncio
import types
import unittest

from kumquatport import exceptions
from kumquatport.platform import client
from tests import network
from tests.standins import platform, runner

ENDPOINT = network.claim_network('platform').platform


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """A client of a fake platform."""

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


class LostResponseTest(PlatformCase):
    """The outcome of a write with a lost response is unknown, not a conflict.

    The HTTP library resends a PUT whose connection was closed; the resent
    conditional update would conflict with the first one.
    """

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


class RestoredStoreTest(PlatformCase):
    """A store that is restored from a copy assigns revisions again."""

    async def test_every_read_tells_the_era(self):
        self.platform.era = None
        self.assertEqual((await self.client.async_list('a/')).era, 0)
        for era in ('4', '5'):
            self.platform.era = era
            self.assertEqual((await self.client.async_list('a/')).era, int(era))
            listing = await self.client.async_watch('a/', 99, 0)
            self.assertEqual(listing.era, int(era))
        for unusable in (None, '', 'x', '-1', '6.0', '9' * 40, '\u0663'):
            self.platform.era = unusable
            self.assertEqual((await self.client.async_list('a/')).era, 5)

    async def test_conditional_write_does_not_use_a_revision_of_before(self):
        """Another instance's value may have got the same revision."""
        await self.client.async_put('a/b', b'own', 0)
        entry = self.platform.store.entries['a', 'b']
        other = client.PlatformClient('http://{}:{}'.format(*ENDPOINT), 2.0)
        await other.async_setup()
        self.addAsyncCleanup(other.async_stop)
        await other.async_put('a/b', b'other', 1)
        stored = self.platform.store.entries['a', 'b']
        self.platform.store.entries['a', 'b'] = stored._replace(
            revision=entry.revision
        )
        self.platform.era = '2'
        await self.client.async_list('x/')
        with self.assertRaises(exceptions.VersionConflictError):
            await self.client.async_put('a/b', b'later', 1)
        self.assertEqual((await other.async_get('a/b')).value, b'other')

    async def test_restoration_between_two_pages_ends_the_list(self):
        for number in range(platform.PAGE_ENTRIES + 1):
            self.platform.store.write('a', f'{number:04}', {})
        self.platform.era_after_list = '3'
        with self.assertRaises(exceptions.HistoryGoneError):
            await self.client.async_list('a/')
        listing = await self.client.async_list('a/')
        self.assertEqual((len(listing.objects), listing.era), (501, 3))


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
