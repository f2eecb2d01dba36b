"""Tests of the queue of a narrow link."""

import math
import time
import unittest

from kumquatport.connection.packets import link_queue

# The narrow links of an entry instance: 5 Mbit/s.
RATE = 625_000.0
DATA = bytes(1246)
OPENING = bytes(46)
WINDOW = 16
STEP_S = 0.004


def data_packet(flow, number, rank=2):
    return link_queue.QueuedPacket(
        (b'upload %d' % flow, 'agent'),
        (number, 1200, 2),
        rank,
        DATA,
        'agent',
    )


def opening_packet(flow):
    return link_queue.QueuedPacket(
        (b'opening %d' % flow, 'agent'),
        (0, 0, 1),
        link_queue.URGENT,
        OPENING,
        'agent',
    )


class LinkQueueTest(unittest.TestCase):
    """Which packets wait for the link, and in which order they leave."""

    def setUp(self):
        self.now = 100.0
        self.queue = link_queue.LinkQueue(RATE, self.now)
        self.sent = []

    def submit(self, packet):
        if self.queue.must_wait(self.now):
            self.queue.add(packet, self.now)
        else:
            self.send(packet)

    def send(self, packet):
        self.queue.charge(len(packet.message), self.now)
        self.sent.append((self.now, packet))

    def advance(self):
        self.now += STEP_S
        for packet in self.queue.release(self.now):
            self.send(packet)

    def drain(self):
        while self.queue.next_release_s() is not None:
            self.advance()

    def test_burst_of_uploads_loses_no_packet(self):
        """Guards against loss in the network's queue, which holds 0.05 s.

        Ten clients send a window each and repeat it after 0.2 s, since the
        link needs 0.33 s for all of them.
        """
        for flow in range(10):
            for number in range(WINDOW):
                self.submit(data_packet(flow, number))
        while self.now < 100.2:
            self.advance()
        waiting = 160 - len(self.sent)
        already_sent = {one.identity + one.stream for _, one in self.sent}
        for flow in range(10):
            for number in range(WINDOW):
                again = data_packet(flow, number)
                if again.identity + again.stream not in already_sent:
                    self.submit(again)
        self.drain()
        self.assertEqual(len(self.sent), 160)
        self.assertEqual(self.queue.replaced, waiting)
        self.assertEqual(self.queue.dropped, 0)
        self.assertLess(self.now - 100, 0.36)

    def test_rate_of_the_link_is_not_exceeded(self):
        """Guards against a queue in the network beside this one."""
        for number in range(400):
            self.submit(data_packet(number, 0))
        self.drain()
        carried = sum(len(one.message) + 28 for _, one in self.sent)
        took_s = self.now - 100
        self.assertLessEqual(carried, RATE * (took_s + link_queue.BURST_S))

    def test_opening_packet_passes_a_burst_of_uploads(self):
        """Guards against copies of openings, which go to further agents."""
        for number in range(400):
            self.submit(data_packet(number, 0))
        self.submit(opening_packet(1))
        self.advance()
        self.assertIn(opening_packet(1), [one for _, one in self.sent])

    def test_request_of_high_priority_passes_uploads(self):
        """Guards against requests that wait for uploads of low priority."""
        for number in range(200):
            self.submit(data_packet(number, 0))
        urgent = data_packet(1000, 0, rank=1)
        self.submit(urgent)
        self.advance()
        self.assertIn(urgent, [one for _, one in self.sent])

    def test_low_priority_is_not_starved(self):
        """Guards against flows that get nothing while others fill the link."""
        self.submit(data_packet(0, 0, rank=0))
        for number in range(WINDOW):
            self.submit(data_packet(1, number, rank=9))
        for number in range(400):
            self.submit(data_packet(2 + number, 0, rank=0))
        while not any(one.rank == 9 for _, one in self.sent):
            self.advance()
        self.assertLess(self.now - 100, 0.05)

    def test_lookups_leave_after_data_of_open_flows(self):
        """Guards against lookups that displace the packets clients wait for."""
        self.submit(data_packet(0, 0))
        for number in range(1, 100):
            self.submit(data_packet(number, 0, rank=link_queue.LOOKUP))
        for number in range(1000, 1040):
            self.submit(data_packet(number, 0, rank=256))
        sent_at_once = len(self.sent)
        self.drain()
        self.assertEqual(len(self.sent), 140)
        ranks = [one.rank for _, one in self.sent[sent_at_once:]]
        last_data = len(ranks) - 1 - ranks[::-1].index(256)
        passed = ranks[:last_data].count(link_queue.LOOKUP)
        self.assertLessEqual(passed, 40 / (link_queue.OLDEST_INTERVAL - 1) + 1)

    def test_small_upload_is_not_behind_a_large_one(self):
        """Guards against first come, first served among flows."""
        for number in range(300):
            self.submit(data_packet(0, number))
        self.submit(data_packet(1, 0))
        self.advance()
        self.assertIn(data_packet(1, 0), [one for _, one in self.sent])

    def test_request_of_one_packet_is_not_behind_all_uploads(self):
        """Guards against requests that wait for a turn of every upload."""
        for flow in range(60):
            for number in range(WINDOW):
                self.submit(data_packet(flow, number))
        for _ in range(10):
            self.advance()
        self.submit(data_packet(1000, 0))
        self.advance()
        self.assertIn(data_packet(1000, 0), [one for _, one in self.sent])

    def test_full_queue_drops_from_uploads(self):
        """Guards against unbounded memory, and against loss of new flows."""
        self.submit(data_packet(0, 0))
        for number in range(2000):
            self.submit(data_packet(1, number))
        self.submit(data_packet(2, 0))
        self.assertGreater(self.queue.dropped, 0)
        self.assertLessEqual(self.queue.wait_s, link_queue.MAX_QUEUE_S)
        self.drain()
        streams = {one.stream for _, one in self.sent}
        self.assertIn(data_packet(2, 0).stream, streams)

    def test_full_queue_of_many_streams_costs_as_little_as_an_empty_one(self):
        """Guards against a balancer that is busy with its queue alone.

        After a loss of power 4,700 lookups waited; a search through all of them
        for each new packet left no time to send any.
        """
        for number in range(20_000):
            self.submit(data_packet(number, 0))
        self.assertGreater(self.queue.dropped, 10_000)
        started_at = time.process_time()
        for number in range(20_000, 25_000):
            self.submit(data_packet(number, 0))
        # 5,000 packets a second are several times what such a link carries.
        self.assertLess(time.process_time() - started_at, 1.0)

    def fill(self, count=400):
        for number in range(count):
            self.submit(data_packet(number, 0))

    def sent_after(self, count):
        return [one for _, one in self.sent[count:]]

    def test_opening_packets_leave_in_the_order_of_their_arrival(self):
        """Guards against openings that wait until their clients give up."""
        self.fill()
        already = len(self.sent)
        for flow in range(300):
            self.submit(opening_packet(flow))
        self.drain()
        openings = [
            one
            for one in self.sent_after(already)
            if one.rank == link_queue.URGENT
        ]
        expected = sorted(
            openings, key=lambda one: int(one.stream[0].split()[1])
        )
        self.assertEqual(openings, expected)

    def test_data_is_not_starved_by_opening_packets(self):
        """Guards against open flows that stand still in a wave of openings."""
        self.fill(100)
        already = len(self.sent)
        for step in range(250):
            for number in range(40):
                self.submit(opening_packet(step * 40 + number))
            self.advance()
        self.assertTrue(
            any(
                one.rank != link_queue.URGENT
                for one in self.sent_after(already)
            )
        )

    def test_packet_lost_in_the_network_passes_later_ones(self):
        """Guards against data that the receiver cannot use yet."""
        self.fill()
        for number in (*range(5, 16), 3, 4):
            self.submit(data_packet(1000, number))
        self.drain()
        own = [
            one.identity[0]
            for _, one in self.sent
            if one.stream == data_packet(1000, 0).stream
        ]
        self.assertEqual(own, list(range(3, 16)))

    def test_lookup_becomes_a_packet_of_an_open_flow(self):
        """Guards against a packet that is sent twice, the second time late."""
        self.fill()
        self.submit(data_packet(1000, 0, rank=link_queue.LOOKUP))
        self.submit(data_packet(1000, 0, rank=1))
        self.submit(data_packet(1000, 0, rank=link_queue.LOOKUP))
        self.advance()
        self.drain()
        own = [
            one
            for _, one in self.sent
            if one.stream == data_packet(1000, 0).stream
        ]
        self.assertEqual(len(own), 1)
        self.assertEqual(self.queue.replaced, 2)

    def test_packet_that_its_client_does_not_repeat_is_dropped(self):
        """Guards against a link that carries what nobody waits for."""
        self.fill()
        self.submit(data_packet(1000, 0, rank=9))
        self.now += link_queue.MAX_AGE_S + 0.1
        before = len(self.sent)
        self.drain()
        self.assertEqual(self.sent_after(before), [])
        self.assertEqual(self.queue.dropped, 401 - before)

    def test_lower_rate_bounds_the_queue_at_once(self):
        """Guards against a queue of minutes after the settings changed."""
        self.fill()
        self.queue.apply_rate(RATE / 100, self.now)
        self.assertLessEqual(self.queue.wait_s, link_queue.MAX_QUEUE_S)

    def test_all_leaves_once_no_rate_is_stated_any_more(self):
        self.fill()
        waiting = 400 - len(self.sent)
        self.queue.apply_rate(0, self.now)
        self.assertEqual(self.queue.next_release_s(), 0)
        self.assertEqual(len(self.queue.release(self.now)), waiting)
        self.assertIsNone(self.queue.next_release_s())

    def test_small_packets_are_bounded_by_number(self):
        """Guards against hundreds of megabytes on a fast link."""
        self.queue = link_queue.LinkQueue(RATE * 20, self.now)
        for flow in range(link_queue.MAX_PACKETS * 2):
            self.submit(opening_packet(flow))
        self.assertGreater(self.queue.dropped, 0)

    def test_burst_ends_with_the_queue(self):
        """Guards against an overload that outlasts its cause."""
        for step in range(500):
            if step % 2 == 0:
                self.submit(data_packet(step, 0))
                self.submit(data_packet(step, 1))
                self.submit(data_packet(step, 2))
                self.submit(data_packet(step, 3))
                self.submit(data_packet(step, 4))
            self.advance()
        burst_end = self.now
        self.drain()
        self.assertLess(self.now - burst_end, 2.0)

    def test_no_stated_rate_changes_nothing(self):
        """Guards against waits in deployments that state no rate."""
        self.queue = link_queue.LinkQueue(0, self.now)
        for number in range(10_000):
            self.submit(data_packet(number, 0))
        self.assertEqual(len(self.sent), 10_000)
        self.assertTrue(math.isinf(self.queue.rate))
        self.assertEqual(self.queue.wait_s, 0)

    def test_control_messages_are_charged(self):
        """Guards against data and control together above the rate."""
        for _ in range(50):
            self.queue.charge(1000, self.now)
        self.assertTrue(self.queue.must_wait(self.now))
