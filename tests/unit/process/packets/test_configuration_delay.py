"""Tests of the time from a change in the store to its being in force."""

import asyncio
import functools
import os
import random
import unittest
from unittest import mock

from kumquatport.process.packets import watch_timing
from tests import clocks
from tests.builders import watch_clusters

DOMAINS = ('a', 'a', 'b', 'b', 'c')
SETTLED_S = 8.0
STEP_S = 0.02
LOSS = 0.0005
# Share of the changes that come at once after a cut.
SOON_SHARE = 0.7


class ClusterCase(unittest.TestCase):
    """Clusters in simulated time."""

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

    def run_cluster(
        self, scenario, domains=DOMAINS, seed=1, bounds=watch_clusters.BOUNDS
    ):
        # The jitter of waits is drawn from the module's generator.
        random.seed(seed)

        async def run():
            cluster = watch_clusters.Cluster(
                self.loop,
                domains,
                agents=2 * len(domains),
                seed=seed,
                bounds=bounds,
            )
            await cluster.async_start()
            await asyncio.sleep(SETTLED_S)
            try:
                await scenario(cluster)
            finally:
                await cluster.async_stop()

        self.loop.run_until_complete(run())

    def play_histories(self, default_seeds, sizes, play, draw_bounds):
        """Play random histories in deployments of random sizes.

        Args:
            default_seeds: Seeds, unless ``KUMQUATPORT_SEEDS`` names the last.
            sizes: Numbers of balancers to draw from.
            play: Coroutine function of a random generator and a cluster.
            draw_bounds: Returns bounds that it draws from a generator.
        """
        seeds = os.environ.get('KUMQUATPORT_SEEDS')
        last = int(seeds) + 1 if seeds else default_seeds.stop
        for seed in range(default_seeds.start, last):
            rng = random.Random(seed)
            domains = [rng.choice('abcd') for _ in range(rng.choice(sizes))]
            bounds = draw_bounds(rng)
            with self.subTest(seed=seed):
                self.run_cluster(
                    functools.partial(play, rng), domains, seed, bounds
                )

    async def lose_store(self, cluster, count):
        """Cut the first balancers off just after the store has answered."""
        answered_at = cluster.store.answered_at
        while cluster.store.answered_at == answered_at:
            await asyncio.sleep(STEP_S)
        cluster.store.silent.update(list(cluster.balancers)[:count])

    async def assert_in_force(self, cluster, version, started_at):
        bounds = cluster.instances[0].settings.bounds
        await asyncio.sleep(2 * bounds.apply_s)
        self.assert_delays(cluster, version, started_at, cluster.instances)

    def assert_delays(self, cluster, version, started_at, instances):
        bounds = cluster.instances[0].settings.bounds
        delays = {
            instance.name: min(
                (
                    at - started_at
                    for applied, at in instance.applied.items()
                    if applied >= version
                ),
                default=float('inf'),
            )
            for instance in instances
        }
        self.assertLessEqual(max(delays.values()), bounds.apply_s, delays)


class ConfigurationDelayTest(ClusterCase):
    """Each change is in force everywhere within the bounds of the settings."""

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

    def test_heartbeats_that_waited_do_not_delay_the_substitutes(self):
        """Agents that were paused tell of confirmations of before."""

        async def lose_and_change(cluster):
            agents = list(cluster.agents.values())
            await self.lose_store(cluster, 3)
            started_at = self.loop.time()
            for index, agent in enumerate(agents):
                agent.frozen_until = started_at + 1.2 + 0.1 * index
            version = cluster.store.write_routes()
            await asyncio.sleep(6)
            self.assert_delays(
                cluster, version, started_at, cluster.balancers.values()
            )

        for seed in range(1, 6):
            self.run_cluster(lose_and_change, seed=seed)

    def test_any_number_of_balancers_may_have_lost_the_store(self):
        async def lose_and_change(cluster):
            for count in (1, 3, 4):
                await self.lose_store(cluster, count)
                started_at = self.loop.time()
                version = cluster.store.write_routes()
                await self.assert_in_force(cluster, version, started_at)
                cluster.store.silent.clear()
                await asyncio.sleep(SETTLED_S)

        self.run_cluster(lose_and_change)

    def test_change_is_in_force_in_time_whenever_it_comes_in_a_cut(self):
        async def lose_and_change(cluster):
            await self.lose_store(cluster, 2)
            for step in range(8):
                await asyncio.sleep(0.23 * step)
                started_at = self.loop.time()
                version = cluster.store.write_routes()
                await self.assert_in_force(cluster, version, started_at)

        self.run_cluster(lose_and_change)

    def test_failure_domain_is_out_in_time_after_a_cut(self):
        async def lose_and_take_out(cluster):
            await self.lose_store(cluster, 4)
            started_at = self.loop.time()
            cluster.store.take_out('b')
            bounds = cluster.instances[0].settings.bounds
            await asyncio.sleep(2 * bounds.evacuate_s)
            for instance in cluster.instances:
                applied_at = instance.domains_applied_at[frozenset('b')]
                self.assertLessEqual(
                    applied_at - started_at, bounds.configuration_s
                )

        self.run_cluster(lose_and_take_out)

    def test_change_is_in_force_in_time_when_messages_are_lost(self):
        async def lose_and_change(cluster):
            cluster.loss = 0.1
            for _ in range(3):
                await self.lose_store(cluster, 2)
                started_at = self.loop.time()
                version = cluster.store.write_routes()
                await self.assert_in_force(cluster, version, started_at)
                cluster.store.silent.clear()
                await asyncio.sleep(SETTLED_S)

        for seed in range(1, 9):
            self.run_cluster(lose_and_change, seed=seed)

    def test_lost_relay_is_repaired_without_heartbeats(self):
        """With thousands of instances heartbeats are too rare for that."""

        async def lose_relay(cluster):
            bounds = cluster.instances[0].settings.bounds
            with mock.patch(
                'kumquatport.process.packets.peers.round_s', lambda count: 60.0
            ):
                await asyncio.sleep(1)
                started_at = self.loop.time()
                cluster.loss = 1.0
                version = cluster.store.write_routes()
                await asyncio.sleep(bounds.apply_s / 30)
                cluster.loss = 0.0
                await self.assert_in_force(cluster, version, started_at)

        for seed in range(1, 9):
            self.run_cluster(lose_relay, seed=seed)

    def test_watchers_alone_read_while_they_have_the_store(self):
        async def count_calls(cluster):
            calls = cluster.store.calls
            await asyncio.sleep(60)
            timing = watch_timing.from_bound(
                cluster.instances[0].settings.bounds.configuration_s
            )
            parts = 2
            expected = 60 / timing.watch_s * parts * watch_timing.MIN_WATCHERS
            self.assertLessEqual(cluster.store.calls - calls, 1.05 * expected)

        self.run_cluster(count_calls)


class HistoryTest(ClusterCase):
    """Random cuts, pauses and changes, in deployments of random sizes."""

    SEEDS = range(1, 5)
    CHANGES = 4

    def test_changes_are_in_force_in_time_in_random_histories(self):
        self.play_histories(
            self.SEEDS,
            (2, 3, 5, 9, 16),
            self.play,
            lambda rng: watch_clusters.BOUNDS._replace(
                apply_s=rng.choice((2.0, 3.0, 4.0, 6.0))
            ),
        )

    async def play(self, rng, cluster):
        cluster.loss = LOSS
        names = list(cluster.balancers)
        for _ in range(self.CHANGES):
            await asyncio.sleep(rng.uniform(0, 2 * cluster.bounds.apply_s))
            count = rng.choice((len(names) - 1, rng.randrange(len(names))))
            cluster.store.silent = set(rng.sample(names, count))
            paused = rng.sample(cluster.instances, rng.randrange(3))
            for instance in paused:
                instance.frozen_until = self.loop.time() + rng.uniform(0.2, 3)
            if rng.random() > SOON_SHARE:
                await asyncio.sleep(rng.uniform(0, cluster.bounds.apply_s))
            started_at = self.loop.time()
            version = cluster.store.write_routes()
            await asyncio.sleep(2 * cluster.bounds.apply_s)
            self.assert_delays(
                cluster,
                version,
                started_at,
                [one for one in cluster.instances if one not in paused],
            )


if __name__ == '__main__':
    unittest.main()
