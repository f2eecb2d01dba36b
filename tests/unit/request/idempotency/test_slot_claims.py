"""Tests of the claims of one hash slot."""

import unittest

from kumquatport.request.idempotency import const, messages, slot_claims
from tests.builders import claims as builders


class ContestedKeyTest(unittest.TestCase):
    """Entries of two attempts at one key, taken over from two replicas.

    Only one attempt can have been granted, but the entries don't tell which.
    """

    def setUp(self):
        self.merged = slot_claims.SlotClaims(lambda: 0)
        for attempt in (b'loser', b'winner'):
            earlier = slot_claims.SlotClaims(lambda: 0)
            earlier.claim(builders.claim(attempt))
            self.merged.merge(earlier.entries())

    def test_loser_does_not_release_key(self):
        self.merged.settle(builders.settle(b'loser', const.STATE_RELEASED))
        holder = self.merged.claim(builders.claim(b'third'))
        self.assertIsInstance(holder, messages.Entry)

    def test_winner_does_not_release_key(self):
        self.merged.settle(builders.settle(b'winner', const.STATE_RELEASED))
        holder = self.merged.claim(builders.claim(b'third'))
        self.assertIsInstance(holder, messages.Entry)

    def test_answer_of_granted_attempt_is_stored(self):
        settle = builders.settle(b'winner', const.STATE_ANSWERED, b'receipt')
        self.assertTrue(self.merged.settle(settle))
        holder = self.merged.claim(builders.claim(b'third'))
        self.assertEqual(holder.answer, b'receipt')
