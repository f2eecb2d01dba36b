"""Tests of the status server."""

import socket
import unittest

import aiohttp

from kumquatport import exceptions
from kumquatport.process.metrics import registry
from kumquatport.process.status import server

ADDRESS = '127.20.0.7'


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """The server answers, and does not start on a port that is in use."""

    async def asyncSetUp(self):
        self.port = _free_port()
        self.metrics = registry.Registry()
        self.state = {'state': 'ready'}
        self.server = self.make_server()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    def make_server(self):
        return server.Server(
            ADDRESS, self.port, lambda: self.state, self.metrics
        )

    async def get(self, path):
        url = f'http://{ADDRESS}:{self.port}{path}'
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return response.status, await response.read()

    async def test_status_is_built_for_each_request(self):
        self.state = {'state': 'leaving'}
        self.assertEqual(
            await self.get('/status'), (200, b'{"state":"leaving"}')
        )

    async def test_metrics_are_served(self):
        self.metrics.record_latency('guild', 'order', 0.25)
        status, body = await self.get('/metrics.json')
        self.assertEqual(status, 200)
        self.assertIn(b'"client_account":"guild"', body)

    async def test_unknown_path_is_not_found(self):
        self.assertEqual((await self.get('/'))[0], 404)

    async def test_start_fails_on_a_port_in_use(self):
        second = self.make_server()
        with self.assertRaises(exceptions.StartError) as caught:
            await second.start()
        self.assertIn(f'{ADDRESS}:{self.port}', str(caught.exception))


def _free_port():
    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]
