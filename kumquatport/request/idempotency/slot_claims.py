"""Claims that a replica keeps for one generation of a hash slot."""

import typing
from collections import abc

from kumquatport.request.idempotency import const, messages

# A settled state takes precedence over the claim of the same attempt.
_SAME_ATTEMPT_PRECEDENCE = (
    const.STATE_ANSWERED,
    const.STATE_UNKNOWN,
    const.STATE_RELEASED,
    const.STATE_CLAIMED,
)
# A released attempt does not rule out that a different one has run.
_OTHER_ATTEMPT_PRECEDENCE = (
    const.STATE_ANSWERED,
    const.STATE_UNKNOWN,
    const.STATE_CLAIMED,
    const.STATE_RELEASED,
)


class _StoredEntry(typing.NamedTuple):
    """An entry and when its key was claimed, in monotonic seconds."""

    entry: messages.Entry
    claimed_at: float


class SlotClaims:
    """Keys of one hash slot and the attempts that hold them."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        """Start without keys.

        Args:
            clock: Returns monotonic seconds.
        """
        self._clock = clock
        self._stored: dict[bytes, _StoredEntry] = {}

    def __len__(self) -> int:
        """Return the number of stored keys."""
        return len(self._stored)

    def __contains__(self, key: bytes) -> bool:
        """Return whether a key is stored."""
        return key in self._stored

    def claim(self, claim: messages.Claim) -> messages.Entry | None:
        """Grant a key to an attempt unless another one holds it.

        Args:
            claim: The claim; repeating it for the same attempt is harmless.

        Returns:
            The entry that holds the key, None if the key is granted.
        """
        attempt = claim.claimant.attempt
        stored = self._stored.get(claim.key)
        if stored is not None:
            if stored.entry.attempt == attempt:
                is_held = stored.entry.state != const.STATE_CLAIMED
                return stored.entry if is_held else None
            if stored.entry.state != const.STATE_RELEASED:
                return stored.entry
        entry = messages.Entry(
            key=claim.key,
            request=claim.request,
            attempt=attempt,
            state=const.STATE_CLAIMED,
            answer=b'',
            age_s=0,
        )
        self._stored[claim.key] = _StoredEntry(entry, self._clock())
        return None

    def settle(self, settle: messages.Settle) -> bool:
        """Record the outcome of an attempt; return whether it held the key."""
        stored = self._stored.get(settle.key)
        if stored is None or not _may_settle(stored.entry, settle):
            return False
        entry = stored.entry._replace(state=settle.state, answer=settle.answer)
        self._stored[settle.key] = _StoredEntry(entry, stored.claimed_at)
        return True

    def entries(self) -> tuple[messages.Entry, ...]:
        """Return all entries with their ages, for a handover."""
        now = self._clock()
        return tuple(
            stored.entry._replace(age_s=now - stored.claimed_at)
            for stored in self._stored.values()
        )

    def merge(self, entries: abc.Iterable[messages.Entry]) -> None:
        """Take over entries of an earlier generation.

        Where replicas differ, the most conclusive state is used; if two
        attempts may both have run, the outcome is unknown.
        """
        for entry in entries:
            stored = self._stored.get(entry.key)
            claimed_at = self._clock() - entry.age_s
            if stored is not None:
                claimed_at = max(claimed_at, stored.claimed_at)
                entry = _merge_entries(stored.entry, entry)
            self._stored[entry.key] = _StoredEntry(entry, claimed_at)

    def expire(self) -> None:
        """Remove entries older than their retention time."""
        now = self._clock()
        for key, stored in tuple(self._stored.items()):
            is_released = stored.entry.state == const.STATE_RELEASED
            max_age_s = (
                const.RELEASED_RETENTION_S
                if is_released
                else const.CLAIM_RETENTION_S
            )
            if now - stored.claimed_at > max_age_s:
                self._stored.pop(key)


def _merge_entries(
    first: messages.Entry, second: messages.Entry
) -> messages.Entry:
    if first.attempt == second.attempt:
        return _prevailing(first, second, _SAME_ATTEMPT_PRECEDENCE)
    prevailing = _prevailing(first, second, _OTHER_ATTEMPT_PRECEDENCE)
    states = {first.state, second.state}
    if states == {const.STATE_CLAIMED}:
        # One of the two attempts may have been granted, the other was not.
        # Neither may release the key by reporting that it did not run.
        return prevailing._replace(
            state=const.STATE_UNKNOWN,
            attempt=const.CONTESTED_ATTEMPT,
        )
    return prevailing


def _may_settle(entry: messages.Entry, settle: messages.Settle) -> bool:
    if entry.attempt == const.CONTESTED_ATTEMPT:
        # Only the attempt that was granted can have an answer.
        return settle.state == const.STATE_ANSWERED
    return entry.attempt == settle.attempt


def _prevailing(
    first: messages.Entry,
    second: messages.Entry,
    precedence: tuple[str, ...],
) -> messages.Entry:
    return min((first, second), key=lambda entry: precedence.index(entry.state))
