"""Layout of the platform's packets."""

import socket
import struct
import typing

from kumquatport.connection.packets import packet as packets

# src, dst, sport, dport, sum, seq, ack, flags, pad, len, echo
_HEAD: typing.Final = struct.Struct('<IIHHIIIB5xHI')
# src, dst, sport, dport: a flow as the client names it
_ENDS: typing.Final = struct.Struct('<IIHH')
_MARK: typing.Final = struct.Struct('<I')
_FLAGS_OFFSET: typing.Final = 24
_ECHO_OFFSET: typing.Final = 32
_FLOW_BYTES: typing.Final = 12
_ADDRESS_BYTES: typing.Final = 4

_BIT_SYN: typing.Final = 1
_BIT_ACK: typing.Final = 16
_BIT_FIN: typing.Final = 8
_BIT_RST: typing.Final = 128
_BIT_BOUNCED: typing.Final = 32

_ALL_BITS: typing.Final = 256
_MAX_DATA_BYTES: typing.Final = 1200


def _own_flags(bits: int) -> int:
    pairs = (
        (_BIT_SYN, packets.FLAG_SYN),
        (_BIT_ACK, packets.FLAG_ACK),
        (_BIT_FIN, packets.FLAG_FIN),
        (_BIT_RST, packets.FLAG_RST),
        (_BIT_BOUNCED, packets.FLAG_BOUNCED),
    )
    return sum(flag for bit, flag in pairs if bits & bit)


_FLAGS: typing.Final = tuple(_own_flags(bits) for bits in range(_ALL_BITS))


def from_client(datagram: bytes) -> packets.Packet | None:
    """Read a packet that a client sent, or that a bounce brought back.

    Returns:
        The packet, or None where the datagram is not one.
    """
    if len(datagram) < _HEAD.size:
        return None
    head = _HEAD.unpack_from(datagram)
    if head[8] > _MAX_DATA_BYTES or head[8] != len(datagram) - _HEAD.size:
        return None
    return packets.Packet(
        flow=datagram[:_FLOW_BYTES],
        client_address=client_of(datagram),
        service_address=head[1],
        service_port=head[3],
        flags=_FLAGS[head[7]],
        sequence=head[5],
        acknowledged=head[6],
        length=head[8],
        mark=head[9],
        datagram=datagram,
    )


def from_backend_server(datagram: bytes) -> packets.Packet | None:
    """Read a packet that a backend server sent or bounced.

    Returns:
        The packet with the flow named as the client names it, or None where
        the datagram is not one.
    """
    if len(datagram) < _HEAD.size:
        return None
    if datagram[_FLAGS_OFFSET] & _BIT_BOUNCED:
        return from_client(datagram)
    answer = from_client(datagram)
    if answer is None:
        return None
    service, _, service_port, _ = _ENDS.unpack_from(datagram)
    flow = _opposite(datagram[:_FLOW_BYTES])
    return answer._replace(
        flow=flow,
        client_address=client_of(flow),
        service_address=service,
        service_port=service_port,
    )


def marked(datagram: bytes, mark: int) -> bytes:
    """Return a datagram with a mark in the field that bounces keep.

    The sum of the packet spans neither that field nor the bounced bit.
    """
    bits = datagram[_FLAGS_OFFSET] & ~_BIT_BOUNCED
    return b''.join(
        (
            datagram[:_FLAGS_OFFSET],
            bytes((bits,)),
            datagram[_FLAGS_OFFSET + 1 : _ECHO_OFFSET],
            _MARK.pack(mark),
            datagram[_HEAD.size :],
        )
    )


def reset(flow: bytes, acknowledged: int) -> bytes:
    """Return a reset from the service's address to the client.

    Args:
        flow: The flow as the client names it.
        acknowledged: Number that the client acknowledged last; the platform
            takes a reset of an open flow only near it.
    """
    client, service, client_port, service_port = _ENDS.unpack(flow)
    ends = (service, client, service_port, client_port)
    return _HEAD.pack(*ends, 0, acknowledged, 0, _BIT_RST, 0, 0)


def client_of(flow: bytes) -> str:
    """Return the address of a flow's client."""
    return _text(_ENDS.unpack_from(flow)[0])


def describe(flow: bytes) -> str:
    """Return both ends of a flow, the client first."""
    client, service, client_port, service_port = _ENDS.unpack(flow)
    ends = (_text(client), client_port, _text(service), service_port)
    return '{}:{}>{}:{}'.format(*ends)


def _text(address: int) -> str:
    return socket.inet_ntoa(address.to_bytes(_ADDRESS_BYTES))


def _opposite(flow: bytes) -> bytes:
    client, service, client_port, service_port = _ENDS.unpack(flow)
    return _ENDS.pack(service, client, service_port, client_port)


CODEC: typing.Final = packets.Codec(
    parse_client_packet=from_client,
    parse_backend_server_packet=from_backend_server,
    client_address=client_of,
    format_flow=describe,
    with_mark=marked,
    build_reset=reset,
)
