"""Tests of the models that compare ways to keep flows on their agent."""

import unittest

from bench import bench_ways, flow_models, flow_scenarios


class WaysTest(unittest.TestCase):
    """The models are reproducible and break flows only where they must.

    Random numbers without a seed would change the figures at each run.
    """

    def setUp(self):
        self.replace, self.drain = flow_scenarios.scenarios()

    def test_same_outcome_at_each_run(self):
        for way in bench_ways.MODELS.values():
            self.assertEqual(way(self.drain), way(self.drain))

    def test_one_previous_owner_is_right_for_one_move(self):
        once = self.drain._replace(tables=self.drain.tables[:2])
        self.assertEqual(flow_models.remember_previous_owner(once).broken, 0)

    def test_one_previous_owner_is_wrong_for_several(self):
        self.assertGreater(
            flow_models.remember_previous_owner(self.replace).broken, 0
        )

    def test_copied_tables_break_nothing_unless_a_balancer_restarts(self):
        calm = self.replace._replace(balancer_replacements=frozenset())
        self.assertEqual(flow_models.replicate_flows(calm).broken, 0)

    def test_a_flow_is_registered_again_only_where_its_owner_changed(self):
        last = self.drain.tables[1]
        still = self.drain._replace(tables=(*self.drain.tables[:2], last))
        moved = self.drain._replace(tables=self.drain.tables[:2])
        self.assertEqual(
            flow_models.register_displaced_flows(still).control_bytes,
            flow_models.register_displaced_flows(moved).control_bytes,
        )
