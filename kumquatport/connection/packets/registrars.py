"""Which balancers keep the whereabouts of a flow.

Load pattern: a balancer that starts or stops moves nearly every flow to
another balancer, and each of them must find the agents of all its flows. By
asking every agent of a service that would be messages with the square of the
deployment; two balancers that anybody can name for a flow know it instead.
"""

import typing
from collections import abc

import xxhash

from kumquatport.version.replication import ranking

# Balancers that know a flow: one may be gone, or just started.
REGISTRARS_PER_FLOW: typing.Final = 2

# Groups of flows that share their registrars; the work after a change of the
# balancers is bounded by the groups, however many balancers there are.
FLOW_GROUPS: typing.Final = 256


class Registrars:
    """The registrars of each group of flows, for a set of balancers."""

    def __init__(self) -> None:
        """Start without balancers."""
        self._names: frozenset[str] = frozenset()
        self._digest = 0
        self._by_group: dict[int, tuple[str, ...]] = {}

    def update_if_changed(
        self, digest: int, names: abc.Callable[[], abc.Iterable[str]]
    ) -> None:
        """Take the balancers that are there, if they have changed.

        Args:
            digest: Changes whenever they do.
            names: Returns their names.
        """
        if digest != self._digest:
            self._digest = digest
            self.update(names())

    def update(self, names: abc.Iterable[str]) -> None:
        """Take the names of the balancers that are there."""
        found = frozenset(names)
        gone = self._names - found
        joined = found - self._names
        self._names = found
        if gone:
            self._by_group = {
                group: chosen
                for group, chosen in self._by_group.items()
                if gone.isdisjoint(chosen)
            }
        if joined:
            self._by_group = {
                group: _select(group, joined.union(chosen))
                for group, chosen in self._by_group.items()
            }

    def of_flow(self, flow: bytes) -> tuple[str, ...]:
        """Return the registrars of a flow, at most ``REGISTRARS_PER_FLOW``."""
        group = xxhash.xxh64_intdigest(flow) % FLOW_GROUPS
        chosen = self._by_group.get(group)
        if chosen is None:
            chosen = _select(group, self._names)
            self._by_group[group] = chosen
        return chosen


def _select(group: int, names: abc.Iterable[str]) -> tuple[str, ...]:
    return tuple(ranking.rank(str(group), names)[:REGISTRARS_PER_FLOW])
