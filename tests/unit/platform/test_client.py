"""The platform client against a fake platform with injected faults."""

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
