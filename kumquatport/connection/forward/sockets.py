"""Non-blocking UDP sockets of the data path."""

from __future__ import annotations

import socket
import typing

from kumquatport import exceptions

if typing.TYPE_CHECKING:
    # Not imported at run time: programs bind sockets before they import the
    # rest.
    from kumquatport.connection.forward import header


def make_udp() -> socket.socket:
    """Return an unbound non-blocking UDP socket."""
    created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    created.setblocking(False)
    return created


def make_bound_udp(
    endpoint: header.Endpoint, receive_bytes: int
) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to an endpoint.

    Args:
        endpoint: IPv4 address and UDP port.
        receive_bytes: Size of the kernel's receive buffer in bytes.

    Raises:
        StartError: The address or port cannot be bound.
    """
    created = make_udp()
    bind(created, endpoint, receive_bytes=receive_bytes)
    return created


def bind(
    unbound: socket.socket,
    endpoint: header.Endpoint,
    *,
    receive_bytes: int = 0,
    send_bytes: int = 0,
) -> None:
    """Bind a socket; a buffer size of 0 keeps the default.

    Args:
        unbound: The socket; closed if it cannot be bound.
        endpoint: IPv4 address and UDP port, 0 for any.
        receive_bytes: Size of the kernel's receive buffer in bytes.
        send_bytes: Size of the kernel's send buffer in bytes.

    Raises:
        StartError: The address or port cannot be bound.
    """
    if receive_bytes:
        unbound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if send_bytes:
        unbound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes)
    try:
        unbound.bind(endpoint)
    except OSError as err:
        unbound.close()
        address = f'{endpoint[0]}:{endpoint[1]}'
        raise exceptions.StartError(f'cannot bind {address}') from err
