"""Consistent hashing of flows to the agents of a service.

After a power failure of all instances, or when many flows move before they are
registered, no balancer knows which agent holds a flow. A flow is placed on one
of the first few agents in an order that its key determines, so it can be found
again by asking these few instead of all agents.
"""

import bisect
import typing
from collections import abc

import xxhash

# Points of each agent on the ring. More points spread the flows of an agent
# that is gone over more of the others.
VIRTUAL_NODES: typing.Final = 16


_Point = tuple[int, str]


class HashRing:
    """Hash ring of agents."""

    def __init__(self, names: abc.Iterable[str] = ()) -> None:
        """Create a ring.

        Args:
            names: Names of the agents.
        """
        self._names: frozenset[str] = frozenset()
        self._points: list[_Point] = []
        self.update(names)

    def update(self, names: abc.Iterable[str]) -> None:
        """Add new agents and remove those that are gone.

        Args:
            names: Names of all agents.
        """
        found = frozenset(names)
        gone = self._names - found
        joined = found - self._names
        self._names = found
        if gone:
            self._points = [
                point for point in self._points if point[1] not in gone
            ]
        if joined:
            self._points.extend(_points(joined))
            self._points.sort()

    def walk(self, flow: bytes) -> abc.Iterator[str]:
        """Yield each agent once, in the order that the flow determines."""
        points = self._points
        count = len(points)
        start = bisect.bisect(points, (xxhash.xxh64_intdigest(flow), ''))
        seen = set()
        for step in range(count):
            _, name = points[(start + step) % count]
            if name not in seen:
                seen.add(name)
                yield name


class HashRings:
    """Hash rings of all services, updated when their agents change."""

    def __init__(self) -> None:
        """Start without rings."""
        self._rings: dict[str, tuple[int, HashRing]] = {}

    def of_service(
        self,
        service: str,
        digest: int,
        names: abc.Callable[[], abc.Iterable[str]],
    ) -> HashRing:
        """Return the ring of a service, updated if its agents have changed.

        Args:
            service: Name of the service.
            digest: Digest of the service's agents.
            names: Returns the names of the service's agents.
        """
        cached = self._rings.get(service)
        if cached is not None and cached[0] == digest:
            return cached[1]
        ring = cached[1] if cached else HashRing()
        ring.update(names())
        self._rings[service] = (digest, ring)
        return ring


def _points(names: abc.Iterable[str]) -> abc.Iterator[_Point]:
    for name in names:
        for point in range(VIRTUAL_NODES):
            yield xxhash.xxh64_intdigest(f'{point}/{name}'.encode()), name
