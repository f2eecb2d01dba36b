"""Checks passwords of operators.

A slow hash and a limit on failed attempts make guessing impractical.
"""

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
    """Checks sign-ins and limits failed attempts.

    Each process counts attempts on its own, so the effective limit is
    multiplied by the number of consoles.
    """

    def __init__(
        self, operators: abc.Sequence[models.OperatorSettings]
    ) -> None:
        """Initialize the checker.

        Args:
            operators: Operators who may sign in.
        """
        self._hashes = {
            operator.name: operator.password_hash for operator in operators
        }
        self._hasher = argon2.PasswordHasher()
        self._dummy_hash = next(iter(self._hashes.values()))
        self._hash_slots = asyncio.Semaphore(const.MAX_CONCURRENT_HASHES)
        self._failures: dict[str, collections.deque[float]] = {}

    def is_operator(self, name: str) -> bool:
        """Return whether an operator of this name may sign in."""
        return name in self._hashes

    async def async_check(self, name: str, password: str, address: str) -> None:
        """Check a sign-in.

        Args:
            name: Name of the operator.
            password: Password as entered.
            address: Remote address of the request.

        Raises:
            TooManyAttemptsError: Too many attempts failed; the password was not
                checked.
            SignInError: Name and password do not match.
        """
        self._check_attempt_limit(f'{address} {name}', const.MAX_ATTEMPTS)
        self._check_attempt_limit(address, const.MAX_ATTEMPTS_PER_ADDRESS)
        # Count the attempt before the check, so that concurrent ones count too.
        subjects = (f'{address} {name}', address)
        for subject in subjects:
            self._add_failure(subject)
        if not await self._async_matches(name, password):
            _LOGGER.warning('sign-in failed', operator=name, address=address)
            raise errors.SignInError('name and password do not match')
        for cleared in subjects:
            self._remove_failure(cleared)

    async def _async_matches(self, name: str, password: str) -> bool:
        """Verify a password in a worker thread.

        Unknown names are verified against a dummy hash, so that they take as
        long as known ones.
        """
        if len(password.encode()) > const.MAX_PASSWORD_BYTES:
            return False
        password_hash = self._hashes.get(name)
        async with self._hash_slots:
            matches = await asyncio.to_thread(
                self._verify, password_hash or self._dummy_hash, password
            )
        return matches and password_hash is not None

    def _verify(self, encoded: str, password: str) -> bool:
        try:
            return self._hasher.verify(encoded, password)
        except (
            argon2.exceptions.VerificationError,
            argon2.exceptions.InvalidHashError,
        ):
            return False

    def _check_attempt_limit(self, subject: str, limit: int) -> None:
        failures = self._failures.get(subject)
        if failures is None:
            return
        window_start_s = time.monotonic() - const.ATTEMPT_WINDOW_S
        while failures and failures[0] < window_start_s:
            failures.popleft()
        if len(failures) >= limit:
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
        """Evict the oldest subjects until there is room for another."""
        while len(self._failures) >= const.MAX_TRACKED_SUBJECTS:
            self._failures.pop(next(iter(self._failures)))
