"""Parsed packets of a flow and the codec that the platform provides."""

import functools
import ipaddress
import typing
from collections import abc

import xxhash

FLAG_SYN: typing.Final = 1
FLAG_ACK: typing.Final = 2
FLAG_FIN: typing.Final = 4
FLAG_RST: typing.Final = 8
FLAG_BOUNCED: typing.Final = 16

# Data bytes of a full packet. Senders fill all packets of a request but its last.
MAX_DATA_BYTES: typing.Final = 1200

# Tag of a packet whose sender names no service.
NO_SERVICE_TAG: typing.Final = 0

SEQUENCE_MASK: typing.Final = 0xFFFFFFFF
_SERVICE_TAG_MASK: typing.Final = 0xFFFFFFFFFF


class Packet(typing.NamedTuple):
    """Header fields of one datagram, in the client's view of the flow.

    Attributes:
        flow: Key of the flow: addresses and ports of both ends.
        client_address: IPv4 address of the client, as text.
        service_address: IPv4 address of the service, as an integer.
        service_port: Port of the service.
        flags: Bits of ``FLAG_*``.
        sequence: Sequence number of the first data byte.
        acknowledged: Sequence number that the sender expects next; in an
            opening packet, the number of earlier transmissions of it.
        length: Data length in bytes.
        mark: Mark that the forwarding instance set for a bounce to return to
            it.
        service_tag: ``service_tag`` of the service that the forwarding
            instance takes the receiver for; ``NO_SERVICE_TAG`` if it names
            none.
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
    service_tag: int
    datagram: bytes

    @property
    def is_opening(self) -> bool:
        """Return whether the packet opens a flow."""
        return bool(self.flags & FLAG_SYN) and not self.flags & FLAG_ACK

    @property
    def is_bounced(self) -> bool:
        """Return whether a backend server rejected and returned the packet."""
        return bool(self.flags & FLAG_BOUNCED)

    @property
    def is_reset(self) -> bool:
        """Return whether the packet resets its flow."""
        return bool(self.flags & FLAG_RST)


class NamedFlow(typing.NamedTuple):
    """A flow that is named by its two ends.

    Attributes:
        flow: Key of the flow, as in its packets.
        service_address: IPv4 address of the service, as an integer.
        service_port: Port of the service.
    """

    flow: bytes
    service_address: int
    service_port: int


class Codec(typing.NamedTuple):
    """Packet format, provided by the platform adapter.

    Attributes:
        parse_client_packet: Parses a packet that a client sent; returns None if
            it is malformed.
        parse_backend_server_packet: Parses a packet that a backend server sent
            or bounced; returns None if it is malformed.
        client_address: Returns the client address of a flow, as text.
        format_flow: Returns both ends of a flow as text, for logs.
        parse_flow: Parses the text of ``format_flow``; returns None if it is
            malformed.
        with_mark: Returns a datagram as its receiver gets it, with a mark that
            a bounce preserves and without a service tag.
        with_service_tag: Returns a datagram with a service tag, for another
            instance.
        build_reset: Builds a reset for the client of a flow, from the flow and
            the last number that the client acknowledged.
    """

    parse_client_packet: abc.Callable[[bytes], Packet | None]
    parse_backend_server_packet: abc.Callable[[bytes], Packet | None]
    client_address: abc.Callable[[bytes], str]
    format_flow: abc.Callable[[bytes], str]
    parse_flow: abc.Callable[[str], NamedFlow | None]
    with_mark: abc.Callable[[bytes, int], bytes]
    with_service_tag: abc.Callable[[bytes, int], bytes]
    build_reset: abc.Callable[[bytes, int], bytes]


def sequence_distance(later: int, earlier: int) -> int:
    """Return the distance between two sequence numbers, modulo 2^32."""
    return (later - earlier) & SEQUENCE_MASK


@functools.lru_cache(maxsize=4096)
def service_tag(service: str) -> int:
    """Return the 40-bit tag that names a service between instances."""
    digest = xxhash.xxh64_intdigest(service.encode()) & _SERVICE_TAG_MASK
    return max(digest, NO_SERVICE_TAG + 1)


@functools.lru_cache(maxsize=4096)
def mark_from_address(address: str) -> int:
    """Return the mark that identifies an instance by its IPv4 address."""
    return int(ipaddress.IPv4Address(address))


@functools.lru_cache(maxsize=4096)
def address_from_mark(mark: int) -> str:
    """Return the IPv4 address that a mark identifies, empty for no mark."""
    return str(ipaddress.IPv4Address(mark)) if mark else ''
