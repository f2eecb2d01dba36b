"""Packets of flows whose agent a balancer is looking up."""

import collections
import operator
import typing

from kumquatport.connection.packets import packet as packets

# Packets that a client has in flight on one flow.
MAX_PACKETS_PER_FLOW: typing.Final = 16

# Bytes of all packets: full windows of some 200 uploads.
MAX_BYTES: typing.Final = 4_000_000

# Seconds after which a packet is useless: its client has retransmitted it.
MAX_AGE_S: typing.Final = 1.6

# Half of the range of sequence numbers, which are compared modulo 2^32.
_HALF_RANGE: typing.Final = 1 << 31

Identity = tuple[int, int, int]


class _Kept(typing.NamedTuple):
    packet: packets.Packet
    kept_at: float


_KeptFlow = dict[Identity, _Kept]


class WaitingPackets:
    """Bounded store of packets by flow, oldest flow first."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._flows: collections.OrderedDict[bytes, _KeptFlow] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of flows with packets."""
        return len(self._flows)

    def add(self, packet: packets.Packet, now: float) -> None:
        """Keep a packet in place of its former copy.

        A packet above the limit of its flow is dropped: clients send again from
        the first packet on that is missing.

        Args:
            packet: The packet.
            now: Monotonic time in seconds.
        """
        kept = self._flows.setdefault(packet.flow, {})
        former = kept.pop(identity(packet), None)
        if former is not None:
            self._bytes -= len(former.packet.datagram)
        if len(kept) >= MAX_PACKETS_PER_FLOW:
            self._drop_expired(packet.flow, now)
            if len(kept) >= MAX_PACKETS_PER_FLOW:
                return
        self._flows.setdefault(packet.flow, kept)
        kept[identity(packet)] = _Kept(packet, now)
        self._bytes += len(packet.datagram)
        while self._bytes > MAX_BYTES:
            self.discard(next(iter(self._flows)))

    def latest(self, flow: bytes, now: float) -> packets.Packet | None:
        """Return the packet of a flow that was kept last, None if none is."""
        self._drop_expired(flow, now)
        kept = self._flows.get(flow)
        return next(reversed(kept.values())).packet if kept else None

    def pop(self, flow: bytes, now: float) -> list[packets.Packet]:
        """Remove the packets of a flow and return them by sequence number."""
        self._drop_expired(flow, now)
        kept = self._flows.get(flow)
        if not kept:
            return []
        waiting = [each.packet for each in kept.values()]
        self.discard(flow)
        base = waiting[0].sequence - _HALF_RANGE
        return sorted(
            waiting,
            key=lambda packet: (
                packets.sequence_distance(packet.sequence, base),
                packet.length,
            ),
        )

    def discard(self, flow: bytes) -> None:
        """Drop the packets of a flow."""
        for kept in self._flows.pop(flow, {}).values():
            self._bytes -= len(kept.packet.datagram)

    def expire(self, now: float) -> None:
        """Drop the packets that have become useless."""
        for flow in tuple(self._flows):
            self._drop_expired(flow, now)

    def _drop_expired(self, flow: bytes, now: float) -> None:
        kept = self._flows.get(flow)
        if kept is None:
            return
        times = map(operator.attrgetter('kept_at'), kept.values())
        if now - next(times, now) > MAX_AGE_S:
            for key, each in tuple(kept.items()):
                if now - each.kept_at > MAX_AGE_S:
                    self._bytes -= len(kept.pop(key).packet.datagram)
        if not kept:
            self._flows.pop(flow)


def identity(packet: packets.Packet) -> Identity:
    """Return what a packet and its retransmissions have in common."""
    return (packet.sequence, packet.length, packet.flags)
