"""The layout of the platform's packets."""

import unittest

import hypothesis
from hypothesis import strategies

from kumquatport.connection.packets import packet as packets
from kumquatport.platform import packet
from tests.builders import packets as builders

PUBLISHED_SYN = bytes.fromhex(
    '07004064010012c6419cbb01d5c3b2a14433221100000000010000000000000000000000'
)
PUBLISHED_RESET = bytes.fromhex(
    '010012c607004064bb01419c000000000000000000000000800000000000000000000000'
)


class PacketTest(unittest.TestCase):
    """Reading, marking and resetting."""

    def test_published_example(self):
        found = packet.from_client(PUBLISHED_SYN)
        self.assertTrue(found.is_opening)
        self.assertEqual(found.client_address, '100.64.0.7')
        self.assertEqual(found.service_port, 443)
        self.assertEqual(found.sequence, 0x11223344)
        self.assertEqual(packet.reset(found.flow, 0), PUBLISHED_RESET)
        self.assertEqual(
            packet.describe(found.flow), '100.64.0.7:40001>198.18.0.1:443'
        )

    def test_both_directions_name_one_flow(self):
        flow = builders.flow()
        there = packet.from_client(builders.datagram(flow))
        back = packet.from_backend_server(builders.answer(flow))
        self.assertEqual(there.flow, back.flow)
        self.assertEqual(back.client_address, builders.CLIENT)
        self.assertEqual(back.service_port, 443)

    def test_a_bounce_brings_the_mark_back(self):
        sent = builders.datagram(builders.flow(), data=b'abc')
        marked = packet.marked(sent, packets.mark_from_address('10.1.2.3'))
        bounced = bytearray(marked)
        bounced[24] |= builders.BOUNCED
        found = packet.from_backend_server(bytes(bounced))
        self.assertTrue(found.is_bounced)
        self.assertEqual(packets.address_from_mark(found.mark), '10.1.2.3')
        self.assertEqual(packet.marked(found.datagram, 0), sent)

    def test_a_reset_is_near_what_the_client_acknowledged(self):
        found = packet.from_backend_server(
            packet.reset(builders.flow(), 0xFFFFFFFF)
        )
        self.assertTrue(found.is_reset)
        self.assertEqual(found.sequence, 0xFFFFFFFF)

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes(self, datagram):
        for read in (packet.from_client, packet.from_backend_server):
            found = read(datagram)
            if found is not None:
                self.assertEqual(found.length, len(datagram) - 36)
                self.assertEqual(len(found.flow), 12)

    def test_a_wrong_length_is_refused(self):
        good = builders.datagram(builders.flow(), data=b'abc')
        self.assertIsNone(packet.from_client(good[:-1]))
        self.assertIsNone(packet.from_client(good + b'x'))
