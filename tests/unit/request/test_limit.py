"""Tests of the gradient concurrency limit."""

import random
import unittest

from hypothesis import given, settings, strategies

from kumquatport.request.limit import const, gradient, sample

BOUNDS = sample.Bounds(slots=5, start_share=0.1, double_s=2.0)
NORMAL_S = 0.05

# Standard deviation of the logarithm of latencies, as in the stand-in backend
# server.
LOG_DEVIATION = 0.3


class Server:
    """Feeds a limit with answers of given latencies."""

    def __init__(self):
        self.now = 0.0
        self.state = sample.initial_state(BOUNDS, self.now)

    def answer(self, latency_s, count=1, result=sample.Result.answered):
        for _ in range(count):
            in_progress = int(self.state.value)
            self.now += latency_s / in_progress
            observed = sample.Sample(
                'order', latency_s, in_progress, result, self.now
            )
            self.state = gradient.step(self.state, observed, BOUNDS)

    def warm(self):
        while not self.state.baseline_confirmed:
            self.answer(NORMAL_S)
            assert self.now < 60


class GradientTest(unittest.TestCase):
    """How samples change the limit."""

    def setUp(self):
        self.server = Server()

    def test_grows_to_all_slots_on_warm_server(self):
        self.server.warm()
        self.assertEqual(self.server.state.value, 5)
        self.assertLess(self.server.now, 10)

    def test_confirms_baseline_and_serves_with_varying_latency(self):
        shares = []
        for seed in range(300):
            server = Server()
            generator = random.Random(seed)
            while not server.state.baseline_confirmed:
                server.answer(
                    NORMAL_S * generator.lognormvariate(0, LOG_DEVIATION)
                )
                self.assertLess(server.now, 20, seed)
            began_at = server.now
            busy_s = 0
            while server.now < began_at + 6:
                latency_s = NORMAL_S * generator.lognormvariate(
                    0, LOG_DEVIATION
                )
                busy_s += latency_s
                server.answer(latency_s)
            shares.append(busy_s / (server.now - began_at) / BOUNDS.slots)
        # Under overload 0.9 of the capacity is guaranteed; half of the other
        # 0.1 is for the exchange with the backend server.
        self.assertGreaterEqual(min(shares), 0.95)

    def test_does_not_grow_while_latency_falls_slowly(self):
        while self.server.now < 8:
            self.server.answer(NORMAL_S * (1 - 0.08 * self.server.now))
        self.assertLess(self.server.state.value, 4)

    def test_three_slow_answers_restart_slow_start(self):
        self.server.warm()
        self.server.answer(4 * NORMAL_S, const.SLOW_STREAK)
        self.assertEqual(self.server.state.value, BOUNDS.initial_limit)

    def test_short_stall_restores_most_of_the_limit(self):
        self.server.warm()
        self.server.answer(4 * NORMAL_S, const.SLOW_STREAK)
        self.server.answer(NORMAL_S, const.TRIAL_SAMPLES)
        self.assertGreaterEqual(self.server.state.value, 4)

    def test_stays_low_while_server_stays_slow(self):
        self.server.warm()
        self.server.answer(4 * NORMAL_S, 40)
        self.assertLess(self.server.state.value, 2)

    def test_lasting_change_becomes_baseline(self):
        self.server.warm()
        self.server.answer(1.5 * NORMAL_S, 20000)
        self.assertEqual(self.server.state.value, 5)

    def test_refusals_reduce_limit_once_per_round(self):
        self.server.warm()
        self.server.answer(NORMAL_S / 50, 4, sample.Result.shed)
        reduced = self.server.state.value
        self.assertAlmostEqual(reduced, 5 * const.BACKOFF_FACTOR)

    def test_unreachable_server_restarts_slow_start(self):
        self.server.warm()
        self.server.answer(NORMAL_S, 1, sample.Result.unreachable)
        self.assertEqual(self.server.state.value, BOUNDS.initial_limit)

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0001, 10),
                strategies.sampled_from(sample.Result),
            ),
            max_size=80,
        )
    )
    def test_stays_within_bounds(self, answers):
        server = Server()
        for latency_s, result in answers:
            server.answer(latency_s, 1, result)
            self.assertGreaterEqual(server.state.value, BOUNDS.initial_limit)
            self.assertLessEqual(server.state.value, BOUNDS.slots)
