"""Tests of instances whose clock was set back before a restart."""

import unittest
from unittest import mock

from kumquatport.process.packets import const, messages
from kumquatport.version import members
from tests.builders import meshes

AGENT = 'side-1'
ADDRESS = '10.0.0.11'
OTHER_ADDRESS = '10.0.0.12'


class ClockSetBackTest(unittest.TestCase):
    """A restarted instance outranks its former record."""

    def setUp(self):
        self.now = 1000.0
        self.unix_ms = 2_000_000
        for name, read in (
            ('now', lambda: self.now),
            ('unix_ms', lambda: self.unix_ms),
        ):
            patch = mock.patch(f'kumquatport.helpers.clock.{name}', read)
            patch.start()
            self.addCleanup(patch.stop)
        self.network = meshes.Network()
        self.balancers = [
            self.network.start(
                f'front-{number}', f'10.0.0.{number}', members.KIND_BALANCER
            )
            for number in (1, 2)
        ]

    def start_agent(self, address=ADDRESS):
        return self.network.start(AGENT, address, members.KIND_AGENT)

    def run_s(self, seconds):
        for _ in range(round(seconds / const.HEARTBEAT_S)):
            self.now += const.HEARTBEAT_S
            self.network.run_round()

    def assert_heard(self, restarted):
        own = restarted.own_record.current
        for balancer in self.balancers:
            if balancer is not restarted:
                self.assertEqual(balancer.registry.get(own.instance), own)
                self.assertFalse(balancer.is_suspect(own.instance))

    def test_restarted_agent_is_heard_although_its_clock_was_set_back(self):
        former = self.start_agent()
        former.own_record.update('leaving', None)
        self.network.deliver()
        self.unix_ms -= 5_000
        restarted = self.start_agent()
        self.run_s(2)
        self.assert_heard(restarted)
        self.assertGreater(
            restarted.own_record.current.incarnation,
            former.own_record.current.incarnation,
        )

    def test_agent_is_heard_by_balancers_that_know_different_records(self):
        """Only one has received the last record of the former process."""
        former = self.start_agent()
        later = former.own_record.current._replace(incarnation=2_000_500)
        heartbeat = messages.Heartbeat(
            later,
            None,
            self.balancers[0]._configuration.snapshot(with_changes=False),
            wants_reply=False,
        )
        self.balancers[0].on_datagram(
            messages.encode(heartbeat), (ADDRESS, 7000)
        )
        self.unix_ms -= 5_000
        restarted = self.start_agent()
        self.run_s(2)
        self.assert_heard(restarted)

    def test_process_that_was_replaced_elsewhere_stays_outranked(self):
        former = self.start_agent()
        self.unix_ms += 5_000
        successor = self.start_agent(OTHER_ADDRESS)
        incarnations = [
            process.own_record.current.incarnation
            for process in (former, successor)
        ]
        self.run_s(10)
        self.assertEqual(
            [
                process.own_record.current.incarnation
                for process in (former, successor)
            ],
            incarnations,
        )
        self.assert_heard(successor)

    def test_late_heartbeat_of_the_former_process_changes_nothing(self):
        former = self.start_agent().own_record.current
        self.unix_ms += 5_000
        restarted = self.start_agent()
        before = restarted.own_record.current
        heartbeat = messages.Heartbeat(
            former,
            None,
            self.balancers[0]._configuration.snapshot(with_changes=False),
            wants_reply=True,
        )
        self.balancers[0].on_datagram(
            messages.encode(heartbeat), (ADDRESS, 7000)
        )
        self.network.deliver()
        self.assertEqual(restarted.own_record.current, before)
        self.assert_heard(restarted)


if __name__ == '__main__':
    unittest.main()
