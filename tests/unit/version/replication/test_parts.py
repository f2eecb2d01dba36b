"""Orders, deltas, freshness and leases, each by itself."""

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


class OrderTest(unittest.TestCase):
    """Trees reach everyone once."""

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
    """Updates lead from one document to the other, or say so."""

    @hypothesis.given(
        strategies.lists(strategies.sampled_from((b'{a}', b'b', b'}', b'cc{'))),
        strategies.lists(strategies.sampled_from((b'{a}', b'b', b'}', b'cc{'))),
    )
    def test_any_two_documents(self, before, after):
        base, target = b''.join(before), b''.join(after)
        update = delta.diff(1, base, 2, target)
        self.assertEqual(delta.apply(update, base), target)

    def test_one_change_is_small(self):
        before = memberships.document(1) * 500
        base = before + memberships.document(3) + before
        target = before + memberships.document(2, ['accra-b']) + before
        update = delta.diff(1, base, 2, target)
        fresh = [part for part in update.parts if isinstance(part, bytes)]
        self.assertLess(sum(map(len, fresh)), 200)
        self.assertLess(len(update.parts), 12)

    def test_other_base_is_noticed(self):
        update = delta.diff(1, b'{a}{b}', 2, b'{a}{c}')
        self.assertIsNone(delta.apply(update, b'{x}{b}'))


class FreshnessTest(unittest.TestCase):
    """What counts as a confirmation."""

    def setUp(self):
        self.now = 50.0
        self.freshness = freshness.Freshness(now=lambda: self.now)

    def _pass(self, seconds):
        """Let time pass while the process runs."""
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            self.freshness.tick()

    def test_not_fresh_at_start_nor_by_one_peer(self):
        self.assertFalse(self.freshness.is_fresh())
        self.assertFalse(self.freshness.extend(self.now))
        self.assertTrue(self.freshness.confirm(self.now))
        self.assertTrue(self.freshness.is_fresh())

    def test_runs_out_without_confirmation(self):
        self.freshness.confirm(self.now)
        self._pass(const.FRESH_S - 0.5)
        self.assertTrue(self.freshness.is_fresh())
        self._pass(0.6)
        self.assertFalse(self.freshness.is_fresh())

    def test_pause_is_noticed_by_the_first_who_asks(self):
        self.freshness.confirm(self.now)
        self.now += const.PAUSE_S + 0.1
        self.assertFalse(self.freshness.is_fresh())
        self.assertFalse(self.freshness.is_fresh())

    def test_answer_asked_for_before_the_pause_does_not_count(self):
        self.freshness.confirm(self.now)
        asked_at = self.freshness.tick()
        self.now += const.PAUSE_S + 0.1
        self.assertFalse(self.freshness.confirm(asked_at))
        self.assertFalse(self.freshness.is_fresh())
        self.assertTrue(self.freshness.confirm(self.freshness.tick()))


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """One holder; lost answers are settled by reading back."""

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

    async def test_two_reach_at_once_and_one_gets_it(self):
        with self.subTest('the slower one writes on an old version'):
            await self.first.async_acquire_or_renew()
            with self.assertRaises(exceptions.VersionConflictError):
                await self.second._async_write(0, 0)

    async def test_lost_answer_is_settled(self):
        real_put = self.platform.async_put

        async def async_put(*given):
            await real_put(*given)
            raise exceptions.OutcomeUnknownError('lost')

        self.platform.async_put = async_put
        self.assertTrue(await self.first.async_acquire_or_renew())
        self.platform.async_put = real_put
        self.assertTrue(await self.first.async_acquire_or_renew())

    async def test_outage_ends_the_holding_in_time(self):
        await self.first.async_acquire_or_renew()
        self.platform.down = True
        self.assertTrue(await self.first.async_acquire_or_renew())
        self.first._valid_until -= const.PLATFORM_LEASE_S
        self.assertFalse(await self.first.async_acquire_or_renew())
