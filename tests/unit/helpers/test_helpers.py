"""Backoff and clocks."""

import itertools
import unittest

from kumquatport.helpers import backoff, clock


class BackoffTest(unittest.TestCase):
    """Waits stay within bounds."""

    def test_bounds_double_up_to_the_limit(self):
        waits = itertools.islice(backoff.delays(0.1, 1.0), 2000)
        for number, wait in enumerate(waits):
            bound = min(0.1 * 2 ** min(number, 10), 1.0)
            self.assertTrue(0 <= wait <= bound)

    def test_jitter(self):
        periods = {backoff.jittered(10) for _ in range(100)}
        self.assertGreater(len(periods), 50)
        self.assertTrue(all(9 <= period <= 11 for period in periods))


class PauseDetectorTest(unittest.TestCase):
    """Gaps of the monotonic clock."""

    def test_only_long_gaps_are_pauses(self):
        now = [100.0]
        detector = clock.PauseDetector(2.0, lambda: now[0])
        now[0] += 1.9
        self.assertEqual(detector.check(), 0)
        now[0] += 30
        self.assertEqual(detector.check(), 30)
        self.assertEqual(detector.check(), 0)
