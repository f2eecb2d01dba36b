"""The fault-injecting proxy between two ends in this process."""

import asyncio
import contextlib
import unittest

from tests import network
from tests.standins import fabric, fault_proxy

NET = network.held('fault-proxy').prefix
NEAR = f'{NET}.1'
PROXY = f'{NET}.2'
FAR = f'{NET}.3'
LINKS = {
    'udp': {
        'protocol': 'udp',
        'listen': f'{PROXY}:5000',
        'target': f'{FAR}:5000',
    },
    'tcp': {
        'protocol': 'tcp',
        'listen': f'{PROXY}:5001',
        'target': f'{FAR}:5001',
    },
}


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """A proxy with one link of each protocol."""

    async def asyncSetUp(self):
        self.proxy = fault_proxy.FaultProxy(seed=7)
        self.proxy.control({'links': LINKS})
        self.addCleanup(self.proxy.stop)
        server = await asyncio.start_server(self.async_echo, FAR, 5001)
        self.addCleanup(server.close)
        self.far = fabric.bind(FAR, 5000)
        self.addCleanup(self.far.close)
        self.near = fabric.bind(NEAR, 0)
        self.addCleanup(self.near.close)

    async def async_echo(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(1000):
                writer.write(data)
        writer.close()

    def rules(self, link, **changes):
        self.proxy.control({'rules': {link: changes}})

    async def arrived(self, count, wait_s=0.1):
        for number in range(count):
            self.near.sendto(bytes([number]), (PROXY, 5000))
        await asyncio.sleep(wait_s)
        return [data[0] for data, _ in fabric.receive(self.far)]

    async def test_udp_untouched_and_answered(self):
        other = fabric.bind(NEAR, 0)
        self.addCleanup(other.close)
        for sock in (self.near, other):
            sock.sendto(b'x', (PROXY, 5000))
        await asyncio.sleep(0.05)
        sources = [source for _, source in fabric.receive(self.far)]
        self.assertEqual(len(set(sources)), 2)
        for source in sources:
            self.far.sendto(b'y', source)
        await asyncio.sleep(0.05)
        self.assertEqual(list(fabric.receive(other)), [(b'y', (PROXY, 5000))])

    async def test_udp_drop_and_duplicate(self):
        self.rules('udp', forward={'drop': 0.5})
        self.assertTrue(10 < len(await self.arrived(50)) < 40)
        self.rules('udp', both={'duplicate': 1.0})
        self.assertEqual(len(await self.arrived(5)), 10)

    async def test_udp_reorder_loses_nothing(self):
        self.rules('udp', forward={'delay_s': 0.01, 'jitter_s': 0.05})
        numbers = await self.arrived(30)
        self.assertNotEqual(numbers, sorted(numbers))
        self.assertEqual(sorted(numbers), list(range(30)))

    async def test_udp_cut_loses_and_freeze_holds(self):
        self.rules('udp', forward={'cut': True})
        self.assertEqual(await self.arrived(3), [])
        self.rules('udp', forward={'freeze': True})
        self.assertEqual(await self.arrived(3), [])
        self.rules('udp')
        self.assertEqual(len(await self.arrived(0)), 3)

    async def test_tcp_cut_one_way_stalls_and_heals(self):
        reader, writer = await asyncio.open_connection(PROXY, 5001)
        writer.write(b'one')
        self.assertEqual(await reader.readexactly(3), b'one')
        self.rules('tcp', backward={'cut': True})
        writer.write(b'two')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(3), 0.1)
        self.rules('tcp')
        self.assertEqual(await reader.readexactly(3), b'two')
        self.proxy.control({'reset': ['*']})
        with self.assertRaises(ConnectionError):
            await reader.readexactly(1)
        writer.close()

    async def test_tcp_end_and_delay(self):
        self.rules('tcp', both={'delay_s': 0.05})
        reader, writer = await asyncio.open_connection(PROXY, 5001)
        writer.write(b'one')
        writer.write_eof()
        started = asyncio.get_running_loop().time()
        self.assertEqual(await reader.read(), b'one')
        taken = asyncio.get_running_loop().time() - started
        self.assertGreaterEqual(taken, 0.1)
        writer.close()

    async def test_unknown_link_is_refused(self):
        with self.assertRaises(ValueError):
            self.rules('none')
