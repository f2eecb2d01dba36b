"""Control messages about claims between the agents of a service."""

import typing

from kumquatport.connection.control import frame
from kumquatport.request.idempotency import const, roster


class Claimant(typing.NamedTuple):
    """One attempt to run a request.

    Attributes:
        instance: Agent that handles the request.
        endpoint: Control endpoint of that agent.
        attempt: Random identifier of the attempt, 16 bytes.
    """

    instance: str
    endpoint: str
    attempt: bytes


class Entry(typing.NamedTuple):
    """State of one key at a replica.

    Attributes:
        key: Hash of service, client account and idempotency key.
        request: Hash of the request's method and path.
        attempt: The attempt that holds the key.
        state: ``claimed``, ``answered``, ``unknown`` or ``released``.
        answer: The encoded answer; empty if there is none or it is too large.
        age_s: Seconds since the key was claimed; used in messages only.
    """

    key: bytes
    request: bytes
    attempt: bytes
    state: str
    answer: bytes
    age_s: float


class Claim(typing.NamedTuple):
    """Asks a replica to grant a key to an attempt.

    Attributes:
        slot: Hash slot of the key.
        epoch: Generation of the hash slot.
        key: Hash of service, client account and idempotency key.
        request: Hash of the request's method and path.
        claimant: The attempt that claims the key.
    """

    slot: int
    epoch: int
    key: bytes
    request: bytes
    claimant: Claimant


class ClaimReply(typing.NamedTuple):
    """Reply of a replica to a claim.

    Attributes:
        verdict: ``granted``, ``held``, ``stale``, ``full`` or ``lost``.
        roster_epoch: Version of the replica's roster.
        entry: The entry that holds the key, if it is held.
        retry_after_s: Seconds until the verdict ``lost`` ends.
    """

    verdict: str
    roster_epoch: int
    entry: Entry | None
    retry_after_s: float


class Settle(typing.NamedTuple):
    """Reports the outcome of an attempt to a replica.

    Attributes:
        slot: Hash slot of the key.
        epoch: Generation of the hash slot.
        key: Hash of service, client account and idempotency key.
        attempt: Identifier of the attempt.
        state: ``answered``, ``unknown`` or ``released``.
        answer: The encoded answer, may be empty.
    """

    slot: int
    epoch: int
    key: bytes
    attempt: bytes
    state: str
    answer: bytes


class SettleReply(typing.NamedTuple):
    """Whether the replica has recorded the outcome."""

    is_recorded: bool


class Seal(typing.NamedTuple):
    """Asks a replica to stop granting in a generation and hand over claims.

    Attributes:
        slot: The hash slot.
        epoch: Generation to seal.
        successor_epoch: Generation that takes over the claims.
    """

    slot: int
    epoch: int
    successor_epoch: int


class SealReply(typing.NamedTuple):
    """The claims of a sealed generation.

    Attributes:
        is_complete: Whether the replica was active in that generation.
        incarnation: Start time of the replica's process in Unix milliseconds.
        entries: The entries it keeps for the hash slot.
        refuse_until: Unix seconds until which requests are refused because
            claims of an earlier generation were lost; 0 if none were.
    """

    is_complete: bool
    incarnation: int
    entries: tuple[Entry, ...]
    refuse_until: float = 0


class RosterAsk(typing.NamedTuple):
    """Asks another agent of the service for its roster.

    Attributes:
        service: Name of the service.
        epoch: Version of the asking agent's roster.
    """

    service: str
    epoch: int


class RosterReply(typing.NamedTuple):
    """The replying agent's roster, None if it is not newer."""

    newer_roster: roster.Roster | None


frame.register(const.KIND_CLAIM, Claim)
frame.register(const.KIND_CLAIM_REPLY, ClaimReply)
frame.register(const.KIND_SETTLE, Settle)
frame.register(const.KIND_SETTLE_REPLY, SettleReply)
frame.register(const.KIND_SEAL, Seal)
frame.register(const.KIND_SEAL_REPLY, SealReply)
frame.register(const.KIND_ROSTER_ASK, RosterAsk)
frame.register(const.KIND_ROSTER_REPLY, RosterReply)
