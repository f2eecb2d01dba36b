"""One packet of a flow, and what can be made of it."""

import functools
import ipaddress
import typing
from collections import abc

FLAG_SYN: typing.Final = 1
FLAG_ACK: typing.Final = 2
FLAG_FIN: typing.Final = 4
FLAG_RST: typing.Final = 8
FLAG_BOUNCED: typing.Final = 16

_SEQUENCE_MASK: typing.Final = 0xFFFFFFFF


class Packet(typing.NamedTuple):
    """The head of one datagram, seen from the client.

    Attributes:
        flow: Key of the flow: the addresses and ports of both ends.
        client_address: IPv4 address of the client, as text.
        service_address: IPv4 address that the client called, as a number.
        service_port: Port that the client called.
        flags: Bits of ``FLAG_*``.
        sequence: Number of the first byte that it carries.
        acknowledged: Number of the next byte that its sender expects; in a
            copy of an opening packet, how many went before.
        length: Bytes of data that it carries.
        mark: What the sending instance wrote to find its way back.
        datagram: The whole datagram.
    """

    flow: bytes
    client_address: str
    service_address: int
    service_port: int
    flags: int
    sequence: int
    acknowledged: int
    length: int
    mark: int
    datagram: bytes

    @property
    def is_opening(self) -> bool:
        """Tell whether it asks to open a flow."""
        return bool(self.flags & FLAG_SYN) and not self.flags & FLAG_ACK

    @property
    def is_bounced(self) -> bool:
        """Tell whether a backend server handed it back."""
        return bool(self.flags & FLAG_BOUNCED)

    @property
    def is_reset(self) -> bool:
        """Tell whether it ends its flow at once."""
        return bool(self.flags & FLAG_RST)


class Codec(typing.NamedTuple):
    """The format of packets, given by the adapter to the platform.

    Attributes:
        parse_client_packet: Reads a packet that a client sent; None if malformed.
        parse_backend_server_packet: Reads a packet that a backend server sent or
            bounced; None if malformed.
        client_address: Returns the address of a flow's client, as text.
        format_flow: Returns both ends of a flow as text, for logs.
        with_mark: Returns a datagram with a mark that a bounce brings back.
        build_reset: Returns a reset for the client of a flow, given the flow and
            the number that the client acknowledged last.
    """

    parse_client_packet: abc.Callable[[bytes], Packet | None]
    parse_backend_server_packet: abc.Callable[[bytes], Packet | None]
    client_address: abc.Callable[[bytes], str]
    format_flow: abc.Callable[[bytes], str]
    with_mark: abc.Callable[[bytes, int], bytes]
    build_reset: abc.Callable[[bytes, int], bytes]


def sequence_distance(later: int, earlier: int) -> int:
    """Return how far one sequence number is behind another, modulo 2^32."""
    return (later - earlier) & _SEQUENCE_MASK


@functools.lru_cache(maxsize=4096)
def mark_from_address(address: str) -> int:
    """Return the mark that names an instance by its IPv4 address."""
    return int(ipaddress.IPv4Address(address))


@functools.lru_cache(maxsize=4096)
def address_from_mark(mark: int) -> str:
    """Return the IPv4 address that a mark names; empty for no mark."""
    return str(ipaddress.IPv4Address(mark)) if mark else ''
