"""The roster: which agents keep the claims of a service.

The roster is a single object on the platform that is changed only by
conditional updates, so there is one roster for each version. The keys are
divided into hash slots. When the replicas of a slot change, a new generation
begins, which takes over the claims of the previous one.
"""

import typing
from collections import abc

import msgspec
import xxhash

from kumquatport.helpers import decoding
from kumquatport.request.idempotency import const


class ReplicaId(typing.NamedTuple):
    """One agent process that keeps claims.

    Attributes:
        instance: Name of the agent.
        incarnation: Start time of its process in Unix milliseconds. A process
            that was restarted has lost its claims and is another replica.
        endpoint: Control endpoint, ``ADDRESS:PORT``.
    """

    instance: str
    incarnation: int
    endpoint: str


class Generation(typing.NamedTuple):
    """The replicas of one hash slot, from one version of the roster on.

    Attributes:
        epoch: Version of the roster that introduced this generation.
        replicas: The agents that keep the slot's claims.
        lost_at: When the claims of all earlier generations were declared
            lost, in Unix seconds; 0 if they are handed over.
    """

    epoch: int
    replicas: tuple[ReplicaId, ...]
    lost_at: float


class Roster(typing.NamedTuple):
    """The roster of one service.

    Attributes:
        service: Name of the service.
        epoch: Version of the roster, increasing.
        slots: Generations of each hash slot, the latest first.
    """

    service: str
    epoch: int
    slots: tuple[tuple[Generation, ...], ...]


class Candidate(typing.NamedTuple):
    """An agent that may keep claims."""

    replica: ReplicaId
    failure_domain: str


NO_ROSTER = Roster('', 0, ())

_DECODER = msgspec.json.Decoder(Roster)


def encode(roster: Roster) -> bytes:
    """Encode a roster for the platform."""
    return msgspec.json.encode(roster)


def decode(encoded: bytes) -> Roster:
    """Decode a roster; return ``NO_ROSTER`` if it is malformed."""
    try:
        return _DECODER.decode(encoded)
    except decoding.MALFORMED:
        return NO_ROSTER


def slot_of(key: bytes, slots: int) -> int:
    """Return the hash slot of a key."""
    return xxhash.xxh64_intdigest(key) % slots


def write_quorum(replicas: int) -> int:
    """Return how many replicas must grant a claim."""
    return replicas // 2 + 1


def read_quorum(replicas: int) -> int:
    """Return how many replicas overlap with every write quorum."""
    return replicas - write_quorum(replicas) + 1


def slot_count(agents: int) -> int:
    """Return the number of hash slots for a number of agents."""
    return min(max(agents, const.MIN_SLOTS), const.MAX_SLOTS)


class Requirements(typing.NamedTuple):
    """What the next roster must satisfy.

    Attributes:
        candidates: Agents that may keep claims.
        now: Current time in Unix seconds.
        may_lose_claims: Whether the claims of a slot whose replicas are gone
            may be declared lost; the slot then refuses requests for the
            retention time.
        stalled_slots: Slots whose replicas can't take over the claims.
        unknown_replicas: Replicas unknown to this agent. They stay: only
            agents that know them can tell that they are gone.
        leaving_replicas: Replicas that are being replaced but can still hand
            over their claims.
    """

    candidates: abc.Sequence[Candidate]
    now: float
    may_lose_claims: bool
    stalled_slots: frozenset[int]
    unknown_replicas: frozenset[ReplicaId] = frozenset()
    leaving_replicas: frozenset[ReplicaId] = frozenset()


def propose(
    roster: Roster, service: str, requirements: Requirements
) -> Roster | None:
    """Propose the next roster.

    Replicas that are still eligible stay; a slot changes only if it lacks one
    or is stalled.

    Args:
        roster: The current roster, ``NO_ROSTER`` if there is none.
        service: Name of the service.
        requirements: What the next roster must satisfy.

    Returns:
        The next roster, None if the current one satisfies the requirements.
    """
    if not requirements.candidates:
        return None
    epoch = roster.epoch + 1
    slots = roster.slots or ((),) * slot_count(len(requirements.candidates))
    proposed_slots = tuple(
        _propose_slot(number, generations, epoch, requirements)
        for number, generations in enumerate(slots)
    )
    if proposed_slots == roster.slots:
        return None
    return Roster(service, epoch, proposed_slots)


def _propose_slot(
    number: int,
    generations: tuple[Generation, ...],
    epoch: int,
    requirements: Requirements,
) -> tuple[Generation, ...]:
    current = generations[0].replicas if generations else ()
    available = {
        candidate.replica for candidate in requirements.candidates
    } | requirements.unknown_replicas
    kept = tuple(replica for replica in current if replica in available)
    has_enough = len(kept) >= min(
        const.REPLICATION_FACTOR, len(requirements.candidates)
    )
    is_stalled = number in requirements.stalled_slots
    if len(kept) == len(current) and has_enough and not is_stalled:
        return generations
    is_lost = is_stalled or _has_lost_quorum(
        current, available | requirements.leaving_replicas
    )
    if is_lost and not requirements.may_lose_claims:
        return generations
    latest = Generation(
        epoch,
        _choose_replicas(number, kept, requirements.candidates),
        requirements.now if is_lost else 0,
    )
    return (latest, *generations)[: const.MAX_GENERATIONS]


def _has_lost_quorum(
    current: tuple[ReplicaId, ...],
    available: set[ReplicaId],
) -> bool:
    """Return whether too few replicas are left to hand over the claims."""
    left = len(available.intersection(current))
    return bool(current) and left < read_quorum(len(current))


def _choose_replicas(
    number: int,
    kept: tuple[ReplicaId, ...],
    candidates: abc.Sequence[Candidate],
) -> tuple[ReplicaId, ...]:
    domains = {
        candidate.replica: candidate.failure_domain for candidate in candidates
    }
    chosen = list(kept)
    remaining = [
        candidate.replica
        for candidate in candidates
        if candidate.replica not in kept
    ]
    remaining.sort(key=lambda replica: _rendezvous_hash(number, replica))
    while remaining and len(chosen) < const.REPLICATION_FACTOR:
        used_domains = {domains.get(replica) for replica in chosen}
        in_unused_domains = [
            other for other in remaining if domains[other] not in used_domains
        ]
        best = (in_unused_domains or remaining)[0]
        remaining.remove(best)
        chosen.append(best)
    return tuple(chosen)


def _rendezvous_hash(number: int, replica: ReplicaId) -> int:
    text = f'{number}\0{replica.instance}\0{replica.incarnation}'
    return xxhash.xxh64_intdigest(text.encode())
