"""Detection of backend servers that fail requests, from their flows."""

import random
import unittest

from kumquatport.connection.packets import flow_table, outcomes, placement
from tests.builders import packets as builders

SERVICE_S = 0.04


class FlowsTest(unittest.TestCase):
    """Outcomes of flows with one request each, from the agent's packets."""

    def setUp(self):
        self.flows = flow_table.FlowTable()
        self.now = 100.0
        self.port = 40000

    def packet(self, flags=builders.ACK, length=0, to_client=False):
        flow = builders.flow(self.port)
        if to_client:
            raw = builders.answer(flow, flags, data=b'x' * length)
            return builders.CODEC.parse_backend_server_packet(raw)
        raw = builders.datagram(flow, flags, data=b'x' * length)
        return builders.CODEC.parse_client_packet(raw)

    def from_server(self, *, flags=builders.ACK, length=0):
        self.flows.on_backend_server_packet(
            self.packet(flags, length, to_client=True), self.now
        )

    def send_request(self):
        """Open a flow and send its request."""
        self.port += 1
        flow = self.flows.add(builders.flow(self.port), self.now)
        self.flows.on_client_packet(flow, self.packet(length=900), self.now)
        return flow

    def close(self, flow):
        self.flows.on_client_packet(
            flow, self.packet(builders.FIN | builders.ACK), self.now
        )

    def advance_time(self, seconds):
        self.now += seconds
        self.flows.record_overdue(self.now)

    def is_failing(self):
        return self.flows.outcomes.is_failing(self.now)

    def test_answered_requests_are_not_failures(self):
        for _ in range(50):
            flow = self.send_request()
            self.now += SERVICE_S
            self.from_server(length=600)
            self.from_server(flags=builders.FIN | builders.ACK)
            self.close(flow)
        self.advance_time(5)
        self.assertFalse(self.is_failing())
        self.assertEqual(self.flows.busy, 0)
        self.assertAlmostEqual(self.flows.service_s, SERVICE_S, 2)

    def test_answer_may_follow_the_fin_that_overtook_it(self):
        for _ in range(50):
            flow = self.send_request()
            self.now += SERVICE_S
            self.from_server(flags=builders.FIN | builders.ACK)
            self.from_server(length=600)
            self.close(flow)
        self.advance_time(5)
        self.assertFalse(self.is_failing())
        self.assertEqual(self.flows.busy, 0)
        self.assertAlmostEqual(self.flows.service_s, SERVICE_S, 2)

    def test_requests_without_an_answer_are_failures_when_overdue(self):
        """The flow stays open, but no answer is sent."""
        for _ in range(outcomes.MIN_FAILURES):
            self.send_request()
        self.advance_time(outcomes.OVERDUE_MIN_S - 0.1)
        self.assertFalse(self.is_failing())
        self.advance_time(0.2)
        self.assertTrue(self.is_failing())

    def test_flows_reset_or_closed_without_an_answer_are_failures(self):
        for _ in range(outcomes.MIN_FAILURES - 1):
            self.send_request()
            self.from_server(flags=builders.RST)
        self.assertFalse(self.is_failing())
        flow = self.send_request()
        self.from_server(flags=builders.FIN | builders.ACK)
        self.close(flow)
        self.assertTrue(self.is_failing())
        self.assertEqual(self.flows.busy, 0)

    def test_client_that_closes_early_is_not_a_failure(self):
        for _ in range(20):
            self.close(self.send_request())
        self.assertFalse(self.is_failing())

    def test_failures_expire_so_that_it_is_tested_again(self):
        for _ in range(outcomes.MIN_FAILURES):
            self.send_request()
        self.advance_time(1)
        self.assertTrue(self.is_failing())
        self.advance_time(outcomes.WINDOW_S + 0.1)
        self.assertFalse(self.is_failing())

    def test_low_failure_ratio_is_not_failing(self):
        for number in range(100):
            self.send_request()
            if number % 10:
                self.now += 0.01
                self.from_server(length=600)
        self.advance_time(1)
        self.assertFalse(self.is_failing())


class PlacementTest(unittest.TestCase):
    """One of eight agents leaves two of five requests unanswered."""

    def _count_failed(self, *, is_reported):
        rng = random.Random(7)
        failing = 'side-0'
        found = outcomes.RequestOutcomes()
        failed = 0
        for step in range(4000):
            now = step / 200
            is_failing = is_reported and found.is_failing(now)
            drawn = rng.sample([f'side-{one}' for one in range(8)], 4)
            chosen = placement.choose(
                (
                    self._candidate(rng, name, is_failing and name == failing)
                    for name in drawn
                ),
                1.0,
            )
            if chosen.instance == failing:
                missed = rng.random() < 0.4
                failed += missed
                found.record(now + 0.8 * missed, failed=missed)
        return failed

    def _candidate(self, rng, name, is_failing):
        return placement.Candidate(
            instance=name,
            slots=3,
            busy=rng.randint(0, 2),
            flows=rng.randint(0, 2),
            placed=0,
            is_cross_domain=False,
            is_suspect=False,
            penalty=placement.penalty(is_cold=False, is_failing=is_failing),
        )

    def test_failed_requests_per_window_are_few(self):
        windows = 20 / outcomes.WINDOW_S
        # Requests sent until MIN_FAILURES are overdue, at 25 a second, of which
        # 10 fail.
        limit_per_window = outcomes.MIN_FAILURES + 25 * outcomes.OVERDUE_MIN_S
        self.assertGreater(self._count_failed(is_reported=False), 100)
        self.assertLess(
            self._count_failed(is_reported=True),
            (windows + 1) * limit_per_window,
        )

    def test_failing_agents_are_equal_among_themselves(self):
        rng = random.Random(8)
        one, other = (
            self._candidate(rng, name, is_failing=True) for name in 'ab'
        )
        idle = one._replace(busy=0, flows=0)
        self.assertEqual(placement.choose([other, idle], 1.0), idle)
