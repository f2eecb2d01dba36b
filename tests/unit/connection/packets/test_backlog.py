"""Packets that wait for the routes or for the first agent."""

import unittest

from kumquatport.connection.packets import backlog


class BacklogTest(unittest.TestCase):
    """The latest packet of each flow, for as long as it is of use."""

    def setUp(self):
        self.kept = backlog.Backlog()

    def test_the_latest_packet_of_a_flow(self):
        self.assertTrue(self.kept.add(b'a', b'copy 0', 0.0))
        self.assertTrue(self.kept.add(b'a', b'copy 1', 0.2))
        self.assertTrue(self.kept.add(b'b', b'copy 0', 0.1))
        self.assertEqual(len(self.kept), 2)
        self.assertEqual(self.kept.pop_unexpired(0.3), [b'copy 1', b'copy 0'])
        self.assertEqual(self.kept.pop_unexpired(0.3), [])

    def test_one_that_waits_on_keeps_its_age(self):
        self.kept.add(b'a', b'copy 0', 0.0)
        for step in range(1, 8):
            self.assertEqual(self.kept.pop_unexpired(step / 10), [b'copy 0'])
            self.assertFalse(self.kept.add(b'a', b'copy 0', step / 10))
        self.assertEqual(self.kept.pop_unexpired(backlog.MAX_AGE_S), [])

    def test_one_that_went_on_is_new_when_it_comes_again(self):
        self.kept.add(b'a', b'copy 0', 0.0)
        self.kept.pop_unexpired(0.1)
        self.kept.pop_unexpired(0.2)
        self.assertTrue(self.kept.add(b'a', b'copy 0', 0.3))

    def test_it_is_bounded(self):
        for number in range(2 * backlog.MAX_PACKETS):
            self.kept.add(number.to_bytes(8, 'big'), b'x', 0.0)
        self.assertEqual(len(self.kept), backlog.MAX_PACKETS)
