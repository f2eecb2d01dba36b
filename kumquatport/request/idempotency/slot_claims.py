"""The claims that a replica keeps of one slot in one generation."""

import typing
from collections import abc

from kumquatport.request.idempotency import const, messages

# What an attempt was told last says more than that it was made.
_SAME_ATTEMPT_PRECEDENCE = (
    const.STATE_ANSWERED,
    const.STATE_UNKNOWN,
    const.STATE_RELEASED,
    const.STATE_CLAIMED,
)
# One that did not run says nothing of another that may have.
_OTHER_ATTEMPT_PRECEDENCE = (
    const.STATE_ANSWERED,
    const.STATE_UNKNOWN,
    const.STATE_CLAIMED,
    const.STATE_RELEASED,
)


class _StoredEntry(typing.NamedTuple):
    entry: messages.Entry
    claimed_at: float


class SlotClaims:
    """Keys of one slot and who holds them."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        """Start without keys.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._stored: dict[bytes, _StoredEntry] = {}

    def __len__(self) -> int:
        """Return the number of keys that are kept."""
        return len(self._stored)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether anything is kept of a key."""
        return key in self._stored

    def claim(self, asked: messages.Claim) -> messages.Entry | None:
        """Give a key to an attempt if nobody holds it.

        Args:
            asked: The claim; asking again for the same attempt is harmless.

        Returns:
            The entry of whoever holds the key; nothing if it is granted.
        """
        attempt = asked.claimant.attempt
        kept = self._stored.get(asked.key)
        if kept is not None:
            if kept.entry.attempt == attempt:
                is_held = kept.entry.state != const.STATE_CLAIMED
                return kept.entry if is_held else None
            if kept.entry.state != const.STATE_RELEASED:
                return kept.entry
        entry = messages.Entry(
            key=asked.key,
            request=asked.request,
            attempt=attempt,
            state=const.STATE_CLAIMED,
            answer=b'',
            age_s=0,
        )
        self._stored[asked.key] = _StoredEntry(entry, self._clock())
        return None

    def settle(self, told: messages.Settle) -> bool:
        """Note what became of an attempt; tell whether it held the key."""
        kept = self._stored.get(told.key)
        if kept is None or not _may_settle(kept.entry, told):
            return False
        entry = kept.entry._replace(state=told.state, answer=told.answer)
        self._stored[told.key] = _StoredEntry(entry, kept.claimed_at)
        return True

    def entries(self) -> tuple[messages.Entry, ...]:
        """Return all entries with their ages, to be handed over."""
        now = self._clock()
        return tuple(
            kept.entry._replace(age_s=now - kept.claimed_at)
            for kept in self._stored.values()
        )

    def merge(self, entries: abc.Iterable[messages.Entry]) -> None:
        """Take entries of an earlier generation over.

        Where two replicas differ, what says most of the outcome counts; two
        attempts that both may have run leave the outcome unknown.
        """
        for entry in entries:
            kept = self._stored.get(entry.key)
            since = self._clock() - entry.age_s
            if kept is not None:
                since = max(since, kept.claimed_at)
                entry = _merge_entries(kept.entry, entry)
            self._stored[entry.key] = _StoredEntry(entry, since)

    def expire(self) -> None:
        """Forget what is older than the retention."""
        now = self._clock()
        for key, kept in tuple(self._stored.items()):
            is_released = kept.entry.state == const.STATE_RELEASED
            limit = (
                const.RELEASED_RETENTION_S
                if is_released
                else const.CLAIM_RETENTION_S
            )
            if now - kept.claimed_at > limit:
                self._stored.pop(key)


def _merge_entries(
    one: messages.Entry, other: messages.Entry
) -> messages.Entry:
    if one.attempt == other.attempt:
        return _prevailing(one, other, _SAME_ATTEMPT_PRECEDENCE)
    best = _prevailing(one, other, _OTHER_ATTEMPT_PRECEDENCE)
    states = {one.state, other.state}
    if states == {const.STATE_CLAIMED}:
        # One of the two may have been granted, the other never was: neither
        # may free the key by saying that it did not run itself.
        return best._replace(
            state=const.STATE_UNKNOWN,
            attempt=const.CONTESTED_ATTEMPT,
        )
    return best


def _may_settle(entry: messages.Entry, told: messages.Settle) -> bool:
    if entry.attempt == const.CONTESTED_ATTEMPT:
        # Only one that was granted has an answer.
        return told.state == const.STATE_ANSWERED
    return entry.attempt == told.attempt


def _prevailing(
    one: messages.Entry,
    other: messages.Entry,
    order: tuple[str, ...],
) -> messages.Entry:
    return min((one, other), key=lambda entry: order.index(entry.state))
