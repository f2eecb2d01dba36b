"""Tests of the states of backend servers by relative work and failures."""

import unittest

from kumquatport.connection.packets import server_capacity
from kumquatport.connection.packets.server_capacity import State


class ServerCapacityTest(unittest.TestCase):
    """One of six backend servers differs from the others."""

    def setUp(self):
        self.now = 100.0
        self.capacity = server_capacity.ServerCapacity()
        self.judge(5.0)

    def judge(self, seconds, work_s=0.02, others_s=0.02, failing=()):
        """Judge every half second.

        Args:
            seconds: Duration.
            work_s: Work of the server 0.
            others_s: Work of the others.
            failing: Numbers of failing servers.

        Returns:
            The states that the servers took, in order.
        """
        states = []
        for _ in range(round(seconds * 2)):
            self.now += 0.5
            observations = {
                str(number): server_capacity.Observation(
                    others_s if number else work_s, number in failing
                )
                for number in range(6)
            }
            for change in self.capacity.update(observations, self.now):
                states.append((change.instance, change.after))
        return states

    def share(self, number=0):
        return self.capacity.share(str(number), self.now)

    def test_slow_with_hysteresis(self):
        """Noise in the measured work must not change the state."""
        self.assertEqual(self.judge(5, 0.039), [])
        self.assertEqual(self.judge(1, 0.04), [('0', State.SLOW)])
        self.assertEqual(self.share(), 0)
        self.assertEqual(self.share(1), 1)
        self.assertEqual(self.judge(5, 0.031), [])
        self.assertEqual(self.judge(0.5, 0.029), [('0', State.RETURNING)])

    def test_return_in_steps(self):
        """All balancers would send a recovered server their flows at once."""
        self.judge(20, 0.06)
        shares = []
        for _ in range(12):
            self.judge(0.5)
            shares.append(self.share())
        self.assertEqual(shares, [0.25] * 4 + [0.5] * 4 + [1] * 4)

    def test_flapping_server_is_kept_out(self):
        states = []
        for _ in range(2):
            states += self.judge(2, 0.06) + self.judge(2, 0.02)
        self.assertEqual(
            [state for _, state in states],
            [State.SLOW, State.RETURNING, State.FLAPPING],
        )
        self.assertEqual(self.judge(1), [])
        self.assertEqual(self.share(), 0)
        self.assertEqual(
            [state for _, state in self.judge(6)],
            [State.RETURNING, State.HEALTHY],
        )

    def test_failing_server_is_avoided(self):
        self.assertEqual(self.judge(1, failing=(3,)), [('3', State.FAILING)])
        self.assertEqual(self.share(3), 0)

    def test_none_is_avoided_if_most_are_impaired(self):
        """Otherwise the few others would get all flows."""
        self.judge(1, failing=(0, 1, 2))
        self.assertEqual([self.share(one) for one in (0, 1, 5)], [0, 0, 1])
        self.judge(1, failing=(0, 1, 2, 3))
        self.assertTrue(self.capacity.is_panic)
        self.assertEqual([self.share(one) for one in (0, 1, 5)], [1, 1, 1])

    def test_all_slow_is_not_slow(self):
        self.assertEqual(self.judge(5, 0.2, 0.2), [])

    def test_lost_reports_do_not_change_the_state_at_once(self):
        """A slow server without requests has no measured work either."""
        self.judge(1, 0.06)
        self.assertEqual(self.judge(4.5, None), [])
        self.assertEqual(self.judge(1, None), [('0', State.RETURNING)])

    def test_resolution_of_reports_makes_no_server_slow(self):
        self.assertEqual(self.judge(5, 0.002, 0.001), [])

    def test_servers_with_other_requests_are_not_slow(self):
        """Servers may hold flows of routes with more work."""
        observations = {
            str(number): server_capacity.Observation(
                0.2 if number < 2 else 0.02, is_failing=False, route=number < 2
            )
            for number in range(6)
        }
        self.assertEqual(self.capacity.update(observations, self.now), [])

    def test_two_servers_and_one(self):
        pair = {
            'a': server_capacity.Observation(0.02, is_failing=False),
            'b': server_capacity.Observation(0.05, is_failing=False),
        }
        capacity = server_capacity.ServerCapacity()
        self.assertEqual(len(capacity.update(pair, self.now)), 1)
        pair.pop('a')
        self.now += 30
        capacity.update(pair, self.now)
        self.assertEqual(capacity.share('a', self.now), 1)
