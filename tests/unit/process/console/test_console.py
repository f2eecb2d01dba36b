"""Tokens, drafts, sign-ins and service forms of the console."""

import asyncio
import unittest
from unittest import mock

import argon2
import hypothesis
from hypothesis import strategies
from structlog import testing

from kumquatport.process.console import (
    const,
    drafts,
    errors,
    forms,
    passwords,
    tokens,
)
from kumquatport.process.settings import models
from kumquatport.version import document
from tests.builders import documents

KEY = b'k' * 32


class TokenTest(unittest.TestCase):
    """Tokens are rejected unless signed with the same key and purpose."""

    @hypothesis.settings(max_examples=200, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=64))
    def test_round_trip(self, payload):
        token = tokens.sign(KEY, 'a', payload)
        self.assertEqual(tokens.verify(KEY, 'a', token), payload)
        for key, purpose in ((KEY, 'b'), (b'l' * 32, 'a')):
            with self.assertRaises(errors.TokenError):
                tokens.verify(key, purpose, token)

    @hypothesis.settings(max_examples=200, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=64))
    def test_random_text_rejected(self, token):
        with self.assertRaises(errors.TokenError):
            tokens.verify(KEY, 'a', token)

    def test_draft_of_another_operator_rejected(self):
        draft = document.empty()
        token = drafts.sign(KEY, 'ama', draft)
        self.assertEqual(drafts.verify(KEY, 'ama', token), draft)
        with self.assertRaises(errors.TokenError):
            drafts.verify(KEY, 'kofi', token)


class PasswordTest(unittest.IsolatedAsyncioTestCase):
    """Failed attempts are limited, and the table of them is bounded."""

    def setUp(self):
        hasher = argon2.PasswordHasher(
            time_cost=1, memory_cost=1024, parallelism=1
        )
        operator = models.OperatorSettings('ama', hasher.hash('right'))
        self.enterContext(testing.capture_logs())
        self.passwords = passwords.PasswordChecker([operator])

    async def _assert_sign_in_fails(
        self, error, name='ama', password='wrong', address='a'
    ):
        with self.assertRaises(error):
            await self.passwords.async_check(name, password, address)

    async def test_limit_expires(self):
        with mock.patch.object(passwords, 'time') as clock:
            clock.monotonic.return_value = 100.0
            for _ in range(const.MAX_ATTEMPTS):
                await self._assert_sign_in_fails(errors.SignInError)
            await self._assert_sign_in_fails(
                errors.TooManyAttemptsError, password='right'
            )
            await self.passwords.async_check('ama', 'right', 'b')
            clock.monotonic.return_value = 101.0 + const.ATTEMPT_WINDOW_S
            await self.passwords.async_check('ama', 'right', 'a')

    async def test_limit_applies_to_concurrent_attempts(self):
        outcomes = await asyncio.gather(
            *(
                self.passwords.async_check('ama', 'wrong', 'a')
                for _ in range(const.MAX_ATTEMPTS * 2)
            ),
            return_exceptions=True,
        )
        limited = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, errors.TooManyAttemptsError)
        ]
        self.assertEqual(len(limited), const.MAX_ATTEMPTS)

    async def test_limit_per_address(self):
        for number in range(const.MAX_ATTEMPTS_PER_ADDRESS):
            await self._assert_sign_in_fails(
                errors.SignInError, name=f'name-{number}'
            )
        await self._assert_sign_in_fails(
            errors.TooManyAttemptsError, name='another'
        )

    async def test_successes_do_not_count(self):
        for _ in range(const.MAX_ATTEMPTS * 2):
            await self.passwords.async_check('ama', 'right', 'a')

    async def test_failure_table_is_bounded(self):
        with mock.patch.object(const, 'MAX_TRACKED_SUBJECTS', 4):
            for number in range(8):
                await self._assert_sign_in_fails(
                    errors.SignInError, address=f'{number}'
                )
            self.assertLessEqual(len(self.passwords._failures), 4)


class ServiceFormTest(unittest.TestCase):
    """A service is unchanged after conversion to its form and back."""

    def test_round_trip(self):
        entry = documents.service('storefront', '127.30.0.1:4433', 20001)
        parsed = document.parse(
            documents.encode(documents.document('accra', ('a',), [entry]))
        )
        row = parsed['services'][0]
        self.assertEqual(forms.service_row(forms.service_form(row)), row)
