"""Messages between the agents of a service about claims."""

import typing

from kumquatport.connection.control import frame
from kumquatport.request.idempotency import const, roster


class Claimant(typing.NamedTuple):
    """One attempt to run a request.

    Attributes:
        instance: Agent that wants to run it.
        endpoint: Control endpoint of that agent.
        attempt: Random number of the attempt, 16 bytes.
    """

    instance: str
    endpoint: str
    attempt: bytes


class Entry(typing.NamedTuple):
    """What a replica keeps of one key.

    Attributes:
        key: Hash of service, client account and idempotency key.
        request: Hash of the request's method and path.
        attempt: The attempt that holds the key.
        state: ``claimed``, ``answered``, ``unknown`` or ``released``.
        answer: The encoded answer; empty if there is none or it is too large.
        age_s: Seconds since the key was claimed, for the message only.
    """

    key: bytes
    request: bytes
    attempt: bytes
    state: str
    answer: bytes
    age_s: float


class Claim(typing.NamedTuple):
    """Asks a replica for a key."""

    slot: int
    epoch: int
    key: bytes
    request: bytes
    claimant: Claimant


class ClaimReply(typing.NamedTuple):
    """A replica's answer to a claim.

    Attributes:
        verdict: ``granted``, ``held``, ``stale``, ``full`` or ``lost``.
        roster_epoch: The replica's own version of the roster.
        entry: What holds the key, if it is held.
        retry_after_s: When to come back, where the claims were lost.
    """

    verdict: str
    roster_epoch: int
    entry: Entry | None
    retry_after_s: float


class Settle(typing.NamedTuple):
    """Tells a replica what became of an attempt."""

    slot: int
    epoch: int
    key: bytes
    attempt: bytes
    state: str
    answer: bytes


class SettleReply(typing.NamedTuple):
    """Whether the replica has noted it."""

    is_recorded: bool


class Seal(typing.NamedTuple):
    """Asks a replica to grant no more in a generation and hand it over."""

    slot: int
    epoch: int
    successor_epoch: int


class SealReply(typing.NamedTuple):
    """The claims of a sealed generation.

    Attributes:
        is_complete: Whether the replica was active in that generation.
        incarnation: Start of the replica's process.
        entries: What it keeps of the slot.
        refuse_until: Unix seconds until which claims that were lost in an
            earlier generation might still matter; 0 if none were.
    """

    is_complete: bool
    incarnation: int
    entries: tuple[Entry, ...]
    refuse_until: float = 0


class RosterAsk(typing.NamedTuple):
    """Asks another agent of the service for its roster.

    Attributes:
        service: Name of the service.
        epoch: The asking agent's own version.
    """

    service: str
    epoch: int


class RosterReply(typing.NamedTuple):
    """A roster, or nothing where it is not newer."""

    newer_roster: roster.Roster | None


frame.register(const.KIND_CLAIM, Claim)
frame.register(const.KIND_CLAIM_REPLY, ClaimReply)
frame.register(const.KIND_SETTLE, Settle)
frame.register(const.KIND_SETTLE_REPLY, SettleReply)
frame.register(const.KIND_SEAL, Seal)
frame.register(const.KIND_SEAL_REPLY, SealReply)
frame.register(const.KIND_ROSTER_ASK, RosterAsk)
frame.register(const.KIND_ROSTER_REPLY, RosterReply)
