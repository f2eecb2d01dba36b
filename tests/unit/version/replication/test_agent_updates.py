"""Updates that an observer sends to an agent about its service."""

import unittest

from kumquatport.version import members
from kumquatport.version.replication import agent_updates, const, subset
from tests.builders import members as builders


class AgentUpdatesTest(unittest.TestCase):
    """An observer of three agents, one of which sends heartbeats."""

    def setUp(self):
        self.observer = members.Registry()
        self.agent = members.Registry()
        self.own = builders.agent(instance='agent-0')
        self.agent.merge(self.own)
        for number in range(3):
            self.observer.merge(builders.agent(instance=f'agent-{number}'))
        self.updates = agent_updates.AgentUpdates(self.observer)

    def send_update(self, *, lost=False):
        """Answer one heartbeat; return the instances in the answer."""
        digest = subset.digest(self.agent, 'storefront', 'agent-0')
        sent = self.updates.records_for(self.own, digest)
        if not lost:
            for record in sent:
                self.agent.merge(record)
        return {record.instance for record in sent}

    def test_all_records_first_then_none(self):
        self.assertEqual(self.send_update(), {'agent-1', 'agent-2'})
        self.assertEqual(self.send_update(), set())

    def test_only_changed_records_are_sent(self):
        self.send_update()
        self.observer.merge(builders.agent(instance='agent-2', sequence=2))
        self.assertEqual(self.send_update(), {'agent-2'})
        gone = builders.agent(instance='agent-1', sequence=2, state='gone')
        self.observer.merge(gone)
        self.assertEqual(self.send_update(), {'agent-1'})
        self.assertEqual(self.send_update(), set())

    def test_lost_answer_is_resent(self):
        self.send_update(lost=True)
        self.assertEqual(self.send_update(), {'agent-1', 'agent-2'})
        self.assertEqual(self.send_update(), set())

    def test_restarted_agent_gets_all(self):
        self.send_update()
        self.own = builders.agent(instance='agent-0', incarnation=2)
        self.agent = members.Registry()
        self.agent.merge(self.own)
        self.observer.merge(self.own)
        self.assertEqual(self.send_update(), {'agent-1', 'agent-2'})

    def test_no_records_without_request(self):
        self.assertEqual(self.updates.records_for(self.own, 0), ())

    def test_subset_of_a_large_service(self):
        for number in range(3 * const.MAX_SUBSET_RECORDS):
            self.observer.merge(builders.agent(instance=f'agent-{number}'))
        self.assertEqual(len(self.send_update()), const.MAX_SUBSET_RECORDS)
        self.assertEqual(self.send_update(), set())
