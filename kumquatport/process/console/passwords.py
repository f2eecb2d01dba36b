"""Checking operators' passwords, slowly enough for guessing to be hopeless."""

import asyncio
import collections
import time
from collections import abc

import argon2
import structlog

from kumquatport.process.console import const, errors
from kumquatport.process.settings import models

_LOGGER = structlog.get_logger(__name__)


class PasswordChecker:
    """The operators' password hashes and the failed attempts of late.

    Attempts are counted in each process for itself; several consoles allow
    so many times more.
    """

    def __init__(
        self, operators: abc.Sequence[models.OperatorSettings]
    ) -> None:
        """Keep the operators.

        Args:
            operators: Who may sign in.
        """
        self._hashes = {one.name: one.password_hash for one in operators}
        self._hasher = argon2.PasswordHasher()
        self._dummy_hash = next(iter(self._hashes.values()))
        self._hash_slots = asyncio.Semaphore(const.MAX_CONCURRENT_HASHES)
        self._failures: dict[str, collections.deque[float]] = {}

    def is_operator(self, name: str) -> bool:
        """Tell whether someone of that name may sign in."""
        return name in self._hashes

    async def async_check(self, name: str, password: str, address: str) -> None:
        """Check a sign-in.

        Args:
            name: Of the operator.
            password: As typed.
            address: Where the request came from.

        Raises:
            TooManyAttemptsError: Too many failed; nothing was checked.
            SignInError: Name and password do not match.
        """
        self._check_attempt_limit(f'{address} {name}', const.MAX_ATTEMPTS)
        self._check_attempt_limit(address, const.MAX_ATTEMPTS_PER_ADDRESS)
        # Counted before the check, so that attempts sent at once count too.
        attempt = (f'{address} {name}', address)
        for counted in attempt:
            self._add_failure(counted)
        if not await self._async_matches(name, password):
            _LOGGER.warning('sign-in failed', operator=name, address=address)
            raise errors.SignInError('name and password do not match')
        for succeeded in attempt:
            self._remove_failure(succeeded)

    async def _async_matches(self, name: str, password: str) -> bool:
        """Verify in a thread; unknown names take as long as known ones."""
        if len(password.encode()) > const.MAX_PASSWORD_BYTES:
            return False
        known = self._hashes.get(name)
        async with self._hash_slots:
            matches = await asyncio.to_thread(
                self._verify, known or self._dummy_hash, password
            )
        return matches and known is not None

    def _verify(self, encoded: str, password: str) -> bool:
        try:
            return self._hasher.verify(encoded, password)
        except (
            argon2.exceptions.VerificationError,
            argon2.exceptions.InvalidHashError,
        ):
            return False

    def _check_attempt_limit(self, subject: str, most: int) -> None:
        failures = self._failures.get(subject)
        if failures is None:
            return
        oldest = time.monotonic() - const.ATTEMPT_WINDOW_S
        while failures and failures[0] < oldest:
            failures.popleft()
        if len(failures) >= most:
            raise errors.TooManyAttemptsError('too many attempts')

    def _add_failure(self, subject: str) -> None:
        if subject not in self._failures:
            self._evict_oldest()
        failures = self._failures.setdefault(subject, collections.deque())
        failures.append(time.monotonic())

    def _remove_failure(self, subject: str) -> None:
        failures = self._failures.get(subject)
        if failures:
            failures.pop()

    def _evict_oldest(self) -> None:
        """Keep the table within its bound."""
        while len(self._failures) >= const.MAX_TRACKED_SUBJECTS:
            self._failures.pop(next(iter(self._failures)))
