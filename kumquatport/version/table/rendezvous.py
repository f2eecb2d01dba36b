"""Weighted rendezvous hashing of flows.

A candidate's score for a flow is ``weight / -ln(u)``, where ``u`` in (0, 1) is
the hash of the flow under a seed of the candidate. The candidate with the
highest score owns the flow. Candidates own flows in proportion to their
weights. When a candidate joins or leaves, only the flows that it gains or loses
move, and the flows of a removed candidate are distributed over all others.
"""

import math
import typing
from collections import abc

import xxhash

from kumquatport.version.table import const


class Candidate(typing.NamedTuple):
    """An agent that is eligible for new flows.

    Attributes:
        instance: Name of the agent.
        failure_domain: Its failure domain.
        address: IPv4 address in dotted notation.
        data_port: UDP port for forwarded packets.
        weight: Its share of the full load, 0 to 1; 0 gets no new flows.
    """

    instance: str
    failure_domain: str
    address: str
    data_port: int
    weight: float


class Table:
    """The candidates of one service and the seeds of their scores."""

    __slots__ = ('_candidates', '_equal_weights', '_seeds')

    def __init__(self, service: str, candidates: tuple[Candidate, ...]) -> None:
        """Compute the seed of each candidate.

        Args:
            service: Name of the service; part of each seed.
            candidates: Candidates with weights above 0.
        """
        self._candidates = candidates
        self._equal_weights = (
            len({candidate.weight for candidate in candidates}) < 2
        )
        self._seeds = tuple(
            xxhash.xxh64_intdigest(f'{service}\0{candidate.instance}'.encode())
            for candidate in candidates
        )

    def __len__(self) -> int:
        """Return the number of candidates."""
        return len(self._candidates)

    @property
    def candidates(self) -> tuple[Candidate, ...]:
        """Return the candidates, sorted by name."""
        return self._candidates

    def rank(self, flow_hash: int, count: int) -> tuple[Candidate, ...]:
        """Return the owner of a flow and the next candidates by score.

        Args:
            flow_hash: Hash of the flow's identifier; the low 64 bits are used.
            count: Maximum number of candidates.

        Returns:
            Up to ``count`` candidates, the owner first; empty if there is none.
        """
        scores = self._scores(flow_hash & const.HASH_MASK)
        if count == 1 and scores:
            return (self._candidates[scores.index(max(scores))],)
        ranked = sorted(
            range(len(scores)), key=scores.__getitem__, reverse=True
        )
        return tuple(self._candidates[position] for position in ranked[:count])

    def _scores(self, flow_hash: int) -> list[float]:
        packed = flow_hash.to_bytes(const.HASH_BYTES, 'little')
        digest = xxhash.xxh64_intdigest
        hashes = [digest(packed, seed) for seed in self._seeds]
        if self._equal_weights:
            # The logarithm is monotonic, so with equal weights the hashes
            # already have the order of the scores.
            return typing.cast(list[float], hashes)
        return [
            candidate.weight / -math.log((hash_value + 0.5) / const.HASH_RANGE)
            for candidate, hash_value in zip(self._candidates, hashes)
        ]


def build(service: str, candidates: abc.Iterable[Candidate]) -> Table:
    """Build the table of a service.

    Args:
        service: Name of the service.
        candidates: In any order; those with weight 0 are excluded.

    Returns:
        The same table in every process that knows the same candidates.
    """
    weighted = (candidate for candidate in candidates if candidate.weight > 0)
    return Table(service, tuple(sorted(weighted)))
