"""Admission of opening packets whose route states a priority and a deadline.

When a backend server has no free slot, the order in which it serves requests
is the order in which their flows are admitted. Opening packets wait here
rather than at the backend server, so that the most important is served first.
One that cannot be answered before its deadline is rejected at once, so that its
balancer can offer it to another agent.
"""

import bisect
import enum
import typing

from kumquatport.connection.packets import packet as packets
from kumquatport.connection.packets import pending_work, request_class

# Requests in the slots and in the queue of a backend server, per slot, up to
# which a flow is admitted: one request follows the current one without a pause
# while its client completes the handshake.
MAX_IN_SYSTEM_PER_SLOT: typing.Final = 2

# Bound of the queue, per slot and in all.
MAX_QUEUED_PER_SLOT: typing.Final = 16
MAX_QUEUED: typing.Final = 64

# Seconds from the first transmission of an opening packet to each copy, and
# from each copy to the next event: the next copy, or the end of the attempt.
SPENT_S: typing.Final = (0, 0.2, 0.6)
NEXT_COPY_S: typing.Final = (0.2, 0.4, 0.8)

# Seconds before the next copy at which waiting ends: the answer to an opening
# packet that is admitted then still reaches the client before it sends the copy.
COPY_MARGIN_S: typing.Final = 0.02

# Fraction of the longest wait after which an opening packet may be served ahead
# of higher priorities, and of how many releases one may do so.
STARVING_FRACTION: typing.Final = 2 / 3
STARVING_INTERVAL: typing.Final = 4

# Priority, whether repeatable, work, order of arrival.
_Rank = tuple[int, bool, float, int]


class Opening(typing.NamedTuple):
    """An opening packet and what its admission depends on.

    Attributes:
        packet: The packet.
        sender: Address of the balancer.
        balancer: Name of the balancer; empty if it was not known on arrival.
        routes_version: Version of the balancer's routes.
        terms: Terms of its route.
        work_s: Mean work of a request of its route, in seconds.
        slow_work_s: 90th percentile of the same.
        received_at: Monotonic time in seconds at which this copy arrived.
        queued_at: Monotonic time in seconds at which its first copy arrived.
        due_at: Monotonic time in seconds until which it may wait.
    """

    packet: packets.Packet
    sender: str
    balancer: str
    routes_version: int
    terms: request_class.RequestClass
    work_s: float
    slow_work_s: float
    received_at: float
    queued_at: float
    due_at: float

    def left_s(self, now: float) -> float:
        """Return the seconds to the deadline.

        Args:
            now: Monotonic time in seconds.
        """
        spent_s = now - self.received_at + _of_copy(SPENT_S, self.packet)
        return self.terms.deadline_s - spent_s


class Verdict(enum.Enum):
    """What becomes of an opening packet that arrives."""

    ADMIT = enum.auto()
    QUEUE = enum.auto()
    REJECT = enum.auto()


def due_at(packet: packets.Packet, now: float) -> float:
    """Return the time until which an opening packet may wait.

    Args:
        packet: The opening packet.
        now: Monotonic time in seconds at which it arrived.
    """
    return now + _of_copy(NEXT_COPY_S, packet) - COPY_MARGIN_S


class OpeningQueue:
    """Bounded priority queue of opening packets, one for each flow."""

    def __init__(self) -> None:
        """Create an empty queue."""
        # In the order in which they are served.
        self._entries: list[tuple[_Rank, Opening]] = []
        self._ranks: dict[bytes, _Rank] = {}
        self._arrivals = 0
        self._taken_in_order = 0

    def __len__(self) -> int:
        """Return the number of opening packets."""
        return len(self._entries)

    def get(self, flow: bytes) -> Opening | None:
        """Return the opening packet of a flow, None if none is queued."""
        rank = self._ranks.get(flow)
        if rank is None:
            return None
        return self._entries[bisect.bisect_left(self._entries, (rank,))][1]

    def add(self, opening: Opening, slots: int) -> Opening | None:
        """Queue an opening packet.

        Args:
            opening: The opening packet; its flow is not queued yet.
            slots: Requests that the backend server processes concurrently.

        Returns:
            The opening packet that was removed because the queue was full: the
            last in the order, which may be the new one.
        """
        self._arrivals += 1
        rank = _rank(opening, self._arrivals)
        bisect.insort(self._entries, (rank, opening))
        self._ranks[opening.packet.flow] = rank
        if len(self._entries) <= min(MAX_QUEUED_PER_SLOT * slots, MAX_QUEUED):
            return None
        _, last = self._entries.pop()
        self._ranks.pop(last.packet.flow)
        return last

    def replace(self, opening: Opening) -> None:
        """Replace the queued opening packet of a flow; its place is kept."""
        rank = self._ranks[opening.packet.flow]
        index = bisect.bisect_left(self._entries, (rank,))
        self._entries[index] = (rank, opening)

    def remove(self, flow: bytes) -> Opening | None:
        """Remove the opening packet of a flow, if one is queued."""
        rank = self._ranks.pop(flow, None)
        if rank is None:
            return None
        index = bisect.bisect_left(self._entries, (rank,))
        return self._entries.pop(index)[1]

    def first(self, now: float) -> Opening | None:
        """Return the opening packet that is served next, None if none waits.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._entries:
            return None
        if self._taken_in_order >= STARVING_INTERVAL - 1:
            starving = [
                opening
                for _, opening in self._entries
                if _is_starving(opening, now)
            ]
            if starving:
                return min(starving, key=_queued_at)
        return self._entries[0][1]

    def take(self, opening: Opening) -> None:
        """Remove an opening packet that ``first`` has returned."""
        is_in_order = self._entries[0][1] is opening
        self._taken_in_order = self._taken_in_order + 1 if is_in_order else 0
        self.remove(opening.packet.flow)

    def due(self, now: float) -> list[Opening]:
        """Return the opening packets that may wait no longer.

        Args:
            now: Monotonic time in seconds.
        """
        return [
            opening for _, opening in self._entries if opening.due_at <= now
        ]

    def openings(self) -> list[Opening]:
        """Return all opening packets in the order in which they are served."""
        return [opening for _, opening in self._entries]

    def work_ahead_s(self, priority: int) -> float:
        """Return the work that is served before a new one of a priority.

        Args:
            priority: Priority; 0 is the highest.
        """
        return sum(
            opening.work_s
            for rank, opening in self._entries
            if rank[0] <= priority
        )

    def is_ahead(self, opening: Opening) -> bool:
        """Return whether a new opening packet would be served first."""
        if not self._entries:
            return True
        return _rank(opening, self._arrivals + 1) < self._entries[0][0]


def decide(
    opening: Opening,
    load: pending_work.ServerLoad,
    queue: OpeningQueue,
    now: float,
) -> Verdict:
    """Decide what becomes of an opening packet that arrives.

    Args:
        opening: The opening packet.
        load: Load of the backend server.
        queue: The opening packets that wait.
        now: Monotonic time in seconds.
    """
    ahead_s: float = 0
    if queue and not load.has_free_slot:
        ahead_s = queue.work_ahead_s(opening.terms.priority) / load.slots
    if not is_answerable(opening, load.wait_s + ahead_s, now):
        return Verdict.REJECT
    if load.has_free_slot:
        return Verdict.ADMIT
    if has_capacity(opening, load) and queue.is_ahead(opening):
        return Verdict.ADMIT
    return Verdict.QUEUE


def is_answerable(opening: Opening, wait_s: float, now: float) -> bool:
    """Return whether an answer before the deadline is expected.

    Args:
        opening: The opening packet.
        wait_s: Expected seconds until its request gets a slot.
        now: Monotonic time in seconds.
    """
    return wait_s + opening.work_s <= opening.left_s(now)


def has_capacity(opening: Opening, load: pending_work.ServerLoad) -> bool:
    """Return whether a backend server can take a request within its objective.

    Args:
        opening: The opening packet.
        load: Load of the backend server.
    """
    if load.has_free_slot:
        return True
    if load.in_system >= MAX_IN_SYSTEM_PER_SLOT * load.slots:
        return False
    return load.wait_s + opening.slow_work_s <= opening.terms.objective_s


def _rank(opening: Opening, arrival: int) -> _Rank:
    terms = opening.terms
    return (terms.priority, terms.is_repeatable, opening.work_s, arrival)


def _is_starving(opening: Opening, now: float) -> bool:
    longest_s = opening.due_at - opening.queued_at
    return now - opening.queued_at >= STARVING_FRACTION * longest_s


def _queued_at(opening: Opening) -> float:
    return opening.queued_at


def _of_copy(durations: tuple[float, ...], packet: packets.Packet) -> float:
    """Return the duration that applies to a copy; ``acknowledged`` counts."""
    return durations[min(packet.acknowledged, len(durations) - 1)]
