"""Network partitions between processes, and their end."""

import asyncio
import itertools

from kumquatport.version.replication import const
from tests.builders import memberships
from tests.unit.version.replication import cluster

# Seconds in which a document that was accepted is in force everywhere.
APPLY_S = 4


class LinksTest(cluster.ClusterCase):
    """Effects of cut links on records, documents and freshness."""

    async def async_put_document(self, version):
        await self.platform.async_put(
            const.KEY_DOCUMENT, memberships.document(version), version - 1
        )

    def is_everywhere(self, version):
        return all(
            member.current.version == version for member in self.all_members()
        )

    def cut_off(self, isolated, others):
        for other in others:
            self.cut(isolated, other)

    def collect_lapses(self, observers):
        """Return a list that collects each lapse that an observer merges."""
        lapsed = []

        def collect(record, _previous):
            if record.state == 'lapsed':
                lapsed.append(record.instance)

        for member in observers:
            member.registry.subscribe(collect)
        return lapsed

    async def test_agent_cut_from_an_observer_is_not_lapsed(self):
        lapsed = []
        for member in self.balancers:
            member.registry.subscribe(
                lambda record, _previous: (
                    lapsed.append(record) if record.state == 'lapsed' else None
                ),
            )
        self.cut(self.agents[0], self.balancers[0])
        self.cut(self.agents[0], self.balancers[1])
        await asyncio.sleep(2 * const.HEARTBEAT_LEASE_S)
        self.assertEqual(lapsed, [])

    async def test_document_reaches_a_balancer_by_its_agents(self):
        isolated = self.balancers[0]
        self.cut_off(isolated, self.balancers[1:])
        # It can't read the document from the platform either.
        isolated._document_watcher._platform = memberships.MemoryPlatform()
        isolated._document_watcher._platform.down = True
        await self.async_put_document(2)
        await self.async_until(lambda: self.is_everywhere(2), 6)

    async def test_isolated_balancer_loses_freshness(self):
        isolated = self.balancers[3]
        self.platform.down = True
        self.cut_off(isolated, [*self.balancers[:3], *self.agents])
        await self.async_until(lambda: not isolated.freshness.is_fresh(), 4)
        await asyncio.sleep(const.PEERS_ONLY_AFTER_S + 1)
        self.assertFalse(isolated.freshness.is_fresh())
        # It hasn't marked the instances that it can't reach as lapsed.
        self.assertEqual(len(isolated.registry.agents(cluster.SERVICE)), 3)
        self.heal()
        await self.async_until(isolated.freshness.is_fresh, 4)

    async def test_halves_converge_after_a_partition(self):
        first_half, second_half = self.balancers[:2], self.balancers[2:]
        for first, second in itertools.product(first_half, second_half):
            self.cut(first, second)
        for member in self.agents:
            self.cut_off(member, second_half)
        await self.async_until(
            lambda: all(
                first_half[0].registry.get(member.announcer.own.instance).state
                == 'lapsed'
                for member in second_half
            ),
            8,
        )
        await self.async_put_document(2)
        lapsed = self.collect_lapses(first_half)
        self.heal()
        await self.async_until(
            lambda: (
                self.is_everywhere(2)
                and all(
                    len(member.registry.balancers()) == 4
                    for member in self.balancers
                )
            ),
            15,
        )
        await self.async_until(self.settled, 5)
        # Lapses in the second half must not reach the first half, where the
        # agents were alive all the time.
        self.assertEqual(
            [name for name in lapsed if name.startswith('agent')], []
        )

    async def test_document_is_in_force_in_time_when_watchers_lost_the_platform(
        self,
    ):
        """Nobody hands the document over, as after a change by the shell."""
        unavailable = memberships.MemoryPlatform()
        unavailable.down = True
        for member in self.balancers:
            if member._document_watcher.is_watcher:
                member._document_watcher._platform = unavailable
        # Their current watch requests end.
        await asyncio.sleep(const.WATCH_TIMEOUT_S)
        await self.async_put_document(2)
        await self.async_until(lambda: self.is_everywhere(2), APPLY_S)

    async def test_more_balancers_watch_when_watchers_lose_the_platform(self):
        """The first watchers by rank lose the platform; others watch too."""
        watchers = [
            member
            for member in self.balancers
            if member._document_watcher.is_watcher
        ]
        self.assertEqual(len(watchers), const.WATCHERS)
        unavailable = memberships.MemoryPlatform()
        unavailable.down = True
        for member in watchers:
            member._document_watcher._platform = unavailable
        # Their current watch requests still run for a while.
        await asyncio.sleep(
            const.WATCH_TIMEOUT_S + const.EXTRA_WATCHERS_AFTER_S + 3
        )
        await self.async_put_document(2)
        await self.async_until(lambda: self.is_everywhere(2), 4)
