"""Wire format of the platform's packets."""

import ipaddress
import socket
import struct
import typing

from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import decoding

# src, dst, sport, dport, sum, seq, ack, flags, pad, len, echo
_HEADER: typing.Final = struct.Struct('<IIHHIIIB5sHI')
# src, dst, sport, dport: a flow in the direction from the client
_FLOW: typing.Final = struct.Struct('<IIHH')
_MARK: typing.Final = struct.Struct('<I')
_FLAGS_OFFSET: typing.Final = 24
_PAD_OFFSET: typing.Final = 25
_LENGTH_OFFSET: typing.Final = 30
_ECHO_OFFSET: typing.Final = 32
_FLOW_BYTES: typing.Final = 12
_ADDRESS_BYTES: typing.Final = 4
_PAD_BYTES: typing.Final = _LENGTH_OFFSET - _PAD_OFFSET
_EMPTY_PAD: typing.Final = bytes(_PAD_BYTES)

_BIT_SYN: typing.Final = 1
_BIT_ACK: typing.Final = 16
_BIT_FIN: typing.Final = 8
_BIT_RST: typing.Final = 128
_BIT_BOUNCED: typing.Final = 32

_FLAG_COMBINATIONS: typing.Final = 256


def _to_packet_flags(bits: int) -> int:
    pairs = (
        (_BIT_SYN, packets.FLAG_SYN),
        (_BIT_ACK, packets.FLAG_ACK),
        (_BIT_FIN, packets.FLAG_FIN),
        (_BIT_RST, packets.FLAG_RST),
        (_BIT_BOUNCED, packets.FLAG_BOUNCED),
    )
    return sum(flag for bit, flag in pairs if bits & bit)


_FLAGS: typing.Final = tuple(
    _to_packet_flags(bits) for bits in range(_FLAG_COMBINATIONS)
)


def parse_client_packet(datagram: bytes) -> packets.Packet | None:
    """Parse a packet sent by a client, or returned by a bounce.

    Returns:
        The packet, or None if the datagram is not a packet.
    """
    if len(datagram) < _HEADER.size:
        return None
    header = _HEADER.unpack_from(datagram)
    length = header[9]
    if (
        length > packets.MAX_DATA_BYTES
        or length != len(datagram) - _HEADER.size
    ):
        return None
    return packets.Packet(
        flow=datagram[:_FLOW_BYTES],
        client_address=client_address(datagram),
        service_address=header[1],
        service_port=header[3],
        flags=_FLAGS[header[7]],
        sequence=header[5],
        acknowledged=header[6],
        length=length,
        mark=header[10],
        service_tag=int.from_bytes(header[8], 'little'),
        datagram=datagram,
    )


def parse_backend_server_packet(datagram: bytes) -> packets.Packet | None:
    """Parse a packet sent or bounced by a backend server.

    Returns:
        The packet with its flow in the direction from the client, or None if
        the datagram is not a packet.
    """
    if len(datagram) < _HEADER.size:
        return None
    if datagram[_FLAGS_OFFSET] & _BIT_BOUNCED:
        return parse_client_packet(datagram)
    packet = parse_client_packet(datagram)
    if packet is None:
        return None
    service, _, service_port, _ = _FLOW.unpack_from(datagram)
    flow = _reverse(datagram[:_FLOW_BYTES])
    return packet._replace(
        flow=flow,
        client_address=client_address(flow),
        service_address=service,
        service_port=service_port,
    )


def with_mark(datagram: bytes, mark: int) -> bytes:
    """Return the datagram with a mark in the field that bounces preserve.

    The padding, in which instances name a service to each other, is empty in
    what both ends of a flow write. The checksum covers neither field, nor the
    bounced bit.
    """
    bits = datagram[_FLAGS_OFFSET] & ~_BIT_BOUNCED
    return b''.join(
        (
            datagram[:_FLAGS_OFFSET],
            bytes((bits,)),
            _EMPTY_PAD,
            datagram[_LENGTH_OFFSET:_ECHO_OFFSET],
            _MARK.pack(mark),
            datagram[_HEADER.size :],
        )
    )


def with_service_tag(datagram: bytes, tag: int) -> bytes:
    """Return the datagram with a service tag in its padding.

    The length stays the same, so builds that know no tags read it as before.
    """
    return b''.join(
        (
            datagram[:_PAD_OFFSET],
            tag.to_bytes(_PAD_BYTES, 'little'),
            datagram[_LENGTH_OFFSET:],
        )
    )


def build_reset(flow: bytes, acknowledged: int) -> bytes:
    """Build a reset from the service's address to the client.

    Args:
        flow: The flow in the direction from the client.
        acknowledged: Sequence number that the client acknowledged last; the
            platform accepts a reset of an open flow only near it.
    """
    client, service, client_port, service_port = _FLOW.unpack(flow)
    endpoints = (service, client, service_port, client_port)
    return _HEADER.pack(
        *endpoints, 0, acknowledged, 0, _BIT_RST, _EMPTY_PAD, 0, 0
    )


def client_address(flow: bytes) -> str:
    """Return the client's address of a flow."""
    return _format_address(_FLOW.unpack_from(flow)[0])


def format_flow(flow: bytes) -> str:
    """Format both endpoints of a flow, the client first."""
    client, service, client_port, service_port = _FLOW.unpack(flow)
    endpoints = (
        _format_address(client),
        client_port,
        _format_address(service),
        service_port,
    )
    return '{}:{}>{}:{}'.format(*endpoints)


def parse_flow(text: str) -> packets.NamedFlow | None:
    """Parse both endpoints of a flow, as ``format_flow`` writes them.

    Returns:
        The flow, or None if the text does not name one.
    """
    client_end, _, service_end = text.partition('>')
    try:
        client, client_port = _parse_endpoint(client_end)
        service, service_port = _parse_endpoint(service_end)
    except ValueError:
        return None
    flow = _FLOW.pack(client, service, client_port, service_port)
    return packets.NamedFlow(flow, service, service_port)


def _parse_endpoint(text: str) -> tuple[int, int]:
    address, _, port = text.partition(':')
    return int(ipaddress.IPv4Address(address)), decoding.parse_port(port)


def _format_address(address: int) -> str:
    return socket.inet_ntoa(address.to_bytes(_ADDRESS_BYTES))


def _reverse(flow: bytes) -> bytes:
    client, service, client_port, service_port = _FLOW.unpack(flow)
    return _FLOW.pack(service, client, service_port, client_port)


CODEC: typing.Final = packets.Codec(
    parse_client_packet=parse_client_packet,
    parse_backend_server_packet=parse_backend_server_packet,
    client_address=client_address,
    format_flow=format_flow,
    parse_flow=parse_flow,
    with_mark=with_mark,
    with_service_tag=with_service_tag,
    build_reset=build_reset,
)
