"""Rankings, deltas, freshness and platform leases in isolation."""

import unittest

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.version.replication import (
    const,
    delta,
    freshness,
    platform_lease,
    ranking,
)
from tests.builders import memberships

NAMES = [f'balancer-{number}' for number in range(50)]


class RankingTest(unittest.TestCase):
    """Broadcast trees reach every name once."""

    def test_every_name_has_one_parent(self):
        names = ranking.broadcast_tree('balancer-7', NAMES)
        self.assertEqual(names[0], 'balancer-7')
        below = [
            child
            for place in range(len(names))
            for child in ranking.children(names, place, const.FANOUT)
        ]
        self.assertEqual(sorted(below), sorted(set(NAMES) - {'balancer-7'}))

    def test_origin_need_not_be_among_the_names(self):
        self.assertEqual(
            len(ranking.broadcast_tree('console', NAMES)), len(NAMES) + 1
        )


class DeltaTest(unittest.TestCase):
    """Updates reproduce the target document or detect a wrong base."""

    @hypothesis.given(
        strategies.lists(strategies.sampled_from((b'{a}', b'b', b'}', b'cc{'))),
        strategies.lists(strategies.sampled_from((b'{a}', b'b', b'}', b'cc{'))),
    )
    def test_update_between_any_two_documents(self, before, after):
        base, target = b''.join(before), b''.join(after)
        update = delta.diff(1, base, 2, target)
        self.assertEqual(delta.apply(update, base), target)

    def test_update_for_one_change_is_small(self):
        before = memberships.document(1) * 500
        base = before + memberships.document(3) + before
        target = before + memberships.document(2, ['accra-b']) + before
        update = delta.diff(1, base, 2, target)
        new_parts = [part for part in update.parts if isinstance(part, bytes)]
        self.assertLess(sum(map(len, new_parts)), 200)
        self.assertLess(len(update.parts), 12)

    def test_wrong_base_is_detected(self):
        update = delta.diff(1, b'{a}{b}', 2, b'{a}{c}')
        self.assertIsNone(delta.apply(update, b'{x}{b}'))


class FreshnessTest(unittest.TestCase):
    """Which confirmations count, and when freshness ends."""

    def setUp(self):
        self.now = 50.0
        self.freshness = freshness.Freshness(now=lambda: self.now)

    def _run_for(self, seconds):
        """Advance the time in steps, with ticks as in a running process."""
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            self.freshness.tick()

    def test_not_fresh_at_start_or_by_one_peer(self):
        self.assertFalse(self.freshness.is_fresh())
        self.assertFalse(self.freshness.extend(self.now))
        self.assertTrue(self.freshness.confirm(self.now))
        self.assertTrue(self.freshness.is_fresh())

    def test_expires_without_confirmation(self):
        self.freshness.confirm(self.now)
        self._run_for(const.FRESHNESS_S - 0.5)
        self.assertTrue(self.freshness.is_fresh())
        self._run_for(0.6)
        self.assertFalse(self.freshness.is_fresh())

    def test_suspension_is_detected_on_next_query(self):
        self.freshness.confirm(self.now)
        self.now += const.SUSPENSION_THRESHOLD_S + 0.1
        self.assertFalse(self.freshness.is_fresh())
        self.assertFalse(self.freshness.is_fresh())

    def test_exchange_begun_before_suspension_does_not_count(self):
        self.freshness.confirm(self.now)
        asked_at = self.freshness.tick()
        self.now += const.SUSPENSION_THRESHOLD_S + 0.1
        self.assertFalse(self.freshness.confirm(asked_at))
        self.assertFalse(self.freshness.is_fresh())
        self.assertTrue(self.freshness.confirm(self.freshness.tick()))


class PlatformLeaseTest(unittest.IsolatedAsyncioTestCase):
    """A single holder; unknown outcomes are resolved by a read."""

    def setUp(self):
        self.platform = memberships.MemoryPlatform()
        self.first = platform_lease.PlatformLease(
            self.platform, 'x', 'balancer-1', 1
        )
        self.second = platform_lease.PlatformLease(
            self.platform, 'x', 'balancer-2', 1
        )

    async def test_second_waits_for_a_whole_duration(self):
        self.assertTrue(await self.first.async_acquire_or_renew())
        self.assertFalse(await self.second.async_acquire_or_renew())
        self.second._observed = (
            1,
            self.second._observed[1] - const.PLATFORM_LEASE_S,
        )
        self.assertTrue(await self.second.async_acquire_or_renew())

    async def test_renewal_after_a_takeover_is_refused(self):
        await self.first.async_acquire_or_renew()
        await self.second.async_acquire_or_renew()
        self.second._observed = (
            1,
            self.second._observed[1] - const.PLATFORM_LEASE_S,
        )
        await self.second.async_acquire_or_renew()
        self.assertFalse(await self.first.async_acquire_or_renew())

    async def test_only_one_of_two_concurrent_writers_succeeds(self):
        with self.subTest('the slower writer expects an outdated version'):
            await self.first.async_acquire_or_renew()
            with self.assertRaises(exceptions.VersionConflictError):
                await self.second._async_write(0, 0)

    async def test_unknown_outcome_is_resolved(self):
        real_put = self.platform.async_put

        async def async_put(*given):
            await real_put(*given)
            raise exceptions.OutcomeUnknownError('lost')

        self.platform.async_put = async_put
        self.assertTrue(await self.first.async_acquire_or_renew())
        self.platform.async_put = real_put
        self.assertTrue(await self.first.async_acquire_or_renew())

    async def test_lease_expires_during_an_outage(self):
        await self.first.async_acquire_or_renew()
        self.platform.down = True
        self.assertTrue(await self.first.async_acquire_or_renew())
        self.first._valid_until -= const.PLATFORM_LEASE_S
        self.assertFalse(await self.first.async_acquire_or_renew())
