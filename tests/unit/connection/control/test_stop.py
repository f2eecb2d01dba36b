"""A server that stops while a handler runs."""

import asyncio
import contextlib
import typing
import unittest

from kumquatport import exceptions
from kumquatport.connection.control import client, frame, server, traffic

KEY = frame.control_key(b'k' * 32)
ADDRESS = '127.40.2.2'


class _Slow(typing.NamedTuple):
    number: int


frame.register(249, _Slow)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """The server does not crash if a handler returns while it stops.

    Its reply then finds the context of the request closed.
    """

    async def test_handler_that_returns_after_the_contexts_are_closed(
        self,
    ):
        for iterations in range(6):
            with self.subTest(iterations=iterations):
                await self.async_stop_during_handler(iterations)

    async def async_stop_during_handler(self, iterations):
        stopped = server.ControlServer(ADDRESS, 7000, KEY, traffic.Traffic())
        stops = []

        async def async_slow(message):
            stops.append(asyncio.create_task(stopped.stop()))
            for _ in range(iterations):
                await asyncio.sleep(0)
            return message

        stopped.handle(_Slow, async_slow)
        requester = client.ControlClient(KEY, traffic.Traffic())
        await stopped.start()
        await requester.start()
        with contextlib.suppress(exceptions.PeerUnavailableError):
            await requester.async_ask(f'{ADDRESS}:7000', _Slow(1), 0.3)
        await requester.stop()
        await stops[0]
        self.assertIsNone(stopped.crash_reason)
