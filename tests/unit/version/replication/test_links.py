"""Links between processes are cut, and heal."""

import asyncio
import itertools

from kumquatport.version.replication import const
from tests.builders import memberships
from tests.unit.version.replication import cluster


class LinksTest(cluster.ClusterCase):
    """What cut links may and may not change."""

    async def async_accept(self, version):
        await self.platform.async_put(
            const.KEY_DOCUMENT, memberships.document(version), version - 1
        )

    def all_hold(self, version):
        return all(each.current.version == version for each in self.everyone())

    def cut_off(self, one, others):
        for other in others:
            self.cut(one, other)

    def lapses(self, observers):
        """Return a list that grows with each lapse that one of them takes."""
        found = []

        def note(record, _previous):
            if record.state == 'lapsed':
                found.append(record.instance)

        for each in observers:
            each.registry.subscribe(note)
        return found

    async def test_agent_cut_from_an_observer_is_not_lapsed(self):
        lapsed = []
        for each in self.balancers:
            each.registry.subscribe(
                lambda record, _previous: (
                    lapsed.append(record) if record.state == 'lapsed' else None
                ),
            )
        self.cut(self.agents[0], self.balancers[0])
        self.cut(self.agents[0], self.balancers[1])
        await asyncio.sleep(2 * const.HEARTBEAT_LEASE_S)
        self.assertEqual(lapsed, [])

    async def test_document_reaches_a_balancer_by_its_agents(self):
        alone = self.balancers[0]
        self.cut_off(alone, self.balancers[1:])
        # Neither does it read the platform.
        alone._document_watcher._platform = memberships.MemoryPlatform()
        alone._document_watcher._platform.down = True
        await self.async_accept(2)
        await self.async_until(lambda: self.all_hold(2), 6)

    async def test_balancer_that_reaches_nobody_stops_to_be_fresh(self):
        alone = self.balancers[3]
        self.platform.down = True
        self.cut_off(alone, [*self.balancers[:3], *self.agents])
        await self.async_until(lambda: not alone.freshness.is_fresh(), 4)
        await asyncio.sleep(const.PEERS_ONLY_AFTER_S + 1)
        self.assertFalse(alone.freshness.is_fresh())
        # Nor has it judged those that it does not hear.
        self.assertEqual(len(alone.registry.agents(cluster.SERVICE)), 3)
        self.heal()
        await self.async_until(alone.freshness.is_fresh, 4)

    async def test_two_halves_meet_again(self):
        near, far = self.balancers[:2], self.balancers[2:]
        for one, other in itertools.product(near, far):
            self.cut(one, other)
        for each in self.agents:
            self.cut_off(each, far)
        await self.async_until(
            lambda: all(
                near[0].registry.get(each.announcer.own.instance).state
                == 'lapsed'
                for each in far
            ),
            8,
        )
        await self.async_accept(2)
        wrong = self.lapses(near)
        self.heal()
        await self.async_until(
            lambda: (
                self.all_hold(2)
                and all(
                    len(each.registry.balancers()) == 4
                    for each in self.balancers
                )
            ),
            15,
        )
        await self.async_until(self.settled, 5)
        # What the far half took for lapsed never was so in the near one.
        self.assertEqual(
            [name for name in wrong if name.startswith('agent')], []
        )

    async def test_few_have_the_platform(self):
        """The watchers by rank lose the platform; others join in."""
        watchers = [
            each for each in self.balancers if each._document_watcher.is_watcher
        ]
        self.assertEqual(len(watchers), const.WATCHERS)
        dead = memberships.MemoryPlatform()
        dead.down = True
        for each in watchers:
            each._document_watcher._platform = dead
        # Their present watches go on for a while.
        await asyncio.sleep(
            const.WATCH_TIMEOUT_S + const.EXTRA_WATCHERS_AFTER_S + 3
        )
        await self.async_accept(2)
        await self.async_until(lambda: self.all_hold(2), 4)
