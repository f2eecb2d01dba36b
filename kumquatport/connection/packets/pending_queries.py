"""Packets of flows of which an agent cannot tell yet whether they are here.

Load pattern: all machines lose power. Balancers ask for each lost flow at all
agents, which take some tenths of a second until they know that their backend
server started after them. A client's next packet, which asks again, comes 0.2
to 1.6 s later. So an agent answers by itself as soon as it knows.
"""

import collections
import typing

from kumquatport.connection.packets import packet as packets

# Seconds for which an answer is of use: clients give up on a silent flow.
MAX_AGE_S: typing.Final = 4.0

# Packets kept: a few seconds of the lost flows of a large deployment.
MAX_QUERIES: typing.Final = 10_000


class PendingQuery(typing.NamedTuple):
    """A packet that somebody waits for an answer to.

    Attributes:
        packet: The packet.
        sender: Address of the balancer that sent it.
        received_at: Monotonic seconds.
    """

    packet: packets.Packet
    sender: str
    received_at: float


class PendingQueries:
    """The latest question about each flow."""

    def __init__(self) -> None:
        """Start with none."""
        self._queries: collections.OrderedDict[bytes, PendingQuery] = (
            collections.OrderedDict()
        )

    def add(self, query: PendingQuery) -> None:
        """Keep a question; the oldest goes if there are too many."""
        flow = query.packet.flow
        self._queries[flow] = query
        self._queries.move_to_end(flow)
        if len(self._queries) > MAX_QUERIES:
            self._queries.popitem(last=False)

    def remove(self, flow: bytes) -> None:
        """Forget a flow, since the question is answered."""
        self._queries.pop(flow, None)

    def expire(self, now: float) -> None:
        """Forget what nobody waits for any more."""
        while self._queries:
            oldest = next(iter(self._queries.values()))
            if now - oldest.received_at < MAX_AGE_S:
                break
            self._queries.popitem(last=False)

    def pop_all(self, now: float) -> list[PendingQuery]:
        """Return the questions that wait for an answer, and forget them."""
        self.expire(now)
        taken = list(self._queries.values())
        self._queries.clear()
        return taken
