"""Tests of the timing of the watch of the store."""

import unittest

from kumquatport.process.packets import watch_timing

BOUNDS_S = (0.5, 2.0, 3.0, 4.0, 5.0, 60.0)
COUNTS = (1, 2, 3, 5, 25, 60, 11_000)


class WatchTimingTest(unittest.TestCase):
    """The waits of the watch of the store add up to the bound at most."""

    def test_the_shares_add_up_to_the_bound(self):
        shares = (
            watch_timing.WATCH_SHARE,
            watch_timing.ANSWER_SHARE,
            watch_timing.SUBSTITUTES_SHARE,
            watch_timing.READ_SHARE,
            watch_timing.WAY_SHARE,
        )
        self.assertAlmostEqual(sum(shares), 1)
        self.assertLess(watch_timing.BATCH_SHARE, watch_timing.ANSWER_SHARE)

    def test_each_balancer_reads_early_enough_for_the_bound(self):
        rest = watch_timing.READ_SHARE + watch_timing.WAY_SHARE
        for bound_s in BOUNDS_S:
            timing = watch_timing.from_bound(bound_s)
            for count in COUNTS:
                for rank in (0, 1, 2, 3, count // 2, count - 1, count):
                    self.assertLessEqual(
                        timing.join_age_s(rank, count) + rest * bound_s,
                        bound_s + 1e-9,
                    )

    def test_no_balancer_reads_before_a_watch_has_been_answered(self):
        for bound_s in BOUNDS_S:
            timing = watch_timing.from_bound(bound_s)
            age_s = timing.watch_s + timing.answer_s
            for count in COUNTS:
                for rank in range(watch_timing.MIN_WATCHERS, min(count, 70)):
                    self.assertFalse(timing.should_watch(rank, count, age_s))

    def test_the_first_balancers_always_watch(self):
        timing = watch_timing.from_bound(3.0)
        self.assertTrue(timing.should_watch(0, 5, 0.0))
        self.assertTrue(
            timing.should_watch(watch_timing.MIN_WATCHERS - 1, 5, 0.0)
        )
        self.assertFalse(timing.should_watch(watch_timing.MIN_WATCHERS, 5, 1.0))
        self.assertTrue(timing.should_watch(watch_timing.MIN_WATCHERS, 5, 1.6))

    def test_later_ranks_read_later(self):
        timing = watch_timing.from_bound(3.0)
        ages_s = [timing.join_age_s(rank, 60) for rank in range(2, 60)]
        self.assertEqual(ages_s, sorted(set(ages_s)))


class WatchOrderTest(unittest.TestCase):
    """The first watchers are in different failure domains."""

    def test_the_watchers_are_not_lost_with_one_failure_domain(self):
        domains = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b', 'c-1': 'c'}
        order = watch_timing.watch_order(domains)
        self.assertEqual(order, ['a-1', 'b-1', 'c-1', 'a-2', 'b-2'])

    def test_one_failure_domain_is_in_the_order_of_names(self):
        self.assertEqual(
            watch_timing.watch_order({'b': 'z', 'a': 'z'}), ['a', 'b']
        )


if __name__ == '__main__':
    unittest.main()
