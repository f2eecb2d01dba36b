"""Which balancers keep the whereabouts of a flow.

Load pattern: a balancer that starts or stops moves nearly every flow to
another balancer, and each of them must find the agents of all its flows. By
asking every agent of a service that would be messages with the square of the
deployment; two balancers that anybody can name for a flow know it instead.
"""

import typing
from collections import abc

import xxhash

from kumquatport.version.spread import order

# Balancers that know a flow: one may be gone, or just started.
REGISTRARS: typing.Final = 2

# Groups of flows that share their registrars; the work after a change of the
# balancers is bounded by groups times balancers.
GROUPS: typing.Final = 256


class Registrars:
    """The registrars of each group of flows, for a set of balancers."""

    def __init__(self) -> None:
        """Start without balancers."""
        self._names: tuple[str, ...] = ()
        self._chosen: dict[int, tuple[str, ...]] = {}

    def update(self, names: abc.Iterable[str]) -> None:
        """Take the names of the balancers that are there."""
        sorted_names = tuple(sorted(names))
        if sorted_names != self._names:
            self._names = sorted_names
            self._chosen.clear()

    def of(self, flow: bytes) -> tuple[str, ...]:
        """Return the registrars of a flow, at most ``REGISTRARS``."""
        group = xxhash.xxh64_intdigest(flow) % GROUPS
        chosen = self._chosen.get(group)
        if chosen is None:
            ranked = order.ranked(str(group), self._names)
            chosen = tuple(ranked[:REGISTRARS])
            self._chosen[group] = chosen
        return chosen
