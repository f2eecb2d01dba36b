"""Tests of the dissemination of changes and of its traffic."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from kumquatport.process.packets import (
    known_configuration,
    membership,
    mesh,
    messages,
    peers,
    relay,
)
from kumquatport.version import members, routes
from tests.builders import packets as builders
from tests.emulator import deployment, simulation

PORTS = strategies.dictionaries(
    strategies.integers(1, 40), strategies.sampled_from(('store', 'manuals'))
)


def table(version, ports):
    """Return a route table from services by port."""
    rows = {
        (1, port): routes.Route(
            1, port, (routes.WeightedService(service, 1.0),)
        )
        for port, service in ports.items()
    }
    rule = routes.ServiceConfig('store', float(version % 3), '/')
    return routes.RouteTable(version, rows, {'store': rule}, 15.0)


class RelayTest(unittest.TestCase):
    """A change reaches each instance once per root, with limited fan-out."""

    def test_each_instance_is_reached_once_from_any_origin(self):
        for count in (1, 2, 9, 10, 73, 500):
            balancers = [f'front-{number:03}' for number in range(count)]
            agents = [f'side-{number:03}' for number in range(3 * count)]
            for origin in (balancers[0], balancers[count // 2], balancers[-1]):
                reached = collections.Counter({origin: 1})
                for own in balancers:
                    receivers = relay.receivers(own, origin, balancers, agents)
                    self.assertLessEqual(len(receivers), relay.FAN_OUT + 3)
                    reached.update(receivers)
                self.assertEqual(set(reached.values()), {1})
                self.assertEqual(len(reached), 4 * count)

    def test_two_origins_assign_an_agent_to_two_balancers(self):
        balancers = ['front-1', 'front-2', 'front-3']
        agents = ['side-1', 'side-2', 'side-3']
        for agent in agents:
            assigned = {
                own
                for origin in balancers[:2]
                for own in balancers
                if agent in relay.receivers(own, origin, balancers, agents)
            }
            self.assertEqual(len(assigned), 2)

    def test_repeat_reaches_each_instance_by_another_way(self):
        for count in (2, 5, 73):
            balancers = [f'front-{number:03}' for number in range(count)]
            agents = [f'side-{number:03}' for number in range(3 * count)]
            ways = []
            for is_repeat in (False, True):
                senders = {
                    receiver: own
                    for own in balancers
                    for receiver in relay.receivers(
                        own,
                        balancers[1],
                        balancers,
                        agents,
                        is_repeat=is_repeat,
                    )
                }
                self.assertLessEqual(set(agents), set(senders))
                self.assertGreaterEqual(len(senders), 4 * count - 1)
                ways.append(senders)
            first, second = ways
            others = [name for name in agents if first[name] != balancers[1]]
            for agent in others:
                self.assertNotEqual(first[agent], second[agent])

    def test_origin_repeats_what_it_has_sent(self):
        """Nobody else can, if all of it is lost."""
        balancers = [f'front-{number:03}' for number in range(73)]
        agents = [f'side-{number:03}' for number in range(219)]
        own = balancers[5]
        sent = relay.receivers(own, own, balancers, agents)
        repeated = relay.receivers(own, own, balancers, agents, is_repeat=True)
        self.assertLessEqual(set(sent), set(repeated))
        self.assertEqual(len(repeated), len(set(repeated)))

    def test_agent_relays_nothing(self):
        receivers = relay.receivers(
            'side-1', 'front-1', ['front-1'], ['side-1']
        )
        self.assertEqual(receivers, [])


class ChangesTest(unittest.TestCase):
    """Changes of the routes give the same table as the whole routes."""

    @hypothesis.given(PORTS, PORTS)
    def test_change_gives_the_later_table(self, before, after):
        first, second = table(1, before), table(2, after)
        change = routes.compute_delta(
            routes.digest(routes.encode(first)), first, second
        )
        changed = routes.apply_delta(first, change)
        self.assertEqual(routes.encode(changed), routes.encode(second))

    def test_a_peer_that_missed_some_applies_all(self):
        first, second = (
            known_configuration.KnownConfiguration('front-1'),
            known_configuration.KnownConfiguration('front-2'),
        )
        tables = [table(1, {port: 'store' for port in range(200)})]
        for version in (4, 5, 9):
            rows = dict(tables[-1].routes)
            rows.pop((1, version))
            tables.append(tables[-1]._replace(version=version, routes=rows))
        second.update_routes(routes.encode(tables[0]), 'store')
        for later in tables:
            first.update_routes(routes.encode(later), 'store')
        state = first.snapshot(with_changes=True)
        self.assertFalse(second.merge(state, 'front-1'))
        self.assertEqual(second.encoded_routes, first.encoded_routes)
        self.assertEqual(second.origin, 'front-1')

    def test_a_peer_with_other_routes_fetches_the_whole(self):
        first, second = (
            known_configuration.KnownConfiguration('front-1'),
            known_configuration.KnownConfiguration('front-2'),
        )
        first.update_routes(routes.encode(table(1, {1: 'store'})), 'store')
        first.update_routes(routes.encode(table(2, {2: 'store'})), 'store')
        second.update_routes(routes.encode(table(1, {9: 'store'})), 'store')
        self.assertTrue(
            second.merge(first.snapshot(with_changes=True), 'front-1')
        )
        self.assertEqual(second.routes_version, 1)

    def test_large_changes_are_not_sent(self):
        first = known_configuration.KnownConfiguration('front-1')
        first.update_routes(routes.encode(table(1, {1: 'store'})), 'store')
        many = {port: 'store' for port in range(500)}
        first.update_routes(routes.encode(table(2, many)), 'store')
        self.assertEqual(first.snapshot(with_changes=True).changes, ())


class FetchTest(unittest.TestCase):
    """Routes that are too large for a message are fetched from a peer."""

    def test_peer_that_does_not_answer_is_passed_over(self):
        configuration = known_configuration.KnownConfiguration('side-1')
        agent = mesh.Mesh(
            builders.settings(), members.KIND_AGENT, configuration
        )
        fetches = []
        agent.connect(
            peers.Transport(
                lambda *_: True,
                lambda call: None,
                lambda record, finish: fetches.append((record, finish)),
                lambda *_: None,
            )
        )
        newer = routes.encode(builders.table(9))
        for number in (1, 2):
            record = builders.record(
                f'front-{number}',
                kind=members.KIND_BALANCER,
                service='',
                address=f'10.0.0.{number}',
            )
            state = messages.ConfigurationState(9, 1, (), 0.1, 'front-1')
            heartbeat = messages.Heartbeat(
                record, None, state, wants_reply=False
            )
            agent.on_datagram(messages.encode(heartbeat), (record.address, 1))
        self.assertEqual(
            [record.instance for record, _ in fetches], ['front-1']
        )
        fetches[0][1](None)
        self.assertEqual(fetches[1][0].instance, 'front-2')
        fetches[1][1](newer)
        self.assertEqual(configuration.routes_version, 9)
        self.assertEqual(len(fetches), 2)


class MembershipTest(unittest.TestCase):
    """An agent keeps balancers only; a balancer shares these with it."""

    def test_both_share_the_balancers(self):
        at_balancer = membership.Membership(keeps_agents=True)
        at_agent = membership.Membership(keeps_agents=False)
        balancer = builders.record(
            'front-1', address='10.0.0.1', kind=members.KIND_BALANCER
        )
        for records in (at_balancer, at_agent):
            records.merge(balancer)
            records.merge(builders.record('side-1'))
        self.assertEqual(len(at_balancer.registry), 2)
        self.assertEqual(len(at_agent.registry), 1)
        self.assertEqual(
            at_balancer.shared_registry(members.KIND_AGENT).total_digest(),
            at_agent.shared_registry(members.KIND_BALANCER).total_digest(),
        )
        at_balancer.forget('front-1')
        self.assertEqual(
            len(at_balancer.shared_registry(members.KIND_AGENT)), 0
        )


class TrafficTest(unittest.TestCase):
    """Control traffic of a deployment with many changes at once."""

    BALANCERS = 12
    AGENTS = 48
    # Limit of control traffic of an instance in the largest deployment.
    LIMIT_BYTES_PER_S = 25_000

    def setUp(self):
        self.sim = simulation.Simulation(1)
        clocks = self.sim.patch_clock()
        clocks.__enter__()
        self.addCleanup(clocks.__exit__, None, None, None)
        self.system = deployment.Deployment(
            self.sim,
            deployment.Plan(
                balancers=self.BALANCERS,
                store_agents=self.AGENTS,
                manual_agents=0,
                long_clients=0,
                short_clients=0,
            ),
        )
        self.system.start()
        self.sim.run(self.sim.time + 3)

    def max_bytes_per_s(self, seconds):
        """Run, and return the bytes per second of the busiest instance."""
        before = dict(self.sim.sent_bytes)
        self.sim.run(self.sim.time + seconds)
        return max(
            (sent - before.get(address, 0)) / seconds
            for address, sent in self.sim.sent_bytes.items()
        )

    def test_idle_deployment(self):
        self.assertLess(self.max_bytes_per_s(5), self.LIMIT_BYTES_PER_S)

    def test_agents_stopped_in_turn(self):
        for number, address in enumerate(self.system.agents()[:24]):
            self.sim.call_later(
                number / 3, lambda at=address: self.system.terminate(at, 0.5)
            )
        self.assertLess(self.max_bytes_per_s(9), self.LIMIT_BYTES_PER_S)

    def test_configuration_changes_in_a_row(self):
        # Four times the mean rate of changes in the largest deployment.
        self.change(count=10, pause_s=1.0)
        self.assertLess(self.max_bytes_per_s(10), self.LIMIT_BYTES_PER_S)

    def test_burst_of_changes_reaches_all_instances(self):
        self.change(count=20, pause_s=0.2)
        self.sim.run(self.sim.time + 5)
        versions = {
            process.configuration.routes_version
            for process in self.system.processes.values()
        }
        self.assertEqual(versions, {self.system.store.version})

    def change(self, count, pause_s):
        for number in range(count):
            route = ('198.18.0.9', 1000 + number)
            self.sim.call_later(
                number * pause_s,
                lambda at=route: self.system.set_route(at, True),
            )
