"""Waiting or refusing in the seconds after many processes were killed."""

import math
import unittest

from kumquatport.connection.packets import opening_wait

GOOD = opening_wait.AgentView(0.1, False, True, True)
CLOSED = GOOD._replace(accepts=False)
LEAVING = CLOSED._replace(is_ready=False)
KILLED = CLOSED._replace(silent_s=1.5, is_suspect=True)
LOST = KILLED._replace(silent_s=30.0)
NEVER = KILLED._replace(silent_s=math.inf)


class WaitingTest(unittest.TestCase):
    """A packet waits only for a copy that comes, and for somebody."""

    def test_after_a_loss_of_all(self):
        """Balancers are back before the agents; copies come 0.2, 0.6 s on."""
        for agents in ([], [NEVER], [KILLED, KILLED]):
            self.assertTrue(opening_wait.should_wait(0, 0.2, agents))
            self.assertTrue(opening_wait.should_wait(1, 0.4, agents))
            self.assertFalse(opening_wait.should_wait(2, 0.8, agents))

    def test_agents_that_are_started_again(self):
        self.assertTrue(opening_wait.should_wait(0, 60.0, [KILLED, LOST]))
        self.assertTrue(opening_wait.should_wait(1, 60.0, [LEAVING]))

    def test_nobody_is_expected(self):
        for agents in ([], [CLOSED], [LOST, NEVER], [CLOSED, LOST]):
            self.assertFalse(opening_wait.should_wait(0, 60.0, agents))

    def test_all_that_accept_have_turned_it_away(self):
        self.assertTrue(opening_wait.should_wait(0, 60.0, [GOOD]))
        self.assertFalse(opening_wait.should_wait(2, 60.0, [GOOD]))
