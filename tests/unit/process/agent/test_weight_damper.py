"""Tests of the damping of announced weights."""

import unittest

from kumquatport.process.agent import weight_damper

HOUR_S = 3600
UPDATE_INTERVAL_S = 0.5


class WeightDamperTest(unittest.TestCase):
    """Small or frequent changes of the weight cause few announcements."""

    def setUp(self):
        self.now = 100.0
        self.damper = weight_damper.WeightDamper(lambda: self.now)

    def announce(self, weights):
        announced = []
        for weight in weights:
            self.now += UPDATE_INTERVAL_S
            due = self.damper.weight_to_announce(weight)
            if due is not None:
                announced.append(due)
        return announced

    def test_ramp_is_announced_in_few_steps(self):
        ramp = [0.1 + 0.9 * step / 100 for step in range(101)]
        announced = self.announce([*ramp, *[1.0] * 100])
        self.assertEqual(announced[0], 0.1)
        self.assertEqual(announced[-1], 1.0)
        self.assertLessEqual(len(announced), 4)

    def test_small_changes_are_not_announced(self):
        self.announce([1.0])
        announced = self.announce(
            [0.6 + 0.05 * (step % 8) for step in range(500)]
        )
        self.assertEqual(announced, [])

    def test_large_drop_is_announced(self):
        self.announce([1.0] * 10)
        self.assertEqual(self.announce([0.2] * 10), [0.1])

    def test_zero_and_return_from_zero_are_announced_at_once(self):
        self.announce([1.0])
        self.assertEqual(self.announce([0.0]), [0.0])
        self.assertEqual(self.announce([1.0]), [1.0])

    def test_interval_grows_while_the_weight_oscillates(self):
        updates = int(HOUR_S / UPDATE_INTERVAL_S)
        weights = [1.0 if step // 20 % 2 else 0.2 for step in range(updates)]
        self.assertLess(len(self.announce(weights)), 20)
