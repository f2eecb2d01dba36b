"""Packets of clients and backend servers (PROTOCOL.md, Packets)."""

import socket
import struct
import typing

HEAD = struct.Struct('<IIHHIIIB5sHI')
SYN, ACK, FIN, RST, BOUNCED = 1, 16, 8, 128, 32
SUM = 0x5EA15EA1
MOD = 1 << 32


class Packet(typing.NamedTuple):
    """A parsed packet."""

    src: str
    dst: str
    sport: int
    dport: int
    sum: int
    seq: int
    ack: int
    flags: int
    echo: int
    data: bytes

    @property
    def flow(self):
        """Key of the flow in the direction of the packet."""
        return (self.src, self.sport, self.dst, self.dport)


def pack(flow, flags, seq=0, ack=0, data=b''):
    src, sport, dst, dport = flow
    return (
        HEAD.pack(
            _number(src),
            _number(dst),
            sport,
            dport,
            SUM,
            seq % MOD,
            ack % MOD,
            flags,
            bytes(5),
            len(data),
            0,
        )
        + data
    )


def parse(datagram):
    src, dst, sport, dport, total, seq, ack, flags, _, length, echo = (
        HEAD.unpack_from(datagram)
    )
    return Packet(
        _text(src),
        _text(dst),
        sport,
        dport,
        total,
        seq,
        ack,
        flags,
        echo,
        datagram[HEAD.size : HEAD.size + length],
    )


def reverse(flow):
    return (flow[2], flow[3], flow[0], flow[1])


def bounced(datagram):
    """Return the datagram with BOUNCED set and pad 0; echo stays."""
    return (
        datagram[:24]
        + bytes((datagram[24] | BOUNCED,))
        + bytes(5)
        + datagram[30:]
    )


def distance(one, other):
    """Return the absolute distance of two sequence numbers."""
    ahead = (one - other) % MOD
    return min(ahead, MOD - ahead)


def _number(address):
    return int.from_bytes(socket.inet_aton(address), 'big')


def _text(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))
