"""Queries about flows that an agent cannot answer yet.

After a power failure of all instances, balancers query all agents for each
lost flow. The agents take a few tenths of a second to learn that their backend
server started after them. A client's next packet, which would repeat the
query, follows only 0.2 to 1.6 s later, so an agent keeps the query and answers
on its own as soon as it can.
"""

import collections
import typing

from kumquatport.connection.packets import packet as packets

# Seconds after which an answer is useless: clients give up on a flow that gets
# no answer.
MAX_AGE_S: typing.Final = 4.0

# Maximum number of queries: the lost flows of a large deployment over a few
# seconds.
MAX_QUERIES: typing.Final = 10_000


class PendingQuery(typing.NamedTuple):
    """A packet whose sender waits for an answer.

    Attributes:
        packet: The packet.
        sender: Address of the balancer that sent it.
        received_at: Monotonic time in seconds.
    """

    packet: packets.Packet
    sender: str
    received_at: float


class PendingQueries:
    """The latest query about each flow, oldest first."""

    def __init__(self) -> None:
        """Start without queries."""
        self._queries: collections.OrderedDict[bytes, PendingQuery] = (
            collections.OrderedDict()
        )

    def add(self, query: PendingQuery) -> None:
        """Add a query; the oldest is evicted if there are too many."""
        flow = query.packet.flow
        self._queries[flow] = query
        self._queries.move_to_end(flow)
        if len(self._queries) > MAX_QUERIES:
            self._queries.popitem(last=False)

    def remove(self, flow: bytes) -> None:
        """Remove the query about a flow once it is answered."""
        self._queries.pop(flow, None)

    def expire(self, now: float) -> None:
        """Remove expired queries.

        Args:
            now: Monotonic time in seconds.
        """
        while self._queries:
            oldest = next(iter(self._queries.values()))
            if now - oldest.received_at < MAX_AGE_S:
                break
            self._queries.popitem(last=False)

    def pop_all(self, now: float) -> list[PendingQuery]:
        """Remove all queries and return those that have not expired.

        Args:
            now: Monotonic time in seconds.
        """
        self.expire(now)
        popped = list(self._queries.values())
        self._queries.clear()
        return popped
