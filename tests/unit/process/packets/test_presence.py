"""Looking for the backend server's process."""

import errno
import socket
import unittest
from unittest import mock

from kumquatport.process.packets import presence

ADDRESS = '127.0.0.1'


class PresenceTest(unittest.IsolatedAsyncioTestCase):
    """Only a refused connection shows that it is absent."""

    def setUp(self):
        self.listener = socket.create_server((ADDRESS, 0), backlog=1)
        self.addCleanup(self.listener.close)
        self.endpoint = self.listener.getsockname()

    async def test_a_process_that_listens_is_there(self):
        self.assertFalse(await presence.async_is_absent(self.endpoint))

    async def test_nobody_listens(self):
        self.listener.close()
        self.assertTrue(await presence.async_is_absent(self.endpoint))

    async def test_one_that_stands_still_is_not_absent(self):
        """Its queue of connections is full; the kernel drops new ones."""
        waiting = []
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self.endpoint)
            waiting.append(one)
            self.addCleanup(one.close)
        with mock.patch.object(presence, 'CONNECT_TIMEOUT_S', 0.1):
            self.assertFalse(await presence.async_is_absent(self.endpoint))

    async def test_a_process_without_descriptors_proves_nothing(self):
        self.listener.close()
        error = OSError(errno.EMFILE, 'Too many open files')
        with mock.patch('asyncio.open_connection', side_effect=error):
            self.assertFalse(await presence.async_is_absent(self.endpoint))
