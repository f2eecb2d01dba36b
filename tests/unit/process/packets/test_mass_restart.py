"""Tests of the detection of an unplanned restart of most instances."""

import unittest
from unittest import mock

from kumquatport.connection.packets import frame
from kumquatport.process.packets import (
    flow_lookup,
    forwarder,
    mass_restart,
)
from kumquatport.version import members, routes
from tests.builders import meshes
from tests.builders import packets as builders

NOW = 1_000.0
COUNT = 15


def starts(ages_s, *, heard=True):
    return [mass_restart.Start(NOW - age, heard) for age in ages_s]


class MassRestartTest(unittest.TestCase):
    """Whether the flows of most instances are known to nobody."""

    def check(self, rows):
        return mass_restart.is_mass_restart(rows, NOW)

    def test_all_started_together(self):
        ages = [0.5 + number * 0.06 for number in range(COUNT)]
        self.assertTrue(self.check(starts(ages)))

    def test_a_few_have_not_come_back(self):
        lost = starts([90.0] * 3, heard=False)
        self.assertTrue(self.check(starts([0.8] * (COUNT - 3)) + lost))

    def test_restarts_in_turn(self):
        """FLOW: the others know the flows, or stop next."""
        for at_once, gap_s in ((1, 1.0), (2, 0.3), (4, 1.1), (5, 1.3)):
            ages = [
                (COUNT - 1 - number) // at_once * gap_s
                for number in range(COUNT)
            ]
            for restarted in range(1, COUNT + 1):
                rest = [600.0] * (COUNT - restarted)
                with self.subTest(at_once=at_once, restarted=restarted):
                    rows = starts(ages[COUNT - restarted :] + rest)
                    self.assertFalse(self.check(rows))

    def test_restart_that_is_over(self):
        ages = [mass_restart.RECENT_S + 0.001] * COUNT
        self.assertFalse(self.check(starts(ages)))

    def test_instances_that_are_not_heard_may_still_run(self):
        """A balancer that has just started has read their records only."""
        own = starts([0.3])
        self.assertFalse(self.check(own))
        others = starts([600.0] * (COUNT - 1), heard=False)
        self.assertFalse(self.check(own + others))

    def test_instances_whose_start_is_unknown_may_have_run_before(self):
        """FLOW: instances of a former build do not state their uptime."""
        own = starts([0.3])
        others = [mass_restart.Start(None, is_heard=True)] * (COUNT - 1)
        self.assertFalse(self.check(own + others))


class ClocksTest(unittest.TestCase):
    """Probes of a balancer in a deployment whose clocks differ by seconds."""

    AGENTS = tuple(f'side-{number}' for number in range(6))
    BALANCERS = ('front-1', 'front-2')

    def setUp(self):
        self.now = NOW
        self.clock_ms = 1_700_000_000_000
        for name, replacement in (
            ('now', lambda: self.now),
            ('unix_ms', lambda: self.clock_ms + round(self.now * 1000)),
        ):
            patch = mock.patch(f'kumquatport.helpers.clock.{name}', replacement)
            patch.start()
            self.addCleanup(patch.stop)
        self.network = meshes.Network()
        self.offsets_s = {}

    def start(self, name):
        """Start an instance by the clock of its host."""
        number = (*self.BALANCERS, *self.AGENTS).index(name) + 1
        kind = (
            members.KIND_BALANCER
            if name in self.BALANCERS
            else members.KIND_AGENT
        )
        offset_ms = round(self.offsets_s.get(name, 0) * 1000)
        self.clock_ms += offset_ms
        started = self.network.start(name, f'10.0.0.{number}', kind)
        self.clock_ms -= offset_ms
        if kind == members.KIND_AGENT:
            started.load = lambda: builders.load(knows_all_flows=False)
        return started

    def start_all(self):
        for name in (*self.BALANCERS, *self.AGENTS):
            self.start(name)

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.3)):
            self.now += 0.3
            self.network.run_round()

    def probe_count(self):
        """Return the agents that front-1 probes for an unknown flow."""
        address = '10.0.0.1'
        self.clock_ms += round(self.offsets_s.get('front-1', 0) * 1000)
        configuration = self.network.configurations[address]
        configuration.update_routes(routes.encode(builders.table()), 'test')
        self.network.deliver()
        balancer = self.network.meshes[address]
        lookup = forwarder.Forwarder(
            builders.settings(instance='front-1', address=address),
            builders.CODEC,
            configuration,
            balancer,
        )
        packet = builders.datagram(builders.flow(), acknowledged=7)
        with mock.patch.object(balancer, 'send') as send:
            for _ in range(5):
                lookup.on_client(packet, (builders.CLIENT, 9000))
                self.now += 0.11
        return len(
            {
                call.args[1]
                for call in send.mock_calls
                if call.args[0][0] == frame.KIND_FORWARD
                and frame.unpack(call.args[0]).detail & frame.FORWARD_PROBE
            }
        )

    def test_power_loss_is_recognised_whatever_the_clocks_say(self):
        """Clients waited for the reset of flows that nobody held."""
        self.offsets_s = {name: 7 * n for n, name in enumerate(self.AGENTS)}
        self.start_all()
        self.run_for(0.3)
        self.assertEqual(self.probe_count(), len(self.AGENTS))

    def test_power_loss_is_recognised_with_the_own_clock_off(self):
        self.offsets_s = {'front-1': -30.0}
        self.start_all()
        self.run_for(0.3)
        self.assertEqual(self.probe_count(), len(self.AGENTS))

    def test_restart_alone_is_no_mass_restart_whatever_the_clocks_say(self):
        """FLOW: probes reached many other backend servers."""
        self.start_all()
        self.run_for(60)
        self.offsets_s = {'front-1': -59.0}
        self.start('front-1')
        self.run_for(0.3)
        self.assertEqual(self.probe_count(), flow_lookup.MAX_PROBES)

    def test_restart_alone_is_no_mass_restart(self):
        self.start_all()
        self.run_for(60)
        self.start('front-1')
        self.run_for(0.3)
        self.assertEqual(self.probe_count(), flow_lookup.MAX_PROBES)

    def test_restarts_of_all_others_are_seen_without_their_uptimes(self):
        """Instances of a former build do not state their uptime."""
        self.start_all()
        self.run_for(60)
        with mock.patch.object(frame, 'pack_uptime', return_value=b'\xff'):
            for name in self.AGENTS:
                self.start(name)
            self.run_for(0.3)
            self.assertEqual(self.probe_count(), len(self.AGENTS))

    def test_power_loss_ends_after_a_while(self):
        self.start_all()
        self.run_for(mass_restart.RECENT_S + 1)
        self.assertEqual(self.probe_count(), flow_lookup.MAX_PROBES)

    def test_malformed_uptime_is_ignored(self):
        self.start_all()
        balancer = self.network.meshes['10.0.0.1']
        before = balancer.starts()
        whole = frame.pack_uptime(frame.Uptime(1, 5.0))
        for length in range(1, len(whole) + 1):
            balancer.on_datagram(whole[:length], ('10.0.0.3', 7000))
        self.assertEqual(balancer.starts(), before)

    def test_uptime_is_encoded_exactly(self):
        uptime = frame.Uptime(7, 12.345)
        self.assertEqual(frame.unpack_uptime(frame.pack_uptime(uptime)), uptime)
        longest = frame.pack_uptime(frame.Uptime(7, 1e9))
        self.assertGreater(frame.unpack_uptime(longest).uptime_s, 4e6)
