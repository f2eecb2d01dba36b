"""Tests the fault proxy between a client and a server in this process."""

import asyncio
import contextlib
import unittest

from tests import network
from tests.standins import fabric, fault_proxy

NET = network.claim_network('fault-proxy').prefix
CLIENT = f'{NET}.1'
PROXY = f'{NET}.2'
SERVER = f'{NET}.3'
LINKS = {
    'udp': {
        'protocol': 'udp',
        'listen': f'{PROXY}:5000',
        'target': f'{SERVER}:5000',
    },
    'tcp': {
        'protocol': 'tcp',
        'listen': f'{PROXY}:5001',
        'target': f'{SERVER}:5001',
    },
}


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Uses a proxy with one link of each protocol."""

    async def asyncSetUp(self):
        self.proxy = fault_proxy.FaultProxy(seed=7)
        self.proxy.control({'links': LINKS})
        self.addCleanup(self.proxy.stop)
        server = await asyncio.start_server(self.async_echo, SERVER, 5001)
        self.addCleanup(server.close)
        self.server = fabric.bind(SERVER, 5000)
        self.addCleanup(self.server.close)
        self.client = fabric.bind(CLIENT, 0)
        self.addCleanup(self.client.close)

    async def async_echo(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(1000):
                writer.write(data)
        writer.close()

    def set_rules(self, link, **changes):
        self.proxy.control({'rules': {link: changes}})

    async def async_send_and_receive(self, count, wait_s=0.1):
        for number in range(count):
            self.client.sendto(bytes([number]), (PROXY, 5000))
        await asyncio.sleep(wait_s)
        return [data[0] for data, _ in fabric.receive(self.server)]

    async def test_udp_untouched_and_answered(self):
        other = fabric.bind(CLIENT, 0)
        self.addCleanup(other.close)
        for sock in (self.client, other):
            sock.sendto(b'x', (PROXY, 5000))
        await asyncio.sleep(0.05)
        sources = [source for _, source in fabric.receive(self.server)]
        self.assertEqual(len(set(sources)), 2)
        for source in sources:
            self.server.sendto(b'y', source)
        await asyncio.sleep(0.05)
        self.assertEqual(list(fabric.receive(other)), [(b'y', (PROXY, 5000))])

    async def test_udp_drop_and_duplicate(self):
        self.set_rules('udp', forward={'drop': 0.5})
        self.assertTrue(10 < len(await self.async_send_and_receive(50)) < 40)
        self.set_rules('udp', both={'duplicate': 1.0})
        self.assertEqual(len(await self.async_send_and_receive(5)), 10)

    async def test_udp_reorder_loses_nothing(self):
        self.set_rules('udp', forward={'delay_s': 0.01, 'jitter_s': 0.05})
        numbers = await self.async_send_and_receive(30)
        self.assertNotEqual(numbers, sorted(numbers))
        self.assertEqual(sorted(numbers), list(range(30)))

    async def test_udp_cut_loses_and_freeze_holds(self):
        self.set_rules('udp', forward={'cut': True})
        self.assertEqual(await self.async_send_and_receive(3), [])
        self.set_rules('udp', forward={'freeze': True})
        self.assertEqual(await self.async_send_and_receive(3), [])
        self.set_rules('udp')
        self.assertEqual(len(await self.async_send_and_receive(0)), 3)

    async def test_tcp_cut_one_way_stalls_and_heals(self):
        reader, writer = await asyncio.open_connection(PROXY, 5001)
        writer.write(b'one')
        self.assertEqual(await reader.readexactly(3), b'one')
        self.set_rules('tcp', backward={'cut': True})
        writer.write(b'two')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(3), 0.1)
        self.set_rules('tcp')
        self.assertEqual(await reader.readexactly(3), b'two')
        self.proxy.control({'reset': ['*']})
        with self.assertRaises(ConnectionError):
            await reader.readexactly(1)
        writer.close()

    async def test_tcp_end_and_delay(self):
        self.set_rules('tcp', both={'delay_s': 0.05})
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
            self.set_rules('none')
