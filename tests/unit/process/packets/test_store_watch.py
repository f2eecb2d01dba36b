"""Tests of calls to the store in outages and bursts of changes."""

import asyncio
import collections
import unittest
from unittest import mock

from kumquatport import exceptions, objects
from kumquatport.process.packets import (
    const,
    known_configuration,
    store_watch,
    watch_timing,
)
from kumquatport.version import members, routes
from tests import clocks
from tests.builders import memberships
from tests.builders import packets as builders

KEY = 'config/main'
DOMAINS = 'evacuations'
BOUNDS = builders.settings().bounds
TIMING = watch_timing.from_bound(BOUNDS.configuration_s)
OPERATORS = store_watch.OperatorObjects(KEY, DOMAINS, routes.decode)


class Store(memberships.MemoryPlatform):
    """In-memory store that counts its calls by kind and prefix."""

    def __init__(self):
        super().__init__()
        self.counts = collections.Counter()
        self.written_at = {}

    async def async_list(self, prefix):
        self.counts['list', prefix] += 1
        return await super().async_list(prefix)

    async def async_watch(self, prefix, since, timeout):
        self.counts['watch', prefix] += 1
        waited = 0
        while waited < timeout:
            self._check_available()
            changed = [
                stored
                for key, stored in self.objects.items()
                if key.startswith(prefix) and self.written_at[key] > since
            ]
            if changed:
                return objects.Listing(self.revision, tuple(changed))
            await asyncio.sleep(0.02)
            waited += 0.02
        return objects.Listing(self.revision, ())

    async def async_write(self, version):
        await self.async_put(
            KEY, routes.encode(builders.table(version=version)), None
        )
        self.written_at[KEY] = self.revision


class RefusingStore(Store):
    """Store that refuses this instance and serves others."""

    async def async_list(self, prefix):
        self.counts['list', prefix] += 1
        raise exceptions.PlatformUnavailableError('refused')


class StoreWatchTest(unittest.TestCase):
    """One watching balancer in simulated time."""

    def setUp(self):
        self.loop = clocks.SimulatedLoop()
        self.addCleanup(self.loop.close)
        patch = mock.patch('kumquatport.helpers.clock.now', self.loop.time)
        patch.start()
        self.addCleanup(patch.stop)
        self.configuration = known_configuration.KnownConfiguration('front-1')
        record = builders.record('front-1', kind=members.KIND_BALANCER)
        self.mesh = mock.Mock()
        self.mesh.live_balancer_domains.return_value = {'front-1': 'a'}
        self.mesh.own_record.current = record

    def run_with(self, store, scenario):
        async def run():
            watched = store_watch.StoreWatch(
                OPERATORS, store, self.configuration, self.mesh, BOUNDS
            )
            await watched.start()
            try:
                await scenario()
            finally:
                await watched.stop()

        self.loop.run_until_complete(run())

    def test_quick_changes_are_read_together(self):
        store = Store()

        async def write_burst():
            await store.async_write(1)
            await asyncio.sleep(1)
            calls_before = store.counts['watch', 'config/']
            for version in range(2, 27):
                await store.async_write(version)
                await asyncio.sleep(0.08)
            watch_calls = store.counts['watch', 'config/'] - calls_before
            self.assertLessEqual(watch_calls, 2 / TIMING.batch_s + 2)
            await asyncio.sleep(TIMING.batch_s + 0.1)
            self.assertEqual(self.configuration.routes_version, 26)

        self.run_with(store, write_burst)

    def test_only_one_part_retries_during_an_outage(self):
        store = Store()
        store.down = True

        async def outage():
            await asyncio.sleep(6)
            self.assertLessEqual(store.counts['list', f'{DOMAINS}/'], 1)
            self.assertGreater(store.counts['list', 'config/'], 6)
            store.down = False
            await store.async_write(1)
            await asyncio.sleep(2 * const.STORE_RETRY_MAX_S)
            self.assertEqual(self.configuration.routes_version, 1)
            self.assertTrue(self.configuration.has_domains)

        self.run_with(store, outage)

    def test_instance_refused_alone_retries_rarely(self):
        store = RefusingStore()
        refused_s = 9

        async def refusal():
            for _ in range(refused_s):
                await asyncio.sleep(1)
                # Another balancer watches and passes its confirmations on.
                self.configuration.confirm()
            list_calls = store.counts['list', 'config/']
            first_s = 1
            quick = 2 * first_s / const.STORE_RETRY_FIRST_S
            self.assertLess(
                list_calls, quick + refused_s / const.REFUSED_RETRY_S + 1
            )
            calls_before = store.counts['list', 'config/']
            for _ in range(int(const.REFUSED_RETRY_S)):
                await asyncio.sleep(1)
                self.configuration.confirm()
            self.assertLessEqual(
                store.counts['list', 'config/'] - calls_before, 2
            )

        self.run_with(store, refusal)

    def test_refused_instance_does_not_retry_in_a_tight_loop(self):
        store = RefusingStore()

        async def refusal():
            await asyncio.sleep(1)
            self.configuration.confirm()
            await asyncio.sleep(10)
            self.assertLess(
                store.counts['list', 'config/'],
                11 / (const.STORE_RETRY_MAX_S / 2) + 20,
            )

        self.run_with(store, refusal)


if __name__ == '__main__':
    unittest.main()
