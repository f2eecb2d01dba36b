"""Weighted rendezvous hashing of single flows.

A candidate's score for a flow is ``weight / -ln(u)`` with ``u`` drawn from
(0, 1) by hashing the flow under a seed of the candidate; the highest score
owns the flow. Shares are proportional to the weights, a candidate that joins
or leaves moves only the flows that it takes or gives up, and the flows of one
that falls out are spread over all others.
"""

import math
import typing
from collections import abc

import xxhash

from kumquatport.version.table import const


class Candidate(typing.NamedTuple):
    """An agent that may be given new flows.

    Attributes:
        instance: Name of the agent.
        failure_domain: Its failure domain.
        address: IPv4 address in dotted form.
        data_port: UDP port that takes forwards.
        weight: Its share of full work, 0 to 1; 0 is given no new flow.
    """

    instance: str
    failure_domain: str
    address: str
    data_port: int
    weight: float


class Table:
    """The candidates of one service and the seeds of their scores."""

    __slots__ = ('_candidates', '_even', '_seeds')

    def __init__(self, service: str, candidates: tuple[Candidate, ...]) -> None:
        """Compute one seed for each candidate.

        Args:
            service: Name of the service; part of each seed.
            candidates: Only such as have a weight above 0.
        """
        self._candidates = candidates
        self._even = len({entry.weight for entry in candidates}) < 2
        self._seeds = tuple(
            xxhash.xxh64_intdigest(f'{service}\0{entry.instance}'.encode())
            for entry in candidates
        )

    def __len__(self) -> int:
        """Return how many candidates can be given new flows."""
        return len(self._candidates)

    @property
    def candidates(self) -> tuple[Candidate, ...]:
        """Return the candidates, in the order of their names."""
        return self._candidates

    def rank(self, flow_hash: int, count: int) -> tuple[Candidate, ...]:
        """Return the owner of a flow and the candidates that come next.

        Args:
            flow_hash: Hash of what identifies the flow; its low 64 bits count.
            count: How many candidates at most.

        Returns:
            Up to ``count`` candidates, the owner first; empty if there is none.
        """
        scores = self._scores(flow_hash & const.HASH_MASK)
        if count == 1 and scores:
            return (self._candidates[scores.index(max(scores))],)
        order = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
        return tuple(self._candidates[place] for place in order[:count])

    def _scores(self, flow_hash: int) -> list[float]:
        packed = flow_hash.to_bytes(const.HASH_BYTES, 'little')
        digest = xxhash.xxh64_intdigest
        hashes = [digest(packed, seed) for seed in self._seeds]
        if self._even:
            # The logarithm keeps the order, so equal weights need none.
            return typing.cast(list[float], hashes)
        return [
            entry.weight / -math.log((number + 0.5) / const.HASH_RANGE)
            for entry, number in zip(self._candidates, hashes)
        ]


def build(service: str, candidates: abc.Iterable[Candidate]) -> Table:
    """Build the table of a service.

    Args:
        service: Name of the service.
        candidates: In any order; those of weight 0 are left out.

    Returns:
        The same table in every process that knows the same candidates.
    """
    able = (entry for entry in candidates if entry.weight > 0)
    return Table(service, tuple(sorted(able)))
