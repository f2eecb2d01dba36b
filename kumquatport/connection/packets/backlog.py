"""Packets of clients that cannot be sent on yet.

Load pattern: all processes start at once while clients go on. Packets arrive
before the routes are known, or before an agent is. A client sends its opening
packet three times within 0.6 s; one that is lost costs it up to 0.8 s, one that
is kept goes on as soon as somebody is there.
"""

import collections
import typing

# Seconds for which a packet is of use: its client sends the next copy, or begins
# anew, by then.
MAX_AGE_S: typing.Final = 0.8

# Flows of which the latest packet is kept: about what arrives in that time at a
# balancer of the size designed for, many times over.
MAX_PACKETS: typing.Final = 4_096


class _QueuedPacket(typing.NamedTuple):
    datagram: bytes
    queued_at: float


class Backlog:
    """The latest packet of each flow that waits, the oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._queued: collections.OrderedDict[bytes, _QueuedPacket] = (
            collections.OrderedDict()
        )
        self._retried: dict[bytes, _QueuedPacket] = {}

    def __len__(self) -> int:
        """Return how many flows wait."""
        return len(self._queued)

    def add(self, flow: bytes, datagram: bytes, now: float) -> bool:
        """Keep a packet; tell whether it has not waited before.

        Args:
            flow: Its flow; an earlier packet of it is forgotten.
            datagram: The packet.
            now: Monotonic seconds.
        """
        former = self._retried.pop(flow, None)
        is_new = former is None or former.datagram != datagram
        since = now if former is None or is_new else former.queued_at
        self._queued.pop(flow, None)
        if len(self._queued) >= MAX_PACKETS:
            self._queued.popitem(last=False)
        self._queued[flow] = _QueuedPacket(datagram, since)
        return is_new

    def pop_unexpired(self, now: float) -> list[bytes]:
        """Return the packets that are still of use, to be tried again.

        Those that are kept again until the next call go on waiting.

        Args:
            now: Monotonic seconds.
        """
        self._retried = {
            flow: kept
            for flow, kept in self._queued.items()
            if now - kept.queued_at < MAX_AGE_S
        }
        self._queued.clear()
        return [kept.datagram for kept in self._retried.values()]
