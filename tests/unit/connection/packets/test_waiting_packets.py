"""Tests of the packets that wait for the agent of their flow."""

import unittest
from unittest import mock

from kumquatport.connection.packets import waiting_packets
from tests.builders import packets as builders

WINDOW = waiting_packets.MAX_PACKETS_PER_FLOW


def packet(sequence, port=40001, data=b'x' * 100, acknowledged=0):
    return builders.CODEC.parse_client_packet(
        builders.datagram(
            builders.flow(port),
            sequence=sequence,
            acknowledged=acknowledged,
            data=data,
        )
    )


class WaitingPacketsTest(unittest.TestCase):
    """The store is bounded, and keeps the order of a flow."""

    def setUp(self):
        self.waiting = waiting_packets.WaitingPackets()

    def popped(self, now=0.0, port=40001):
        return [
            each.sequence for each in self.waiting.pop(builders.flow(port), now)
        ]

    def test_order_of_sequence_numbers_also_where_they_wrap(self):
        """A backend server that gets a gap first waits for the data again."""
        for sequence in (100, 2**32 - 100, 0, 200):
            self.waiting.add(packet(sequence), 0.0)
        self.assertEqual(self.popped(), [2**32 - 100, 0, 100, 200])
        self.assertEqual(self.popped(), [])

    def test_retransmission_replaces_its_copy(self):
        self.waiting.add(packet(1, acknowledged=5), 0.0)
        self.waiting.add(packet(2), 0.1)
        self.waiting.add(packet(1, acknowledged=6), 0.2)
        flow = builders.flow()
        self.assertEqual(self.waiting.latest(flow, 0.2).acknowledged, 6)
        self.assertEqual(self.popped(), [1, 2])

    def test_packets_of_a_flow_are_limited(self):
        for sequence in range(WINDOW + 5):
            self.waiting.add(packet(sequence), 0.0)
        self.assertEqual(self.popped(), list(range(WINDOW)))

    def test_bytes_are_limited_and_the_oldest_flow_goes_first(self):
        size = len(packet(1).datagram)
        with mock.patch.object(waiting_packets, 'MAX_BYTES', 3 * size):
            for port in (1, 2, 3, 4):
                self.waiting.add(packet(1, port), 0.0)
            self.assertEqual(len(self.waiting), 3)
            self.waiting.add(packet(1, 2), 0.1)
            self.waiting.discard(builders.flow(3))
            self.waiting.add(packet(1, 5), 0.1)
            self.assertEqual(len(self.waiting), 3)
        self.assertEqual(self.popped(port=1), [])

    def test_old_packets_are_dropped(self):
        """Its client has sent the packet again, or has given the flow up."""
        later = waiting_packets.MAX_AGE_S + 0.1
        self.waiting.add(packet(1), 0.0)
        self.waiting.add(packet(2), 0.5)
        self.assertEqual(self.popped(later), [2])
        self.waiting.add(packet(1), 0.0)
        self.waiting.expire(later)
        self.assertEqual(len(self.waiting), 0)
        self.assertIsNone(self.waiting.latest(builders.flow(), later))
