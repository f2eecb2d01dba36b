"""Tests of the check for the backend server's process."""

import errno
import socket
import unittest
from unittest import mock

from kumquatport.process.packets import presence

ADDRESS = '127.0.0.1'


class PresenceTest(unittest.IsolatedAsyncioTestCase):
    """Only a refused connection shows that the process is absent."""

    def setUp(self):
        self.listener = socket.create_server((ADDRESS, 0), backlog=1)
        self.addCleanup(self.listener.close)
        self.endpoint = self.listener.getsockname()

    async def test_listening_process_is_present(self):
        self.assertFalse(await presence.async_is_absent(self.endpoint))

    async def test_closed_port_is_absent(self):
        self.listener.close()
        self.assertTrue(await presence.async_is_absent(self.endpoint))

    async def test_frozen_process_is_not_absent(self):
        """Its accept queue is full, so the kernel drops new connections."""
        connections = []
        for _ in range(4):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(self.endpoint)
            connections.append(connection)
            self.addCleanup(connection.close)
        with mock.patch.object(presence, 'CONNECT_TIMEOUT_S', 0.1):
            self.assertFalse(await presence.async_is_absent(self.endpoint))

    async def test_lack_of_file_descriptors_proves_nothing(self):
        self.listener.close()
        error = OSError(errno.EMFILE, 'Too many open files')
        with mock.patch('asyncio.open_connection', side_effect=error):
            self.assertFalse(await presence.async_is_absent(self.endpoint))
