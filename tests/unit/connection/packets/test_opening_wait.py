"""Wait or reset of opening packets after many processes were killed."""

import math
import unittest

from kumquatport.connection.packets import opening_wait

ACCEPTING = opening_wait.AgentView(0.1, False, True, True)
NOT_ACCEPTING = ACCEPTING._replace(accepts=False)
LEAVING = NOT_ACCEPTING._replace(is_ready=False)
KILLED = NOT_ACCEPTING._replace(silent_s=1.5, is_suspect=True)
LOST = KILLED._replace(silent_s=30.0)
NEVER_HEARD = KILLED._replace(silent_s=math.inf)


class OpeningWaitTest(unittest.TestCase):
    """A packet waits if a retransmission follows and an agent is expected."""

    def test_balancer_restarts_before_the_agents(self):
        """Retransmissions follow after 0.2 and 0.6 s."""
        for agents in ([], [NEVER_HEARD], [KILLED, KILLED]):
            self.assertTrue(opening_wait.should_wait(0, 0.2, agents))
            self.assertTrue(opening_wait.should_wait(1, 0.4, agents))
            self.assertFalse(opening_wait.should_wait(2, 0.8, agents))

    def test_restarting_agents_are_expected(self):
        self.assertTrue(opening_wait.should_wait(0, 60.0, [KILLED, LOST]))
        self.assertTrue(opening_wait.should_wait(1, 60.0, [LEAVING]))

    def test_no_agent_is_expected(self):
        for agents in (
            [],
            [NOT_ACCEPTING],
            [LOST, NEVER_HEARD],
            [NOT_ACCEPTING, LOST],
        ):
            self.assertFalse(opening_wait.should_wait(0, 60.0, agents))

    def test_accepting_agents_have_refused_it(self):
        self.assertTrue(opening_wait.should_wait(0, 60.0, [ACCEPTING]))
        self.assertFalse(opening_wait.should_wait(2, 60.0, [ACCEPTING]))
