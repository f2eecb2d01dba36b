"""Queue of a balancer for packets that its link cannot carry at once.

Without it, packets above the rate of a narrow link wait in the network, whose
queue holds some 50 ms and drops what does not fit. A client that loses one
packet of a window sends the window again after 0.2 s, and copies of opening
packets are offered to further agents, so a short burst of uploads kept narrow
links full for good. Packets that wait here are not lost, opening packets pass
the others, and a retransmission replaces the packet that still waits.
"""

import collections
import math
import typing

# Share of the link's rate that is used. The rest carries the store's calls and
# keeps the queue in the network short, so that the order of this one counts.
LINK_SHARE: typing.Final = 0.95

# Bytes of the IPv4 and UDP headers of a datagram.
HEADER_BYTES: typing.Final = 28

# Seconds of the rate that may be sent at once after a quiet time, and that
# control messages may use in advance. The network's queue holds some 0.05 s; a
# CPU quota stops the process for some hundredths of a second at a time.
BURST_S: typing.Final = 0.025
MAX_DEBT_S: typing.Final = 0.05

# Minimum seconds between two releases: a wake-up for each packet would cost
# more processor time than the packets themselves.
MIN_RELEASE_S: typing.Final = 0.004

# Seconds of the rate that may wait. Clients have at most 16 packets of a flow
# in flight, so only some 60 flows at once can fill 2 s of 5 Mbit/s.
MAX_QUEUE_S: typing.Final = 2.0

# Packets that may wait, whatever their size: an entry takes about a kilobyte of
# memory beside the packet.
MAX_PACKETS: typing.Final = 20_000

# Seconds after which a packet without a newer copy is useless: clients send a
# packet again after 1.6 s at the latest, or have given up.
MAX_AGE_S: typing.Final = 1.6

# Largest distance of sequence numbers within one stream: several windows.
_MAX_DISTANCE: typing.Final = 1 << 17
_SEQUENCE_MASK: typing.Final = 0xFFFFFFFF

# Of this many packets, one is the longest waiting of all, so that no rank
# starves.
OLDEST_INTERVAL: typing.Final = 8

# Rank of packets that leave first; all others are priorities of routes.
URGENT: typing.Final = -1

# Rank of packets that only ask whether an agent holds their flow: after those
# of open flows, which clients wait for.
LOOKUP: typing.Final = 1_000


class QueuedPacket(typing.NamedTuple):
    """A packet that is ready to be sent.

    Attributes:
        stream: Key of the packets that keep their order: flow and receiver.
        identity: Sequence number, length and flags; equal for a packet and its
            retransmissions.
        rank: ``URGENT``, ``LOOKUP``, or the priority of its route; 0 is the
            highest.
        message: The datagram to send.
        address: IPv4 address of the receiver.
    """

    stream: tuple[bytes, str]
    identity: tuple[int, int, int]
    rank: int
    message: bytes
    address: str


_StreamKey = tuple[bytes, str]
_Identity = tuple[int, int, int]
# The packets of a stream by identity: a retransmission replaces the former one.
_Stream = dict[_Identity, QueuedPacket]
_Streams = collections.OrderedDict[_StreamKey, _Stream]


class _Place(typing.NamedTuple):
    """Where a packet waits.

    Attributes:
        rank: Its rank.
        copied_at: Monotonic time in seconds of its latest copy.
    """

    rank: int
    copied_at: float


class LinkQueue:
    """Orders the packets that wait for the link.

    Urgent packets leave first, then data by rank, in turn among the streams of
    a rank. A stream of data without waiting packets is next.

    Attributes:
        rate: Bytes per second that are sent; infinite if no rate is stated.
        replaced: Waiting packets that a retransmission has replaced.
        dropped: Packets that were dropped because the queue was full, or
            because they had become useless.
    """

    def __init__(self, link_bytes_per_s: float, now: float) -> None:
        """Create an empty queue.

        Args:
            link_bytes_per_s: Rate of the link; 0 if none is stated.
            now: Monotonic time in seconds.
        """
        self.rate = _usable_rate(link_bytes_per_s)
        self.replaced = 0
        self.dropped = 0
        self._credit = self.rate * BURST_S
        self._credited_at = now
        self._queued_bytes = 0
        self._released = 0
        self._ranks: dict[int, _Streams] = {}
        # All packets, the longest waiting first.
        self._places: collections.OrderedDict[
            tuple[_StreamKey, _Identity], _Place
        ] = collections.OrderedDict()

    @property
    def wait_s(self) -> float:
        """Return the seconds that the waiting packets need."""
        return self._queued_bytes / self.rate

    def apply_rate(self, link_bytes_per_s: float, now: float) -> None:
        """Change the rate of the link; see ``__init__``."""
        rate = _usable_rate(link_bytes_per_s)
        if rate == self.rate:
            return
        self.rate = rate
        self._credit = 0
        self._credited_at = now
        self._trim()

    def charge(self, datagram_bytes: int, now: float) -> None:
        """Record a datagram that has been sent."""
        if math.isinf(self.rate):
            return
        self._refill(now)
        self._credit = max(
            self._credit - datagram_bytes - HEADER_BYTES,
            -self.rate * MAX_DEBT_S,
        )

    def must_wait(self, now: float) -> bool:
        """Return whether a packet has to be queued."""
        if math.isinf(self.rate):
            return False
        self._refill(now)
        return self._queued_bytes > 0 or self._credit <= 0

    def add(self, packet: QueuedPacket, now: float) -> None:
        """Queue a packet, or replace the former copy that still waits.

        The copy waits at the better rank of both: a packet that only asked
        whether an agent holds its flow may have become one of an open flow.
        """
        position = (packet.stream, packet.identity)
        former = self._places.get(position)
        if former is not None:
            self.replaced += 1
            if former.rank <= packet.rank:
                self._replace(former.rank, packet)
                self._places[position] = _Place(former.rank, now)
                return
            self._remove(*position)
        self._insert(packet)
        self._places[position] = _Place(packet.rank, now)
        self._queued_bytes += _size(packet)
        self._trim()

    def release(self, now: float) -> list[QueuedPacket]:
        """Remove and return the packets that the link can carry now.

        The caller charges them when it sends them.
        """
        credit = math.inf
        if math.isfinite(self.rate):
            self._refill(now)
            credit = self._credit
        released = []
        while self._places and credit > 0:
            packet, place = self._remove(*self._next_position())
            if now - place.copied_at > MAX_AGE_S:
                self.dropped += 1
                continue
            credit -= _size(packet)
            released.append(packet)
        return released

    def next_release_s(self) -> float | None:
        """Return the seconds until a packet can be sent, None if none waits."""
        if not self._places:
            return None
        if math.isinf(self.rate):
            return 0
        return max(-self._credit / self.rate, MIN_RELEASE_S)

    def _refill(self, now: float) -> None:
        earned = (now - self._credited_at) * self.rate
        self._credit = min(self._credit + earned, self.rate * BURST_S)
        self._credited_at = now

    def _insert(self, packet: QueuedPacket) -> None:
        streams = self._ranks.setdefault(packet.rank, collections.OrderedDict())
        stream = streams.get(packet.stream)
        if stream is None:
            stream = {}
            streams[packet.stream] = stream
            if packet.rank != URGENT:
                # A request of one packet does not wait for all uploads.
                streams.move_to_end(packet.stream, last=False)
        stream[packet.identity] = packet

    def _replace(self, rank: int, packet: QueuedPacket) -> None:
        stream = self._ranks[rank][packet.stream]
        self._queued_bytes += _size(packet)
        self._queued_bytes -= _size(stream[packet.identity])
        stream[packet.identity] = packet

    def _next_position(self) -> tuple[_StreamKey, _Identity]:
        """Return the packet that is sent next."""
        self._released += 1
        if self._released % OLDEST_INTERVAL == 0:
            return next(iter(self._places))
        streams = self._ranks[min(self._ranks)]
        key, stream = next(iter(streams.items()))
        # The turn of this stream is over.
        streams.move_to_end(key)
        return key, _first_in_sequence(stream)

    def _trim(self) -> None:
        """Drop what exceeds the limits."""
        while (
            self._queued_bytes > self.rate * MAX_QUEUE_S
            or len(self._places) > MAX_PACKETS
        ):
            self._drop()

    def _drop(self) -> None:
        """Drop a packet of the lowest rank, of the stream that is last in turn.

        The choice takes the same time however many packets wait: a balancer
        that searched for the longest stream was busy with that alone.
        """
        streams = self._ranks[max(self._ranks)]
        key = next(reversed(streams))
        self._remove(key, next(reversed(streams[key])))
        self.dropped += 1

    def _remove(
        self, key: _StreamKey, identity: _Identity
    ) -> tuple[QueuedPacket, _Place]:
        """Remove and return a packet, with what becomes empty by that."""
        place = self._places.pop((key, identity))
        streams = self._ranks[place.rank]
        packet = streams[key].pop(identity)
        self._queued_bytes -= _size(packet)
        if not streams[key]:
            streams.pop(key)
        if not streams:
            self._ranks.pop(place.rank)
        return packet, place


def _first_in_sequence(stream: _Stream) -> _Identity:
    """Return the packet of a stream that its client sent first.

    A packet that was lost in the network is sent again after later ones, which
    the receiver cannot use before.
    """
    base = next(iter(stream))[0] - _MAX_DISTANCE
    return min(stream, key=lambda each: (each[0] - base) & _SEQUENCE_MASK)


def _usable_rate(link_bytes_per_s: float) -> float:
    return link_bytes_per_s * LINK_SHARE if link_bytes_per_s else math.inf


def _size(packet: QueuedPacket) -> int:
    return len(packet.message) + HEADER_BYTES
