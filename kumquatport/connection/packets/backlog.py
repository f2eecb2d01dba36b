"""Queue of client packets that cannot be forwarded yet.

When all processes start at once while clients keep sending, packets arrive
before the routes or an agent are known. A client sends its opening packet three
times within 0.6 s. A lost packet costs the client up to 0.8 s; a queued one is
forwarded as soon as an agent is available.
"""

import collections
import typing

# Seconds after which a queued packet is useless: by then its client has sent
# the next retransmission or started a new attempt.
MAX_AGE_S: typing.Final = 0.8

# Maximum number of queued flows, one packet each. Many times what a balancer of
# the designed size receives within MAX_AGE_S.
MAX_PACKETS: typing.Final = 4_096


class _QueuedPacket(typing.NamedTuple):
    datagram: bytes
    queued_at: float


class Backlog:
    """Bounded queue of the latest packet of each flow, oldest first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queued: collections.OrderedDict[bytes, _QueuedPacket] = (
            collections.OrderedDict()
        )
        self._retried: dict[bytes, _QueuedPacket] = {}

    def __len__(self) -> int:
        """Return the number of queued flows."""
        return len(self._queued)

    def add(self, flow: bytes, datagram: bytes, now: float) -> bool:
        """Queue a packet, replacing an earlier one of the same flow.

        A packet that is queued again after a retry keeps its age.

        Args:
            flow: Key of the flow.
            datagram: The packet.
            now: Monotonic time in seconds.

        Returns:
            False if the packet was queued again after a retry.
        """
        former = self._retried.pop(flow, None)
        is_new = former is None or former.datagram != datagram
        queued_at = now if former is None or is_new else former.queued_at
        self._queued.pop(flow, None)
        if len(self._queued) >= MAX_PACKETS:
            self._queued.popitem(last=False)
        self._queued[flow] = _QueuedPacket(datagram, queued_at)
        return is_new

    def pop_unexpired(self, now: float) -> list[bytes]:
        """Empty the queue and return the packets to retry.

        Expired packets are dropped.

        Args:
            now: Monotonic time in seconds.
        """
        self._retried = {
            flow: queued
            for flow, queued in self._queued.items()
            if now - queued.queued_at < MAX_AGE_S
        }
        self._queued.clear()
        return [queued.datagram for queued in self._retried.values()]
