"""Backend servers that fail requests, found from their flows."""

import random
import unittest

from kumquatport.connection.packets import flow_table, outcomes, placement
from tests.builders import packets as builders

SERVICE_S = 0.04


class FlowsTest(unittest.TestCase):
    """One request a flow, as the agent sees its packets."""

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

    def ask(self):
        """Open a flow and send its request."""
        self.port += 1
        flow = self.flows.add(builders.flow(self.port), self.now)
        self.flows.on_client_packet(flow, self.packet(length=900), self.now)
        return flow

    def close(self, flow):
        self.flows.on_client_packet(
            flow, self.packet(builders.FIN | builders.ACK), self.now
        )

    def pass_time(self, seconds):
        self.now += seconds
        self.flows.record_overdue(self.now)

    def is_failing(self):
        return self.flows.outcomes.is_failing(self.now)

    def test_answers_are_no_failures(self):
        for _ in range(50):
            flow = self.ask()
            self.now += SERVICE_S
            self.from_server(length=600)
            self.from_server(flags=builders.FIN | builders.ACK)
            self.close(flow)
        self.pass_time(5)
        self.assertFalse(self.is_failing())
        self.assertEqual(self.flows.busy, 0)
        self.assertAlmostEqual(self.flows.service_s, SERVICE_S, 2)

    def test_an_answer_may_follow_the_packet_that_closes(self):
        for _ in range(50):
            flow = self.ask()
            self.now += SERVICE_S
            self.from_server(flags=builders.FIN | builders.ACK)
            self.from_server(length=600)
            self.close(flow)
        self.pass_time(5)
        self.assertFalse(self.is_failing())
        self.assertEqual(self.flows.busy, 0)
        self.assertAlmostEqual(self.flows.service_s, SERVICE_S, 2)

    def test_requests_without_an_answer(self):
        """Mute: the flow stays, the request has run, nothing comes."""
        for _ in range(outcomes.MIN_FAILURES):
            self.ask()
        self.pass_time(outcomes.OVERDUE_MIN_S - 0.1)
        self.assertFalse(self.is_failing())
        self.pass_time(0.2)
        self.assertTrue(self.is_failing())

    def test_flows_that_are_reset_or_closed_without_an_answer(self):
        for _ in range(outcomes.MIN_FAILURES - 1):
            self.ask()
            self.from_server(flags=builders.RST)
        self.assertFalse(self.is_failing())
        flow = self.ask()
        self.from_server(flags=builders.FIN | builders.ACK)
        self.close(flow)
        self.assertTrue(self.is_failing())
        self.assertEqual(self.flows.busy, 0)

    def test_a_client_that_leaves_is_no_failure(self):
        for _ in range(20):
            self.close(self.ask())
        self.assertFalse(self.is_failing())

    def test_it_is_tested_again(self):
        for _ in range(outcomes.MIN_FAILURES):
            self.ask()
        self.pass_time(1)
        self.assertTrue(self.is_failing())
        self.pass_time(outcomes.WINDOW_S + 0.1)
        self.assertFalse(self.is_failing())

    def test_few_failures_among_many_answers_are_chance(self):
        for number in range(100):
            self.ask()
            if number % 10:
                self.now += 0.01
                self.from_server(length=600)
        self.pass_time(1)
        self.assertFalse(self.is_failing())


class PlacementTest(unittest.TestCase):
    """Eight agents, of which one leaves two of five requests unanswered."""

    def _served(self, *, told):
        rng = random.Random(7)
        failing = 'side-0'
        found = outcomes.RequestOutcomes()
        failed = 0
        for step in range(4000):
            now = step / 200
            is_failing = told and found.is_failing(now)
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

    def test_it_costs_a_handful_in_each_window(self):
        windows = 20 / outcomes.WINDOW_S
        # Those under way until three are overdue, at 10 flows a second.
        handful = outcomes.MIN_FAILURES + 25 * outcomes.OVERDUE_MIN_S
        self.assertGreater(self._served(told=False), 100)
        self.assertLess(self._served(told=True), (windows + 1) * handful)

    def test_when_all_fail_none_is_passed_over(self):
        rng = random.Random(8)
        one, other = (
            self._candidate(rng, name, is_failing=True) for name in 'ab'
        )
        calm = one._replace(busy=0, flows=0)
        self.assertEqual(placement.choose([other, calm], 1.0), calm)
