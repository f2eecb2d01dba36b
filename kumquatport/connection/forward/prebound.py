"""UDP sockets that are bound before the rest of a program is imported.

Datagrams that arrive while a process imports its modules queue in the kernel
instead of being lost. This module itself imports as little as possible.
"""

import socket

from kumquatport.connection.forward import sockets

_bound: dict[tuple[str, int], socket.socket] = {}


def bind(endpoint: tuple[str, int], receive_bytes: int) -> None:
    """Bind a socket and keep it for ``take``.

    Args:
        endpoint: IPv4 address and port.
        receive_bytes: Size of the kernel's receive buffer.

    Raises:
        StartError: The address or port cannot be bound.
    """
    _bound[endpoint] = sockets.make_bound_udp(endpoint, receive_bytes)


def take(endpoint: tuple[str, int]) -> socket.socket | None:
    """Remove and return the socket of an endpoint, None if it was not bound."""
    return _bound.pop(endpoint, None)
