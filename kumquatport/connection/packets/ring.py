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
POINTS: typing.Final = 16


class Ring:
    """Agents on a ring of hashes."""

    def __init__(self, names: abc.Iterable[str]) -> None:
        """Place the agents.

        Args:
            names: Of the agents.
        """
        self._points = sorted(
            (xxhash.xxh64_intdigest(f'{point}/{name}'.encode()), name)
            for name in names
            for point in range(POINTS)
        )

    def walk(self, flow: bytes) -> abc.Iterator[str]:
        """Yield each agent once, in the order that the flow decides."""
        count = len(self._points)
        start = bisect.bisect(self._points, (xxhash.xxh64_intdigest(flow), ''))
        seen = set()
        for step in range(count):
            _, name = self._points[(start + step) % count]
            if name not in seen:
                seen.add(name)
                yield name


class Rings:
    """The rings of all services, built anew when their agents change."""

    def __init__(self) -> None:
        """Start without rings."""
        self._rings: dict[str, tuple[int, Ring]] = {}

    def of(
        self,
        service: str,
        digest: int,
        names: abc.Callable[[], abc.Iterable[str]],
    ) -> Ring:
        """Return the ring of a service.

        Args:
            service: Name of the service.
            digest: Changes whenever its agents do.
            names: Returns the names of its agents.
        """
        held = self._rings.get(service)
        if held is None or held[0] != digest:
            held = (digest, Ring(names()))
            self._rings[service] = held
        return held[1]
