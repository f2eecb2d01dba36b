"""Sockets that are bound before the programs are imported."""

import asyncio
import os
import pathlib
import socket
import sys
import tempfile
import unittest
from unittest import mock

from kumquatport.connection.forward import prebound
from kumquatport.platform import const, prebind
from kumquatport.process.packets import datagrams
from tests import network

NET = network.claim_network('early').prefix
PACKETS = (f'{NET}.1', 7511)
PEERS = (f'{NET}.1', 7512)
SETTINGS = f"""
Ip = "{NET}.1"
InternalPorts = [7512, 7520]
[Listen]
DatagramAddr = "{NET}.1:7511"
"""


class PrebindTest(unittest.IsolatedAsyncioTestCase):
    """A process whose clients send packets during its startup."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / 'settings.toml'
        self.file.write_text(SETTINGS)
        self.addCleanup(self._close)

    def _close(self):
        for endpoint in (PACKETS, PEERS):
            leftover = prebound.take(endpoint)
            if leftover is not None:
                leftover.close()

    def bind(self, *arguments):
        settings = {const.ENVIRONMENT_VARIABLE: str(self.file)}
        with mock.patch.dict(os.environ, settings):
            with mock.patch.object(sys, 'argv', ['program', *arguments]):
                prebind.bind()

    async def test_packets_received_before_the_start_are_read(self):
        self.bind('balancer')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
            client.sendto(b'early', PACKETS)
        got = []
        _, close = datagrams.listen(PACKETS, lambda raw, _: got.append(raw))
        self.addCleanup(close)
        async with asyncio.timeout(5):
            while not got:
                await asyncio.sleep(0.01)
        self.assertEqual(got, [b'early'])

    async def test_the_peer_port_is_bound_too(self):
        self.bind('agent')
        prebound_socket = prebound.take(PEERS)
        self.assertEqual(prebound_socket.getsockname(), PEERS)
        prebound_socket.close()

    async def test_nothing_is_bound_by_a_settings_check(self):
        self.bind('balancer', '--check')
        self.assertIsNone(prebound.take(PACKETS))

    async def test_malformed_settings_are_ignored(self):
        for text in ('no toml', '', 'Ip = 1\n[Listen]\nDatagramAddr = 5\n'):
            self.file.write_text(text)
            self.bind('balancer')
            self.assertIsNone(prebound.take(PACKETS))
        self.file.unlink()
        self.bind('balancer')
        self.assertIsNone(prebound.take(PACKETS))

    async def test_a_port_in_use_is_ignored(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(PACKETS)
            self.bind('balancer')
        self.assertIsNone(prebound.take(PACKETS))
