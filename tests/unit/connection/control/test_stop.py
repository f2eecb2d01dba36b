"""A server that stops while a handler is at work."""

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
    """Stopping is no fault."""

    async def test_handler_that_ends_just_after_the_contexts_closed(self):
        for turns in range(6):
            with self.subTest(turns=turns):
                await self.async_stop_amid(turns)

    async def async_stop_amid(self, turns):
        stopping = server.ControlServer(ADDRESS, 7000, KEY, traffic.Traffic())
        stops = []

        async def async_slow(message):
            stops.append(asyncio.create_task(stopping.stop()))
            for _ in range(turns):
                await asyncio.sleep(0)
            return message

        stopping.handle(_Slow, async_slow)
        asker = client.ControlClient(KEY, traffic.Traffic())
        await stopping.start()
        await asker.start()
        with contextlib.suppress(exceptions.PeerUnavailableError):
            await asker.async_ask(f'{ADDRESS}:7000', _Slow(1), 0.3)
        await asker.stop()
        await stops[0]
        self.assertIsNone(stopping.crash_reason)
