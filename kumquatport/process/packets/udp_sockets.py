"""Bound UDP sockets, as the kernel lists them."""

import pathlib
import re
import socket
import sys
import typing
from collections import abc

# Lists of the UDP sockets in the network namespace of this process (Linux).
_TABLES: typing.Final = (
    pathlib.Path('/proc/net/udp'),
    pathlib.Path('/proc/net/udp6'),
)

# Number, local address, remote address, state, and the bytes in both queues.
_LINE: typing.Final = re.compile(
    r'\s*\d+: (?P<address>[0-9A-F]+):(?P<port>[0-9A-F]{4}) \S+ \S+'
    ' [0-9A-F]+:(?P<unread>[0-9A-F]+)'
)

_ANY_ADDRESS: typing.Final = '00000000'
_MAPPED_PREFIX: typing.Final = '0000000000000000FFFF0000'


class SocketState(typing.NamedTuple):
    """State of the sockets that receive at an endpoint.

    Attributes:
        is_bound: Whether there is one.
        has_unread: Whether one holds datagrams that its process has not read.
    """

    is_bound: bool
    has_unread: bool


CLOSED: typing.Final = SocketState(is_bound=False, has_unread=False)


def read_state(
    endpoint: tuple[str, int], own: tuple[str, int]
) -> SocketState | None:
    """Return the state of the UDP sockets that receive at an endpoint.

    The lists hold the sockets of one network namespace only. They tell if the
    endpoint is at an address to which this process is bound itself, and its
    socket there is listed: packets to that address stay in the namespace.

    Args:
        endpoint: IPv4 address and port.
        own: Endpoint to which this process has bound a UDP socket.

    Returns:
        None if the lists do not tell.
    """
    if endpoint[0] != own[0]:
        return None
    try:
        address = _listed_address(endpoint[0])
    except OSError:
        return None
    unread_by_port = _unread_by_port(address)
    if own[1] not in unread_by_port:
        return None
    unread = unread_by_port.get(endpoint[1])
    if unread is None:
        return CLOSED
    return SocketState(is_bound=True, has_unread=unread > 0)


def _listed_address(address: str) -> str:
    """Return an IPv4 address in the form of the lists."""
    number = int.from_bytes(socket.inet_aton(address), sys.byteorder)
    return f'{number:08X}'


def _unread_by_port(address: str) -> dict[int, int]:
    """Return the unread bytes of the sockets that receive at an address.

    Args:
        address: Address in the form of the lists.
    """
    receiving = {
        address,
        _MAPPED_PREFIX + address,
        _ANY_ADDRESS,
        _ANY_ADDRESS * 4,
    }
    unread_by_port: dict[int, int] = {}
    for line in _lines():
        match = _LINE.match(line)
        if match is None or match['address'] not in receiving:
            continue
        port = int(match['port'], 16)
        unread = unread_by_port.get(port, 0) + int(match['unread'], 16)
        unread_by_port[port] = unread
    return unread_by_port


def _lines() -> abc.Iterator[str]:
    for table in _TABLES:
        try:
            text = table.read_text(encoding='ascii')
        except OSError:
            # Another system, or one without IPv6.
            continue
        yield from text.splitlines()
