"""Tests of the time from a change in the store to its being in force."""

import asyncio
import unittest
from unittest import mock

from tests import clocks
from tests.builders import watch_clusters

DOMAINS = ('a', 'a', 'b', 'b', 'c')
SETTLED_S = 8.0
STEP_S = 0.02


class ConfigurationDelayTest(unittest.TestCase):
    """Each change is in force everywhere within the bounds of the settings."""

    def setUp(self):
        self.loop = clocks.SimulatedLoop(packet_wait_s=0)
        self.addCleanup(self.loop.close)
        for name, function in (
            ('now', self.loop.time),
            ('unix_ms', lambda: int(1e12 + self.loop.time() * 1000)),
        ):
            patch = mock.patch(f'kumquatport.helpers.clock.{name}', function)
            patch.start()
            self.addCleanup(patch.stop)

    def run_cluster(self, scenario, domains=DOMAINS, seed=1):
        async def run():
            cluster = watch_clusters.Cluster(
                self.loop, domains, agents=2 * len(domains), seed=seed
            )
            await cluster.async_start()
            await asyncio.sleep(SETTLED_S)
            try:
                await scenario(cluster)
            finally:
                await cluster.async_stop()

        self.loop.run_until_complete(run())

    async def lose_store(self, cluster, count):
        """Cut the first balancers off just after the store has answered."""
        answered_at = cluster.store.answered_at
        while cluster.store.answered_at == answered_at:
            await asyncio.sleep(STEP_S)
        cluster.store.silent.update(list(cluster.balancers)[:count])

    async def assert_in_force(self, cluster, version, started_at):
        bounds = cluster.instances[0].settings.bounds
        await asyncio.sleep(2 * bounds.apply_s)
        delays = {
            instance.name: min(
                (
                    at - started_at
                    for applied, at in instance.applied.items()
                    if applied >= version
                ),
                default=float('inf'),
            )
            for instance in cluster.instances
        }
        self.assertLessEqual(max(delays.values()), bounds.apply_s, delays)

    def test_change_after_the_watchers_lost_the_store_is_in_force_in_time(self):
        async def lose_and_change(cluster):
            for _ in range(3):
                await self.lose_store(cluster, 2)
                started_at = self.loop.time()
                version = cluster.store.write_routes()
                await self.assert_in_force(cluster, version, started_at)
                cluster.store.silent.clear()
                await asyncio.sleep(SETTLED_S)

        self.run_cluster(lose_and_change)


if __name__ == '__main__':
    unittest.main()
