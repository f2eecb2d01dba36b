"""Backoff delays and jitter."""

import itertools
import unittest

from kumquatport.helpers import backoff


class BackoffTest(unittest.TestCase):
    """Delays stay within their bounds."""

    def test_bounds_double_up_to_the_limit(self):
        delays = itertools.islice(backoff.delays(0.1, 1.0), 2000)
        for number, delay_s in enumerate(delays):
            bound = min(0.1 * 2 ** min(number, 10), 1.0)
            self.assertTrue(0 <= delay_s <= bound)

    def test_jitter(self):
        periods = {backoff.jittered(10) for _ in range(100)}
        self.assertGreater(len(periods), 50)
        self.assertTrue(all(9 <= period <= 11 for period in periods))
