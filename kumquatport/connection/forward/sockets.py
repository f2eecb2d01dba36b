"""UDP sockets of the packet path."""

from __future__ import annotations

import socket
import typing

from kumquatport import exceptions

if typing.TYPE_CHECKING:
    # Brings in more than programs need that bind before they load.
    from kumquatport.connection.forward import header


def make_udp() -> socket.socket:
    """Return a UDP socket that never blocks, not bound yet."""
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.setblocking(False)
    return made


def make_bound_udp(
    endpoint: header.Endpoint, receive_bytes: int
) -> socket.socket:
    """Return a UDP socket that never blocks, bound to an endpoint.

    Args:
        endpoint: IPv4 address and UDP port.
        receive_bytes: Size of the kernel's receive buffer.

    Raises:
        StartError: The address or port cannot be had.
    """
    made = make_udp()
    bind(made, endpoint, receive_bytes=receive_bytes)
    return made


def bind(
    unbound: socket.socket,
    endpoint: header.Endpoint,
    *,
    receive_bytes: int = 0,
    send_bytes: int = 0,
) -> None:
    """Bind a socket; a size of 0 leaves that buffer as it is.

    Args:
        unbound: The socket; it is closed if it cannot be bound.
        endpoint: IPv4 number and UDP port, 0 for any.
        receive_bytes: Size of the kernel's receive buffer.
        send_bytes: Size of the kernel's send buffer.

    Raises:
        StartError: The address or port cannot be had.
    """
    if receive_bytes:
        unbound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if send_bytes:
        unbound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes)
    try:
        unbound.bind(endpoint)
    except OSError as err:
        unbound.close()
        where = f'{endpoint[0]}:{endpoint[1]}'
        raise exceptions.StartError(f'cannot bind {where}') from err
