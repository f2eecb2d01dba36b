"""What spreads between many instances, and what that costs."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from kumquatport.process.packets import known_configuration, membership, relay
from kumquatport.version import members, routes
from tests.builders import packets as builders
from tests.emulator import deployment, world

PORTS = strategies.dictionaries(
    strategies.integers(1, 40), strategies.sampled_from(('store', 'manuals'))
)


def table(version, ports):
    """Build routes to services by port."""
    rows = {
        (1, port): routes.Route(
            1, port, (routes.WeightedService(service, 1.0),)
        )
        for port, service in ports.items()
    }
    rule = routes.ServiceConfig('store', float(version % 3), '/')
    return routes.RouteTable(version, rows, {'store': rule}, 15.0)


class RelayTest(unittest.TestCase):
    """Each instance is told once by each root, and nobody tells many."""

    def test_each_is_told_once_from_any_root(self):
        for count in (1, 2, 9, 10, 73, 500):
            balancers = [f'front-{number:03}' for number in range(count)]
            agents = [f'side-{number:03}' for number in range(3 * count)]
            for root in (balancers[0], balancers[count // 2], balancers[-1]):
                told = collections.Counter({root: 1})
                for own in balancers:
                    found = relay.receivers(own, root, balancers, agents)
                    self.assertLessEqual(len(found), relay.FAN_OUT + 3)
                    told.update(found)
                self.assertEqual(set(told.values()), {1})
                self.assertEqual(len(told), 4 * count)

    def test_two_roots_leave_an_agent_to_two_balancers(self):
        balancers = ['front-1', 'front-2', 'front-3']
        agents = ['side-1', 'side-2', 'side-3']
        for agent in agents:
            by = {
                own
                for root in balancers[:2]
                for own in balancers
                if agent in relay.receivers(own, root, balancers, agents)
            }
            self.assertEqual(len(by), 2)

    def test_an_agent_tells_nobody(self):
        found = relay.receivers('side-1', 'front-1', ['front-1'], ['side-1'])
        self.assertEqual(found, [])


class ChangesTest(unittest.TestCase):
    """Changes of the routes lead to the same table as the whole."""

    @hypothesis.given(PORTS, PORTS)
    def test_a_change_leads_to_the_later_table(self, before, after):
        one, two = table(1, before), table(2, after)
        change = routes.compute_delta(
            routes.digest(routes.encode(one)), one, two
        )
        found = routes.apply_delta(one, change)
        self.assertEqual(routes.encode(found), routes.encode(two))

    def test_a_peer_that_missed_some_applies_all(self):
        one, two = (
            known_configuration.KnownConfiguration('front-1'),
            known_configuration.KnownConfiguration('front-2'),
        )
        tables = [table(1, {port: 'store' for port in range(200)})]
        for version in (4, 5, 9):
            rows = dict(tables[-1].routes)
            rows.pop((1, version))
            tables.append(tables[-1]._replace(version=version, routes=rows))
        two.update_routes(routes.encode(tables[0]), 'store')
        for each in tables:
            one.update_routes(routes.encode(each), 'store')
        told = one.snapshot(with_changes=True)
        self.assertFalse(two.merge(told, 'front-1'))
        self.assertEqual(two.encoded_routes, one.encoded_routes)
        self.assertEqual(two.origin, 'front-1')

    def test_a_peer_with_other_routes_fetches_the_whole(self):
        one, two = (
            known_configuration.KnownConfiguration('front-1'),
            known_configuration.KnownConfiguration('front-2'),
        )
        one.update_routes(routes.encode(table(1, {1: 'store'})), 'store')
        one.update_routes(routes.encode(table(2, {2: 'store'})), 'store')
        two.update_routes(routes.encode(table(1, {9: 'store'})), 'store')
        self.assertTrue(two.merge(one.snapshot(with_changes=True), 'front-1'))
        self.assertEqual(two.routes_version, 1)

    def test_large_changes_are_not_told(self):
        one = known_configuration.KnownConfiguration('front-1')
        one.update_routes(routes.encode(table(1, {1: 'store'})), 'store')
        many = {port: 'store' for port in range(500)}
        one.update_routes(routes.encode(table(2, many)), 'store')
        self.assertEqual(one.snapshot(with_changes=True).changes, ())


class MembershipTest(unittest.TestCase):
    """An agent keeps the balancers; a balancer shares these with it."""

    def test_both_share_the_balancers(self):
        front = membership.Membership(keeps_agents=True)
        side = membership.Membership(keeps_agents=False)
        balancer = builders.record(
            'front-1', address='10.0.0.1', kind=members.KIND_BALANCER
        )
        for held in (front, side):
            held.merge(balancer)
            held.merge(builders.record('side-1'))
        self.assertEqual(len(front.registry), 2)
        self.assertEqual(len(side.registry), 1)
        self.assertEqual(
            front.shared_registry(members.KIND_AGENT).total_digest(),
            side.shared_registry(members.KIND_BALANCER).total_digest(),
        )
        front.forget('front-1')
        self.assertEqual(len(front.shared_registry(members.KIND_AGENT)), 0)


class CostTest(unittest.TestCase):
    """Control bytes of a deployment in which much changes at once."""

    BALANCERS = 12
    AGENTS = 48
    # What a node may spend on control at the size designed for.
    LIMIT_BYTES_PER_S = 25_000

    def setUp(self):
        self.sim = world.World(1)
        clocks = self.sim.clocks()
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

    def busiest(self, seconds):
        """Run, and return the bytes a second that the busiest node sent."""
        before = dict(self.sim.sent_bytes)
        self.sim.run(self.sim.time + seconds)
        return max(
            (sent - before.get(address, 0)) / seconds
            for address, sent in self.sim.sent_bytes.items()
        )

    def test_calm(self):
        self.assertLess(self.busiest(5), self.LIMIT_BYTES_PER_S)

    def test_agents_stopped_in_turn(self):
        for number, address in enumerate(self.system.agents()[:24]):
            self.sim.after(
                number / 3, lambda at=address: self.system.term(at, 0.5)
            )
        self.assertLess(self.busiest(9), self.LIMIT_BYTES_PER_S)

    def test_configuration_changes_in_a_row(self):
        # Four times the mean rate of changes at the size designed for.
        self.change(count=10, pause_s=1.0)
        self.assertLess(self.busiest(10), self.LIMIT_BYTES_PER_S)

    def test_a_storm_of_changes_is_in_force_everywhere(self):
        self.change(count=20, pause_s=0.2)
        self.sim.run(self.sim.time + 5)
        versions = {
            process.beliefs.routes_version
            for process in self.system.processes.values()
        }
        self.assertEqual(versions, {self.system.store.version})

    def change(self, count, pause_s):
        for number in range(count):
            route = ('198.18.0.9', 1000 + number)
            self.sim.after(
                number * pause_s,
                lambda at=route: self.system.set_route(at, True),
            )
