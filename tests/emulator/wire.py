"""Packets that clients and backend servers of the emulator exchange."""

import struct
import typing

from kumquatport.platform import packet as codec

SYN, ACK, FIN, RST, BOUNCED = 1, 16, 8, 128, 32
HEADER = struct.Struct('<IIHHIIIB5sHI')
DATA = struct.Struct('<IdId')


class Data(typing.NamedTuple):
    """Body of a packet: a request or an answer.

    Attributes:
        number: Number of the request at its client.
        work_s: Seconds of work that the request needs.
        status: HTTP status of an answer; 0 in a request.
        sent_at: Simulated seconds at which the client sent the request.
    """

    number: int
    work_s: float
    status: int
    sent_at: float


class Packet(typing.NamedTuple):
    """A packet as its receiver parses it.

    Attributes:
        flow: Source and destination address and port, as in the packet.
        flags: Combination of the flags of this module.
        sequence: Sequence number.
        acknowledged: Acknowledgement number.
        data: Request or answer; None without a body.
        sum: Sum of the header.
    """

    flow: bytes
    flags: int
    sequence: int
    acknowledged: int
    data: Data | None
    sum: int

    @property
    def is_syn(self) -> bool:
        return bool(self.flags & SYN) and not self.flags & ACK

    @property
    def is_fin(self) -> bool:
        return bool(self.flags & FIN)

    @property
    def client_sent_at(self) -> float:
        return self.data.sent_at if self.data else 0.0


def parse(datagram: bytes) -> Packet:
    """Parse a packet; its flow is in the direction of the packet."""
    header = HEADER.unpack_from(datagram)
    body = datagram[HEADER.size :]
    data = Data(*DATA.unpack(body)) if body else None
    return Packet(
        datagram[:12], header[7], header[5], header[6], data, header[4]
    )


def pack(
    flow: bytes,
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    data: Data | None = None,
) -> bytes:
    body = DATA.pack(*data) if data else b''
    addresses = struct.unpack('<IIHH', flow)
    return (
        HEADER.pack(
            *addresses, 1, sequence, acknowledged, flags, bytes(5), len(body), 0
        )
        + body
    )


def reverse_flow(flow: bytes) -> bytes:
    return flow[4:8] + flow[:4] + flow[10:12] + flow[8:10]


def syn_ack(packet: Packet, sequence: int) -> bytes:
    return pack(reverse_flow(packet.flow), SYN | ACK, sequence, 1)


def server_reset(packet: Packet) -> bytes:
    return pack(reverse_flow(packet.flow), RST, packet.acknowledged)


def server_fin(packet: Packet) -> bytes:
    return pack(reverse_flow(packet.flow), FIN | ACK)


def answer(flow: bytes, data: Data, *, ok: bool) -> bytes:
    status = 200 if ok else 503
    return pack(reverse_flow(flow), ACK, data=data._replace(status=status))


def bounced(datagram: bytes) -> bytes:
    flags = bytes((datagram[24] | BOUNCED,))
    return datagram[:24] + flags + bytes(5) + datagram[30:]


CODEC = codec.CODEC
