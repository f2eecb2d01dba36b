"""Tests of the detection of an unplanned restart of most instances."""

import unittest

from kumquatport.process.packets import mass_restart

NOW_MS = 1_000_000
COUNT = 15


def starts(ages_ms, *, heard=True):
    return [mass_restart.Start(NOW_MS - age, heard) for age in ages_ms]


class MassRestartTest(unittest.TestCase):
    """Whether the flows of most instances are known to nobody."""

    def check(self, rows):
        return mass_restart.is_mass_restart(rows, NOW_MS)

    def test_all_started_together(self):
        self.assertTrue(self.check(starts(range(500, 500 + COUNT * 60, 60))))

    def test_a_few_have_not_come_back(self):
        lost = starts([90_000] * 3, heard=False)
        self.assertTrue(self.check(starts([800] * (COUNT - 3)) + lost))

    def test_restarts_in_turn(self):
        """FLOW: the others know the flows, or stop next."""
        for at_once, gap_ms in ((1, 1000), (2, 300), (4, 1100), (5, 1300)):
            ages = [
                (COUNT - 1 - number) // at_once * gap_ms
                for number in range(COUNT)
            ]
            for restarted in range(1, COUNT + 1):
                rest = [600_000] * (COUNT - restarted)
                with self.subTest(at_once=at_once, restarted=restarted):
                    rows = starts(ages[COUNT - restarted :] + rest)
                    self.assertFalse(self.check(rows))

    def test_restart_that_is_over(self):
        ages = [mass_restart.RECENT_MS + 1] * COUNT
        self.assertFalse(self.check(starts(ages)))

    def test_instances_that_are_not_heard_may_still_run(self):
        """A balancer that has just started has read their records only."""
        own = starts([300])
        self.assertFalse(self.check(own))
        others = starts([600_000] * (COUNT - 1), heard=False)
        self.assertFalse(self.check(own + others))
