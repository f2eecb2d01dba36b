"""Version-independent header fields of QUIC packets (RFC 8999)."""

import typing

from kumquatport.connection.connection_id import const as id_const
from kumquatport.connection.quic import const

MAX_CONNECTION_ID_BYTES = 20


class Destination(typing.NamedTuple):
    """Header fields by which a packet is routed.

    Attributes:
        connection_id: Destination connection ID; empty if the packet is not
            QUIC.
        is_long: Whether the packet has a long header, as opening packets have.
    """

    connection_id: bytes
    is_long: bool


NOT_QUIC = Destination(b'', is_long=False)


def destination(packet: bytes | memoryview) -> Destination:
    """Parse the destination connection ID of a packet.

    Args:
        packet: An untrusted UDP payload.

    Returns:
        The destination, ``NOT_QUIC`` if the packet has none.
    """
    if not packet:
        return NOT_QUIC
    if packet[0] & const.LONG_HEADER_BIT:
        return _long_destination(packet)
    end = 1 + id_const.CONNECTION_ID_BYTES
    if len(packet) < end:
        return NOT_QUIC
    return Destination(bytes(packet[1:end]), is_long=False)


def _long_destination(packet: bytes | memoryview) -> Destination:
    if len(packet) <= const.VERSION_END_OFFSET:
        return NOT_QUIC
    size = packet[const.VERSION_END_OFFSET]
    start = const.VERSION_END_OFFSET + 1
    if not 0 < size <= MAX_CONNECTION_ID_BYTES or len(packet) < start + size:
        return NOT_QUIC
    return Destination(bytes(packet[start : start + size]), is_long=True)
