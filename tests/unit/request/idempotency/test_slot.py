"""Tests of the claims of one slot."""

import unittest

from kumquatport.request.idempotency import const, messages, slot_claims
from tests.builders import claims as builders


class ContestedKeyTest(unittest.TestCase):
    """Two attempts at one key, of which one was granted, are handed over."""

    def setUp(self):
        self.merged = slot_claims.SlotClaims(lambda: 0)
        for attempt in (b'loser', b'winner'):
            earlier = slot_claims.SlotClaims(lambda: 0)
            earlier.claim(builders.claim(attempt))
            self.merged.merge(earlier.entries())

    def test_the_loser_does_not_free_the_key(self):
        self.merged.settle(builders.settle(b'loser', const.STATE_RELEASED))
        holder = self.merged.claim(builders.claim(b'third'))
        self.assertIsInstance(holder, messages.Entry)

    def test_neither_does_the_winner_by_a_release(self):
        self.merged.settle(builders.settle(b'winner', const.STATE_RELEASED))
        holder = self.merged.claim(builders.claim(b'third'))
        self.assertIsInstance(holder, messages.Entry)

    def test_the_receipt_of_the_one_that_ran_is_kept(self):
        told = builders.settle(b'winner', const.STATE_ANSWERED, b'receipt')
        self.assertTrue(self.merged.settle(told))
        holder = self.merged.claim(builders.claim(b'third'))
        self.assertEqual(holder.answer, b'receipt')
