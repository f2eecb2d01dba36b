"""Wire format of the platform's packets."""

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
    """Parsing packets, setting marks and building resets."""

    def test_published_example(self):
        found = packet.parse_client_packet(PUBLISHED_SYN)
        self.assertTrue(found.is_opening)
        self.assertEqual(found.client_address, '100.64.0.7')
        self.assertEqual(found.service_port, 443)
        self.assertEqual(found.sequence, 0x11223344)
        self.assertEqual(packet.build_reset(found.flow, 0), PUBLISHED_RESET)
        self.assertEqual(
            packet.format_flow(found.flow), '100.64.0.7:40001>198.18.0.1:443'
        )

    def test_both_directions_have_the_same_flow(self):
        flow = builders.flow()
        forward = packet.parse_client_packet(builders.datagram(flow))
        backward = packet.parse_backend_server_packet(builders.answer(flow))
        self.assertEqual(forward.flow, backward.flow)
        self.assertEqual(backward.client_address, builders.CLIENT)
        self.assertEqual(backward.service_port, 443)

    def test_bounce_preserves_the_mark(self):
        sent = builders.datagram(builders.flow(), data=b'abc')
        marked = packet.with_mark(sent, packets.mark_from_address('10.1.2.3'))
        bounced = bytearray(marked)
        bounced[24] |= builders.BOUNCED
        found = packet.parse_backend_server_packet(bytes(bounced))
        self.assertTrue(found.is_bounced)
        self.assertEqual(packets.address_from_mark(found.mark), '10.1.2.3')
        self.assertEqual(packet.with_mark(found.datagram, 0), sent)

    def test_service_tag_is_for_instances_alone(self):
        sent = builders.datagram(builders.flow(), builders.SYN, data=b'abc')
        tag = packets.service_tag('store')
        tagged = packet.with_service_tag(sent, tag)
        found = packet.parse_client_packet(tagged)
        self.assertEqual(found.service_tag, tag)
        self.assertEqual(
            found._replace(service_tag=0, datagram=sent),
            (packet.parse_client_packet(sent)),
        )
        self.assertEqual(packet.with_mark(tagged, 0), sent)
        self.assertNotEqual(tag, packets.service_tag('manuals'))
        self.assertNotEqual(packets.service_tag(''), packets.NO_SERVICE_TAG)

    def test_reset_has_the_acknowledged_sequence_number(self):
        found = packet.parse_backend_server_packet(
            packet.build_reset(builders.flow(), 0xFFFFFFFF)
        )
        self.assertTrue(found.is_reset)
        self.assertEqual(found.sequence, 0xFFFFFFFF)

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes(self, datagram):
        for read in (
            packet.parse_client_packet,
            packet.parse_backend_server_packet,
        ):
            found = read(datagram)
            if found is not None:
                self.assertEqual(found.length, len(datagram) - 36)
                self.assertEqual(len(found.flow), 12)

    def test_wrong_length_is_rejected(self):
        good = builders.datagram(builders.flow(), data=b'abc')
        self.assertIsNone(packet.parse_client_packet(good[:-1]))
        self.assertIsNone(packet.parse_client_packet(good + b'x'))
