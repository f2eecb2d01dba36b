"""Tests the caller and the fabric against a plain HTTP/3 server."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
import unittest

from tests import network, processes
from tests.standins import caller, fabric
from tests.standins import caller_errors as errors
from tests.unit import h3_echo

NET = network.claim_network('caller').prefix
SERVER = f'{NET}.1'
SERVICE = f'{NET}.2'
UNUSED_ADDRESS = f'{NET}.9'
ENTRY_PORT = 20001
SERVICE_ENTRY = {
    'name': 'storefront',
    'address': f'{SERVICE}:4433',
    'entry_port': ENTRY_PORT,
}


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Sends requests from a caller through the fabric to a server."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        script = processes.ROOT / 'script' / 'dev-certificate'
        subprocess.run([sys.executable, script, path], check=True)
        self.ca = path / 'cert.pem'
        server = await h3_echo.async_serve(SERVER, ENTRY_PORT, path)
        self.addCleanup(server.close)
        self.fabric = fabric.Fabric(1, f'{NET}.3')
        self.addCleanup(self.fabric.stop)
        self.fabric.control(
            {'services': [SERVICE_ENTRY], 'balancers': [SERVER]}
        )

    def connect(self):
        return caller.connected(
            (SERVICE, 4433), self.ca, 'storefront', timeout_s=2.0
        )

    async def test_many_requests_on_one_connection(self):
        async with self.connect() as connection:
            answers = await asyncio.gather(
                *[
                    connection.async_request(
                        'GET', '/echo', {'x-echo': str(number)}
                    )
                    for number in range(50)
                ]
            )
        bodies = [answer.body.decode() for answer in answers]
        self.assertEqual(bodies, [str(number) for number in range(50)])
        self.assertEqual(self.fabric.report()['flows'], 1)

    async def test_each_connection_is_a_flow_of_its_own(self):
        async with self.connect(), self.connect():
            self.assertEqual(self.fabric.report()['flows'], 2)

    async def test_pull_is_checked(self):
        async with self.connect() as connection:
            answer = await connection.async_pull('x', 3_000_000)
            self.assertEqual(len(answer.body), 3_000_000)
            with self.assertRaises(errors.ChecksumError):
                await connection.async_pull('broken', 1000)

    async def test_rejected_stream(self):
        async with self.connect() as connection:
            with self.assertRaises(errors.StreamResetError) as caught:
                await connection.async_request('GET', '/reject')
        self.assertTrue(caught.exception.rejected)

    async def test_goaway(self):
        async with self.connect() as connection:
            await connection.async_request('GET', '/goaway')
            await h3_echo.async_wait_delivery()
            with self.assertRaises(errors.GoawayError):
                connection.start('GET', '/echo')

    async def test_cancel_and_silence(self):
        async with self.connect() as connection:
            exchange = connection.start('GET', '/silent')
            with self.assertRaises(errors.ResponseTimeoutError):
                await exchange.async_answer(0.1)
            exchange.cancel()
            answer = await connection.async_request('GET', '/echo')
            self.assertEqual(answer.status, 200)

    async def test_stateless_reset_is_told_at_once(self):
        async with self.connect() as connection:
            await h3_echo.async_wait_delivery()
            exchange = connection.start('GET', '/silent')
            token = connection._quic._peer_cid.stateless_reset_token
            connection.datagram_received(b'\x40' * 30 + token, (SERVICE, 4433))
            with self.assertRaises(errors.StatelessResetError):
                await exchange.async_answer(1.0)

    async def test_handshake_timeout(self):
        self.fabric.control({'balancers': [UNUSED_ADDRESS]})
        with self.assertRaises(errors.HandshakeTimeoutError):
            await caller.async_connect(
                (SERVICE, 4433), self.ca, 'storefront', timeout_s=0.3
            )
