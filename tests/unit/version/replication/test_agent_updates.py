"""What an agent is told of the others of its service."""

import unittest

from kumquatport.version import members
from kumquatport.version.replication import agent_updates, const, subset
from tests.builders import members as builders


class SyncsTest(unittest.TestCase):
    """An observer of three agents and one agent that reports."""

    def setUp(self):
        self.observer = members.Registry()
        self.agent = members.Registry()
        self.own = builders.agent(instance='agent-0')
        self.agent.merge(self.own)
        for number in range(3):
            self.observer.merge(builders.agent(instance=f'agent-{number}'))
        self.syncs = agent_updates.AgentUpdates(self.observer)

    def tell(self, *, lost=False):
        """Have one heartbeat answered; return what it carried."""
        digest = subset.digest(self.agent, 'storefront', 'agent-0')
        told = self.syncs.records_for(self.own, digest)
        if not lost:
            for record in told:
                self.agent.merge(record)
        return {record.instance for record in told}

    def test_all_at_first_then_nothing(self):
        self.assertEqual(self.tell(), {'agent-1', 'agent-2'})
        self.assertEqual(self.tell(), set())

    def test_only_what_changed(self):
        self.tell()
        self.observer.merge(builders.agent(instance='agent-2', sequence=2))
        self.assertEqual(self.tell(), {'agent-2'})
        gone = builders.agent(instance='agent-1', sequence=2, state='gone')
        self.observer.merge(gone)
        self.assertEqual(self.tell(), {'agent-1'})
        self.assertEqual(self.tell(), set())

    def test_lost_answer_is_made_up_for(self):
        self.tell(lost=True)
        self.assertEqual(self.tell(), {'agent-1', 'agent-2'})
        self.assertEqual(self.tell(), set())

    def test_restarted_agent_is_told_all(self):
        self.tell()
        self.own = builders.agent(instance='agent-0', incarnation=2)
        self.agent = members.Registry()
        self.agent.merge(self.own)
        self.observer.merge(self.own)
        self.assertEqual(self.tell(), {'agent-1', 'agent-2'})

    def test_observer_that_is_not_asked_says_nothing(self):
        self.assertEqual(self.syncs.records_for(self.own, 0), ())

    def test_part_of_a_large_service(self):
        for number in range(3 * const.MAX_SUBSET_RECORDS):
            self.observer.merge(builders.agent(instance=f'agent-{number}'))
        self.assertEqual(len(self.tell()), const.MAX_SUBSET_RECORDS)
        self.assertEqual(self.tell(), set())
