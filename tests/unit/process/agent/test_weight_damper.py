"""Tests of how often an agent announces its weight."""

import unittest

from kumquatport.process.agent import weight_damper

HOUR_S = 3600
LOOK_S = 0.5


class WeightDamperTest(unittest.TestCase):
    """Announcements are coarse and rare."""

    def setUp(self):
        self.now = 100.0
        self.damper = weight_damper.WeightDamper(lambda: self.now)

    def announce(self, weights):
        found = []
        for weight in weights:
            self.now += LOOK_S
            due = self.damper.weight_to_announce(weight)
            if due is not None:
                found.append(due)
        return found

    def test_ramp_takes_a_few_steps(self):
        ramp = [0.1 + 0.9 * step / 100 for step in range(101)]
        found = self.announce([*ramp, *[1.0] * 100])
        self.assertEqual(found[0], 0.1)
        self.assertEqual(found[-1], 1.0)
        self.assertLessEqual(len(found), 4)

    def test_small_changes_are_not_announced(self):
        self.announce([1.0])
        found = self.announce([0.6 + 0.05 * (step % 8) for step in range(500)])
        self.assertEqual(found, [])

    def test_a_cold_turn_is_announced(self):
        self.announce([1.0] * 10)
        self.assertEqual(self.announce([0.2] * 10), [0.1])

    def test_nothing_at_all_is_announced_at_once(self):
        self.announce([1.0])
        self.assertEqual(self.announce([0.0]), [0.0])
        self.assertEqual(self.announce([1.0]), [1.0])

    def test_restless_agent_announces_ever_more_seldom(self):
        looks = int(HOUR_S / LOOK_S)
        weights = [1.0 if step // 20 % 2 else 0.2 for step in range(looks)]
        self.assertLess(len(self.announce(weights)), 20)
