"""Tests of a store that is restored from an older copy and counts anew."""

import asyncio
import unittest

from tests.builders import watch_clusters
from tests.unit.process.packets import test_configuration_delay

SETTLED_S = test_configuration_delay.SETTLED_S
# Seconds from the restoration until the operators have written again.
REWRITE_S = 2.0
MAX_PAUSE_S = 9.0


class RestoredStoreCase(test_configuration_delay.ClusterCase):
    """Clusters whose store loses its latest writes."""

    async def restore(self, cluster, saved, down_s=0.5):
        """Make the store unavailable, then restore it from a copy."""
        cluster.store.silent = set(cluster.balancers)
        await asyncio.sleep(down_s)
        cluster.store.silent = set()
        cluster.store.restore(saved)

    async def assert_domains(self, cluster, expected, paused=()):
        """Check that a change of now is in force everywhere in time."""
        await asyncio.sleep(cluster.bounds.configuration_s)
        known = {
            instance.name: set(instance.configuration.domains_out)
            for instance in cluster.instances
            if instance not in paused
        }
        self.assertEqual(known, dict.fromkeys(known, set(expected)))

    async def write_often(self, cluster, count=20):
        """Bring the revision far ahead of any copy."""
        for _ in range(count):
            cluster.store.write_routes()


class RestoredStoreTest(RestoredStoreCase):
    """EVAC: changes are followed although their revisions are lower."""

    def test_failure_domain_is_taken_out_after_the_store_was_restored(self):
        async def restore_and_take_out(cluster):
            saved = cluster.store.take_copy()
            await self.write_often(cluster)
            cluster.store.take_out('a')
            await self.assert_domains(cluster, 'a')
            await self.restore(cluster, saved)
            cluster.store.take_out('a')
            await asyncio.sleep(SETTLED_S)
            cluster.store.take_out()
            await self.assert_domains(cluster, '')
            cluster.store.take_out('b')
            await self.assert_domains(cluster, 'b')

        self.run_cluster(restore_and_take_out)

    def test_balancer_that_joins_after_the_restoration_follows(self):
        async def restore_and_join(cluster):
            saved = cluster.store.take_copy()
            await self.write_often(cluster)
            cluster.store.take_out('a')
            await self.assert_domains(cluster, 'a')
            await self.restore(cluster, saved)
            await cluster.async_join('c')
            await asyncio.sleep(SETTLED_S)
            cluster.store.take_out('b')
            await self.assert_domains(cluster, 'b')

        self.run_cluster(restore_and_join)

    def test_change_between_two_watches_is_seen_if_revisions_caught_up(self):
        """The store is never away, and its revision passes the former one."""

        async def restore_unnoticed(cluster):
            cluster.store.take_out('a')
            await self.assert_domains(cluster, 'a')
            saved = cluster.store.take_copy()
            cluster.store.restore(saved)
            cluster.store.take_out('b')
            await self.write_often(cluster)
            await self.assert_domains(cluster, 'ab')
            await asyncio.sleep(cluster.bounds.evacuate_s)
            await self.assert_domains(cluster, 'b')

        self.run_cluster(restore_unnoticed)

    def test_failure_domain_stays_out_until_it_is_written_again(self):
        """The copy is older than the evacuation, which is still wanted."""

        async def restore_and_rewrite(cluster):
            saved = cluster.store.take_copy()
            cluster.store.take_out('a')
            await self.assert_domains(cluster, 'a')
            await self.restore(cluster, saved)
            for _ in range(round(REWRITE_S / test_configuration_delay.STEP_S)):
                await asyncio.sleep(test_configuration_delay.STEP_S)
                for instance in cluster.instances:
                    self.assertEqual(instance.configuration.domains_out, {'a'})
            cluster.store.take_out('a')
            await self.assert_domains(cluster, 'a')
            cluster.store.take_out()
            await self.assert_domains(cluster, '')

        self.run_cluster(restore_and_rewrite)

    def test_failure_domain_that_nobody_writes_again_comes_back(self):
        async def restore(cluster):
            saved = cluster.store.take_copy()
            cluster.store.take_out('a')
            await self.assert_domains(cluster, 'a')
            await self.restore(cluster, saved)
            await asyncio.sleep(cluster.bounds.evacuate_s)
            await self.assert_domains(cluster, '')

        self.run_cluster(restore)


class RestoredHistoryTest(RestoredStoreCase):
    """EVAC: random restorations among changes, pauses, cuts and joins."""

    SEEDS = range(1, 9)
    CHANGES = 4

    def test_changes_are_in_force_in_time_in_random_histories(self):
        self.play_histories(
            self.SEEDS,
            (2, 3, 5, 9),
            self.play,
            lambda rng: watch_clusters.BOUNDS._replace(
                apply_s=rng.choice((2.0, 3.0, 6.0)),
                evacuate_s=rng.choice((2.0, 4.0, 5.0)),
            ),
        )

    async def play(self, rng, cluster):
        cluster.loss = test_configuration_delay.LOSS
        for _ in range(self.CHANGES):
            await self.play_restorations(rng, cluster)
            # The bounds hold again once the store has been undisturbed. An
            # instance holds domains that were not written again for evacuate_s
            # from when it hears of the restoration, which may be after a pause.
            await asyncio.sleep(
                max(SETTLED_S, MAX_PAUSE_S + cluster.bounds.evacuate_s)
            )
            names = list(cluster.balancers)
            count = rng.choice((0, 1, rng.randrange(len(names))))
            cluster.store.silent = set(rng.sample(names, count))
            paused = rng.sample(cluster.instances, rng.randrange(2))
            for instance in paused:
                instance.frozen_until = self.loop.time() + rng.uniform(
                    0.2, MAX_PAUSE_S
                )
            out = rng.sample('abcd', rng.randrange(3))
            cluster.store.take_out(*out)
            await self.assert_domains(cluster, out, paused)
            cluster.store.silent = set()
            await asyncio.sleep(SETTLED_S)
            await self.assert_domains(cluster, out)

    async def play_restorations(self, rng, cluster):
        """Restore the store up to three times from copies of any age."""
        saved = [cluster.store.take_copy()]
        for _ in range(rng.randrange(1, 4)):
            for _ in range(rng.randrange(8)):
                cluster.store.take_out(*rng.sample('abcd', rng.randrange(3)))
                await asyncio.sleep(rng.choice((0, 0.01, rng.uniform(0, 2))))
                saved.append(cluster.store.take_copy())
            if rng.random() < 0.5:
                instance = rng.choice(cluster.instances)
                instance.frozen_until = self.loop.time() + rng.uniform(
                    0.2, MAX_PAUSE_S
                )
            down_s = rng.choice((0, 0.001, 0.5, 3))
            await self.restore(cluster, rng.choice(saved[-5:]), down_s)
            if rng.random() < 0.3:
                await cluster.async_join(rng.choice('abcd'))
            for _ in range(rng.randrange(8)):
                cluster.store.write_routes()


if __name__ == '__main__':
    unittest.main()
