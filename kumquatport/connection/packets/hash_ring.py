"""The order in which the agents of a service are considered for a flow.

Load pattern: all machines lose power and forget where the flows are, or many
flows move before they are registered. A flow is placed on one of the first few
agents in an order that its name decides, so that it is found again by asking
these few, and not all.
"""

import bisect
import typing
from collections import abc

import xxhash

# Points of each agent on the ring; more of them spread the flows of an agent
# that is gone over more others.
VIRTUAL_NODES: typing.Final = 16


_Point = tuple[int, str]


class HashRing:
    """Agents on a ring of hashes."""

    def __init__(self, names: abc.Iterable[str] = ()) -> None:
        """Place the agents.

        Args:
            names: Of the agents.
        """
        self._names: frozenset[str] = frozenset()
        self._points: list[_Point] = []
        self.update(names)

    def update(self, names: abc.Iterable[str]) -> None:
        """Place the agents that are new and take away those that are gone.

        Args:
            names: Of all agents.
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
        """Yield each agent once, in the order that the flow decides."""
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
    """The rings of all services, which follow their agents."""

    def __init__(self) -> None:
        """Start without rings."""
        self._rings: dict[str, tuple[int, HashRing]] = {}

    def of_service(
        self,
        service: str,
        digest: int,
        names: abc.Callable[[], abc.Iterable[str]],
    ) -> HashRing:
        """Return the ring of a service.

        Args:
            service: Name of the service.
            digest: Changes whenever its agents do.
            names: Returns the names of its agents.
        """
        held = self._rings.get(service)
        if held is not None and held[0] == digest:
            return held[1]
        found = held[1] if held else HashRing()
        found.update(names())
        self._rings[service] = (digest, found)
        return found


def _points(names: abc.Iterable[str]) -> abc.Iterator[_Point]:
    for name in names:
        for point in range(VIRTUAL_NODES):
            yield xxhash.xxh64_intdigest(f'{point}/{name}'.encode()), name
