"""Calls to the store: outages, refusals and changes in quick succession."""

import asyncio
import collections
import unittest
from unittest import mock

from kumquatport import exceptions, objects
from kumquatport.process.packets import const, known_configuration, store_watch
from kumquatport.version import members, routes
from tests import clocks
from tests.builders import memberships
from tests.builders import packets as builders

KEY = 'config/main'
DOMAINS = 'evacuations'
OPERATORS = store_watch.OperatorObjects(KEY, DOMAINS, routes.decode)


class Store(memberships.MemoryPlatform):
    """A store in memory that counts its calls by kind and part."""

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
            self._check()
            found = [
                one
                for key, one in self.objects.items()
                if key.startswith(prefix) and self.written_at[key] > since
            ]
            if found:
                return objects.Listing(self.revision, tuple(found))
            await asyncio.sleep(0.02)
            waited += 0.02
        return objects.Listing(self.revision, ())

    async def async_write(self, version):
        await self.async_put(
            KEY, routes.encode(builders.table(version=version)), None
        )
        self.written_at[KEY] = self.revision


class Refusing(Store):
    """A store that refuses one instance, which others are served by."""

    async def async_list(self, prefix):
        self.counts['list', prefix] += 1
        raise exceptions.PlatformUnavailableError('refused')


class WatchTest(unittest.TestCase):
    """One balancer that watches, in simulated time."""

    def setUp(self):
        self.loop = clocks.SimulatedLoop()
        self.addCleanup(self.loop.close)
        patch = mock.patch('kumquatport.helpers.clock.now', self.loop.time)
        patch.start()
        self.addCleanup(patch.stop)
        self.held = known_configuration.KnownConfiguration('front-1')
        record = builders.record('front-1', kind=members.KIND_BALANCER)
        self.mesh = mock.Mock()
        self.mesh.live_balancers.return_value = ['front-1']
        self.mesh.own_record.current = record

    def run_with(self, store, scenario):
        async def run():
            watched = store_watch.StoreWatch(
                OPERATORS, store, self.held, self.mesh
            )
            await watched.start()
            try:
                await scenario()
            finally:
                await watched.stop()

        self.loop.run_until_complete(run())

    def test_changes_in_quick_succession_come_together(self):
        store = Store()

        async def storm():
            await store.async_write(1)
            await asyncio.sleep(1)
            before = store.counts['watch', 'config/']
            for version in range(2, 27):
                await store.async_write(version)
                await asyncio.sleep(0.08)
            asked = store.counts['watch', 'config/'] - before
            self.assertLessEqual(asked, 2 / const.WATCH_BATCH_S + 2)
            await asyncio.sleep(const.WATCH_BATCH_S + 0.1)
            self.assertEqual(self.held.routes_version, 26)

        self.run_with(store, storm)

    def test_one_part_asks_while_nothing_comes_back(self):
        store = Store()
        store.down = True

        async def outage():
            await asyncio.sleep(6)
            self.assertLessEqual(store.counts['list', f'{DOMAINS}/'], 1)
            self.assertGreater(store.counts['list', 'config/'], 6)
            store.down = False
            await store.async_write(1)
            await asyncio.sleep(2 * const.STORE_RETRY_MAX_S)
            self.assertEqual(self.held.routes_version, 1)
            self.assertTrue(self.held.has_domains)

        self.run_with(store, outage)

    def test_who_alone_is_refused_asks_rarely(self):
        store = Refusing()
        refused_s = 9

        async def refusal():
            for _ in range(refused_s):
                await asyncio.sleep(1)
                # Another one watches and tells of its answers.
                self.held.confirm()
            asked = store.counts['list', 'config/']
            first_s = 1
            quick = 2 * first_s / const.STORE_RETRY_FIRST_S
            self.assertLess(
                asked, quick + refused_s / const.WATCH_TIMEOUT_S + 1
            )
            later = store.counts['list', 'config/']
            await asyncio.sleep(const.WATCH_TIMEOUT_S)
            self.assertLessEqual(store.counts['list', 'config/'] - later, 2)

        self.run_with(store, refusal)


if __name__ == '__main__':
    unittest.main()
