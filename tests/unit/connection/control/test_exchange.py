"""Requests and replies of control messages over real sockets."""

import asyncio
import threading
import typing
import unittest

import pynng

from kumquatport import exceptions
from kumquatport.connection.control import (
    client,
    const,
    frame,
    messages,
    server,
    traffic,
)
from tests import network

KEY = frame.control_key(b'k' * 32)
NET = network.claim_network('exchange').prefix
ADDRESS = f'{NET}.1'
PORT = 7000
ENDPOINT = f'{ADDRESS}:{PORT}'
DEAD_ENDPOINT = f'{NET}.9:7000'


class _Echo(typing.NamedTuple):
    number: int


class _Unhandled(typing.NamedTuple):
    number: int


frame.register(250, _Echo)
frame.register(251, _Unhandled)


async def _async_echo(message):
    if message.number < 0:
        raise exceptions.VersionConflictError('negative')
    if message.number == 1000:
        await asyncio.sleep(1)
    return message


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Requests of one client to one server."""

    async def asyncSetUp(self):
        self.server_counts = traffic.Traffic()
        self.counts = traffic.Traffic()
        self.server = server.ControlServer(
            ADDRESS, PORT, KEY, self.server_counts
        )
        self.server.handle(_Echo, _async_echo)
        self.client = client.ControlClient(KEY, self.counts)
        await self.server.start()
        await self.client.start()
        self.addAsyncCleanup(self.server.stop)
        self.addAsyncCleanup(self.client.stop)

    async def test_concurrent_requests(self):
        replies = await asyncio.gather(
            *(
                self.client.async_ask(ENDPOINT, _Echo(number), 2)
                for number in range(40)
            ),
        )
        self.assertEqual([reply.number for reply in replies], list(range(40)))
        self.assertEqual(self.client.open_sockets, 1)
        self.assertEqual(self.counts.totals.messages_sent, 40)
        self.assertEqual(
            self.counts.totals.bytes_sent,
            self.server_counts.totals.bytes_received,
        )

    async def test_error_keeps_its_code(self):
        with self.assertRaises(exceptions.PeerRefusedError) as caught:
            await self.client.async_ask(ENDPOINT, _Echo(-1), 2)
        self.assertEqual(caught.exception.peer_code, 'KQ-2002')

    async def test_kind_without_handler_is_refused(self):
        with self.assertRaises(exceptions.PeerRefusedError):
            await self.client.async_ask(ENDPOINT, _Unhandled(1), 2)
        self.assertEqual(self.server_counts.errors['KQ-4013'], 1)

    async def test_dead_peers_keep_no_socket_open(self):
        for _ in range(5):
            with self.assertRaises(exceptions.PeerUnavailableError):
                await self.client.async_ask(DEAD_ENDPOINT, _Echo(1), 0.05)
        self.assertEqual(self.client.open_sockets, 0)

    async def test_slow_reply_does_not_fail_other_requests(self):
        slow = asyncio.create_task(
            self.client.async_ask(ENDPOINT, _Echo(1000), 0.2),
        )
        other = asyncio.create_task(
            self.client.async_ask(ENDPOINT, _Echo(1000), 3),
        )
        await asyncio.sleep(0.3)
        self.assertEqual(
            await self.client.async_ask(ENDPOINT, _Echo(2), 2), _Echo(2)
        )
        with self.assertRaises(exceptions.PeerUnavailableError):
            await slow
        self.assertEqual(await other, _Echo(1000))

    async def test_restarted_peer_is_reachable_again(self):
        await self.client.async_ask(ENDPOINT, _Echo(1), 2)
        await self.server.stop()
        with self.assertRaises(exceptions.PeerUnavailableError):
            await self.client.async_ask(ENDPOINT, _Echo(1), 0.2)
        restarted = server.ControlServer(ADDRESS, PORT, KEY, self.server_counts)
        restarted.handle(_Echo, _async_echo)
        await restarted.start()
        self.addAsyncCleanup(restarted.stop)
        await self.client.async_ask(ENDPOINT, _Echo(1), 2)

    async def test_forged_frame_gets_error_reply_and_is_counted(self):
        with pynng.Req0(dial=f'tcp://{ENDPOINT}', recv_timeout=2000) as socket:
            await socket.asend(b'\x01\x01forged frame of some length')
            answer = await socket.arecv()
        self.assertTrue(answer)
        self.assertEqual(self.server_counts.errors['KQ-4014'], 1)

    async def test_socket_pool_is_bounded(self):
        for number in range(const.MAX_SOCKETS + 5):
            with self.assertRaises(exceptions.PeerUnavailableError):
                await self.client.async_ask(f'{NET}.{number}:1', _Echo(1), 0)
        self.assertLessEqual(self.client.open_sockets, const.MAX_SOCKETS)

    async def test_port_in_use_raises_start_error(self):
        second = server.ControlServer(ADDRESS, PORT, KEY, self.server_counts)
        with self.assertRaises(exceptions.StartError):
            await second.start()

    async def test_error_reply_is_registered(self):
        encoded = frame.encode(messages.ErrorReply('a', 'b'), KEY)
        self.assertIsInstance(frame.decode(encoded, KEY), messages.ErrorReply)

    async def test_nng_threads_are_limited(self):
        await self.client.async_ask(ENDPOINT, _Echo(1), 2)
        with open('/proc/self/status', encoding='ascii') as status:
            (line,) = [row for row in status if row.startswith('Threads')]
        self.assertLess(int(line.split()[1]) - threading.active_count(), 10)
