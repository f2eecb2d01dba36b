"""Tests that seeded histories violate no guarantee to users."""

import logging
import unittest

import structlog

from tests.emulator import checks, history

SEEDS = range(1, 101)
# Seeds that have failed, with the fault that each one guards against.
REGRESSIONS = {
    # A restarted agent opened flows at a draining backend server until the
    # backend server's next heartbeat.
    232: {},
    269: {},
    # After all processes were killed with the store unavailable, balancers that
    # knew one agent agreed with each other and reset the flows of the others.
    880029: {},
}


class HistoriesTest(unittest.TestCase):
    """Flows, routes, drains, evacuations, cold starts, configuration."""

    def setUp(self):
        before = structlog.get_config()
        self.addCleanup(structlog.configure, **before)
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(
                logging.CRITICAL
            ),
            cache_logger_on_first_use=False,
        )

    def test_any_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._check(history.run(seed))

    def test_regressions(self):
        for seed, options in REGRESSIONS.items():
            with self.subTest(seed=seed):
                self._check(history.run(seed, **options))

    def test_many_faults_at_once(self):
        for seed in range(1000, 1020):
            with self.subTest(seed=seed):
                self._check(history.run(seed, seconds=16.0, fault_count=9))

    def test_planned_stops_lose_no_requests(self):
        names = ('term balancer', 'drain')
        for seed in range(2000, 2010):
            with self.subTest(seed=seed):
                result = history.run(seed, fault_names=names)
                self._check(result)
                self.assertGreaterEqual(result.share_served, 0.999)

    def test_same_seed_gives_same_result(self):
        first, second = history.run(7), history.run(7)
        self.assertEqual(first, second)

    def _check(self, result):
        self.assertEqual(
            checks.format_violations(result.violations), [], result.faults
        )
