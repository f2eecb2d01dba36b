"""Which agents keep the claims of a service: the roster and its changes.

The roster is one object of the platform, changed by conditional update only,
so at any version there is one roster. A slot is a share of the keys; its
replicas change by generations, and each generation takes the claims over from
the one before it.
"""

import typing
from collections import abc

import msgspec
import xxhash

from kumquatport.request.idempotency import const


class ReplicaId(typing.NamedTuple):
    """One agent process that keeps claims.

    Attributes:
        instance: Name of the agent.
        incarnation: Start of its process, unix milliseconds. A process that
            was restarted has lost its claims and is another replica.
        endpoint: Its control endpoint, ``ADDRESS:PORT``.
    """

    instance: str
    incarnation: int
    endpoint: str


class Generation(typing.NamedTuple):
    """The replicas of one slot, from one version of the roster on.

    Attributes:
        epoch: Version of the roster that brought this generation.
        replicas: The agents that keep the slot's claims.
        lost_at: Unix seconds at which the claims of all generations before
            were found to be lost; 0 where they are handed over.
    """

    epoch: int
    replicas: tuple[ReplicaId, ...]
    lost_at: float


class Roster(typing.NamedTuple):
    """The roster of one service.

    Attributes:
        service: Name of the service.
        epoch: Version of the roster, counting up.
        slots: For each slot its generations, the latest first.
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
    """Decode a roster; one that is malformed counts as none."""
    try:
        return _DECODER.decode(encoded)
    except msgspec.MsgspecError:
        return NO_ROSTER


def slot_of(key: bytes, slots: int) -> int:
    """Return the slot of a key."""
    return xxhash.xxh64_intdigest(key) % slots


def write_quorum(replicas: int) -> int:
    """Return how many replicas must grant a claim."""
    return replicas // 2 + 1


def read_quorum(replicas: int) -> int:
    """Return how many replicas must hand over, to meet each write quorum."""
    return replicas - write_quorum(replicas) + 1


def slot_count(agents: int) -> int:
    """Return the number of slots for a service of so many agents."""
    return min(max(agents, const.MIN_SLOTS), const.MAX_SLOTS)


class Requirements(typing.NamedTuple):
    """What the next roster must fit.

    Attributes:
        eligible: Agents that may keep claims.
        now: Unix seconds.
        may_lose: Whether a slot may be given up whose replicas are gone; its
            claims are lost then, and the slot refuses for the retention.
        stuck: Slots whose replicas cannot take the claims over.
        unknown: Replicas of which nothing is known here. That they are gone
            is for those to say who know them, so they stay.
        leaving: Replicas that are to be replaced and can still hand over.
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
    """Return the next roster, or nothing where the present one fits.

    Replicas that are still eligible stay; a slot changes only if it lacks one.

    Args:
        roster: The present roster, ``NO_ROSTER`` for none.
        service: Name of the service.
        requirements: What the next roster must fit.
    """
    if not requirements.candidates:
        return None
    epoch = roster.epoch + 1
    slots = roster.slots or ((),) * slot_count(len(requirements.candidates))
    proposed = tuple(
        _propose_slot(number, generations, epoch, requirements)
        for number, generations in enumerate(slots)
    )
    if proposed == roster.slots:
        return None
    return Roster(service, epoch, proposed)


def _propose_slot(
    number: int,
    generations: tuple[Generation, ...],
    epoch: int,
    requirements: Requirements,
) -> tuple[Generation, ...]:
    present = generations[0].replicas if generations else ()
    able = {
        one.replica for one in requirements.candidates
    } | requirements.unknown_replicas
    kept = tuple(replica for replica in present if replica in able)
    is_whole = len(kept) >= min(
        const.REPLICATION_FACTOR, len(requirements.candidates)
    )
    is_stuck = number in requirements.stalled_slots
    if len(kept) == len(present) and is_whole and not is_stuck:
        return generations
    is_lost = is_stuck or _has_lost_quorum(
        present, able | requirements.leaving_replicas
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
    present: tuple[ReplicaId, ...],
    givers: set[ReplicaId],
) -> bool:
    """Tell whether too few replicas are left to hand their claims over."""
    left = len(givers.intersection(present))
    return bool(present) and left < read_quorum(len(present))


def _choose_replicas(
    number: int,
    kept: tuple[ReplicaId, ...],
    candidates: abc.Sequence[Candidate],
) -> tuple[ReplicaId, ...]:
    domains = {one.replica: one.failure_domain for one in candidates}
    chosen = list(kept)
    others = [one.replica for one in candidates if one.replica not in kept]
    others.sort(key=lambda replica: _rendezvous_hash(number, replica))
    while others and len(chosen) < const.REPLICATION_FACTOR:
        used = {domains.get(replica) for replica in chosen}
        fresh = [one for one in others if domains[one] not in used]
        best = (fresh or others)[0]
        others.remove(best)
        chosen.append(best)
    return tuple(chosen)


def _rendezvous_hash(number: int, replica: ReplicaId) -> int:
    text = f'{number}\0{replica.instance}\0{replica.incarnation}'
    return xxhash.xxh64_intdigest(text.encode())
