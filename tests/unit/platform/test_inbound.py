"""Tests of the answers to heartbeats and exit notices."""

import json
import unittest

from aiohttp import test_utils

from kumquatport.platform import inbound
from tests.unit.platform import test_odd_entries

PATH = '/instances/i-1'


class HeartbeatAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A backend server counts a 2xx answer as an acknowledgement."""

    async def asyncSetUp(self):
        self.is_in_force = True
        self.exited = []
        app = inbound.heartbeats(
            lambda _report: self.is_in_force, self.exited.append
        )
        self.client = test_utils.TestClient(test_utils.TestServer(app))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def put(self, body):
        """Return the status of the answer to a heartbeat."""
        async with self.client.put(PATH, data=body) as response:
            return response.status

    async def test_heartbeat_in_force_is_acknowledged(self):
        body = json.dumps(test_odd_entries.HEARTBEAT)
        self.assertEqual(await self.put(body), 200)

    async def test_heartbeat_that_is_discarded_is_not_acknowledged(self):
        """DRAIN: the sender must say its leave again."""
        self.is_in_force = False
        body = json.dumps(test_odd_entries.HEARTBEAT)
        self.assertEqual(await self.put(body), 409)

    async def test_malformed_heartbeat_is_not_acknowledged(self):
        self.assertEqual(await self.put('{'), 400)

    async def test_exit_notice_is_acknowledged(self):
        async with self.client.delete(PATH) as response:
            self.assertEqual(response.status, 200)
        self.assertEqual(self.exited, ['i-1'])
