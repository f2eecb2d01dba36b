"""Queue of packets that wait for the routes or the first agent."""

import unittest

from kumquatport.connection.packets import backlog


class BacklogTest(unittest.TestCase):
    """The latest packet of each flow is kept until it expires."""

    def setUp(self):
        self.backlog = backlog.Backlog()

    def test_latest_packet_of_a_flow_is_kept(self):
        self.assertTrue(self.backlog.add(b'a', b'copy 0', 0.0))
        self.assertTrue(self.backlog.add(b'a', b'copy 1', 0.2))
        self.assertTrue(self.backlog.add(b'b', b'copy 0', 0.1))
        self.assertEqual(len(self.backlog), 2)
        self.assertEqual(
            self.backlog.pop_unexpired(0.3), [b'copy 1', b'copy 0']
        )
        self.assertEqual(self.backlog.pop_unexpired(0.3), [])

    def test_requeued_packet_keeps_its_age(self):
        self.backlog.add(b'a', b'copy 0', 0.0)
        for step in range(1, 8):
            self.assertEqual(self.backlog.pop_unexpired(step / 10), [b'copy 0'])
            self.assertFalse(self.backlog.add(b'a', b'copy 0', step / 10))
        self.assertEqual(self.backlog.pop_unexpired(backlog.MAX_AGE_S), [])

    def test_forwarded_packet_counts_as_new_when_received_again(self):
        self.backlog.add(b'a', b'copy 0', 0.0)
        self.backlog.pop_unexpired(0.1)
        self.backlog.pop_unexpired(0.2)
        self.assertTrue(self.backlog.add(b'a', b'copy 0', 0.3))

    def test_size_is_bounded(self):
        for number in range(2 * backlog.MAX_PACKETS):
            self.backlog.add(number.to_bytes(8, 'big'), b'x', 0.0)
        self.assertEqual(len(self.backlog), backlog.MAX_PACKETS)
