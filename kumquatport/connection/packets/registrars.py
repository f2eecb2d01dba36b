"""Assignment of flows to the balancers that keep their location.

When a balancer starts or stops, nearly every flow moves to another balancer,
which has to find the flow's agent. Asking every agent of the service would cost
messages with the square of the deployment's size. Instead, two balancers that
every instance can compute from the flow's key keep its location.
"""

import typing
from collections import abc

import xxhash

from kumquatport.version.replication import ranking

# Balancers that keep the location of a flow: one may be gone or just started.
REGISTRARS_PER_FLOW: typing.Final = 2

# Groups of flows with the same registrars. They bound the work after a change
# of the balancers, however many balancers there are.
FLOW_GROUPS: typing.Final = 256


class Registrars:
    """Selects the registrars of each group of flows from the balancers."""

    def __init__(self) -> None:
        """Start without balancers."""
        self._names: frozenset[str] = frozenset()
        self._digest = 0
        self._by_group: dict[int, tuple[str, ...]] = {}

    def update_if_changed(
        self, digest: int, names: abc.Callable[[], abc.Iterable[str]]
    ) -> None:
        """Update the balancers if their digest has changed.

        Args:
            digest: Digest of the balancers.
            names: Returns the names of the balancers.
        """
        if digest != self._digest:
            self._digest = digest
            self.update(names())

    def update(self, names: abc.Iterable[str]) -> None:
        """Set the balancers, reusing selections that stay valid.

        Args:
            names: Names of all balancers.
        """
        found = frozenset(names)
        gone = self._names - found
        joined = found - self._names
        self._names = found
        if gone:
            self._by_group = {
                group: selected
                for group, selected in self._by_group.items()
                if gone.isdisjoint(selected)
            }
        if joined:
            self._by_group = {
                group: _select(group, joined.union(selected))
                for group, selected in self._by_group.items()
            }

    def of_flow(self, flow: bytes) -> tuple[str, ...]:
        """Return the registrars of a flow, at most ``REGISTRARS_PER_FLOW``."""
        return self.of_digest(xxhash.xxh64_intdigest(flow))

    def of_digest(self, digest: int) -> tuple[str, ...]:
        """Return the registrars of a flow, given the digest of its key."""
        group = digest % FLOW_GROUPS
        selected = self._by_group.get(group)
        if selected is None:
            selected = _select(group, self._names)
            self._by_group[group] = selected
        return selected


def _select(group: int, names: abc.Iterable[str]) -> tuple[str, ...]:
    return tuple(ranking.rank(str(group), names)[:REGISTRARS_PER_FLOW])
