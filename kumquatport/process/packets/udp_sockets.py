"""Bound UDP sockets, as the kernel lists them."""

import pathlib
import socket
import sys
import typing
from collections import abc

# Lists of the UDP sockets in the network namespace of this process (Linux).
_TABLES: typing.Final = (
    pathlib.Path('/proc/net/udp'),
    pathlib.Path('/proc/net/udp6'),
)

_ANY_ADDRESS: typing.Final = '00000000'
_MAPPED_PREFIX: typing.Final = '0000000000000000FFFF0000'


def is_bound(endpoint: tuple[str, int], own: tuple[str, int]) -> bool | None:
    """Return whether a UDP socket on this host receives at an endpoint.

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
    bound = _bound_ports(address)
    if own[1] not in bound:
        return None
    return endpoint[1] in bound


def _listed_address(address: str) -> str:
    """Return an IPv4 address in the form of the lists."""
    number = int.from_bytes(socket.inet_aton(address), sys.byteorder)
    return f'{number:08X}'


def _bound_ports(address: str) -> set[int]:
    """Return the ports of the sockets that receive at an address.

    Args:
        address: Address in the form of the lists.
    """
    receiving = {
        address,
        _MAPPED_PREFIX + address,
        _ANY_ADDRESS,
        _ANY_ADDRESS * 4,
    }
    ports = set()
    for line in _lines():
        fields = line.split()
        if len(fields) < 2 or ':' not in fields[1]:
            continue
        listed, _, port = fields[1].partition(':')
        if listed in receiving:
            ports.add(int(port, 16))
    return ports


def _lines() -> abc.Iterator[str]:
    for table in _TABLES:
        try:
            text = table.read_text(encoding='ascii')
        except OSError:
            # Another system, or one without IPv6.
            continue
        yield from text.splitlines()[1:]
