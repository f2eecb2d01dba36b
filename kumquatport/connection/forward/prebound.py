"""UDP sockets that are bound before the rest of a program is loaded.

What arrives while a process loads its modules waits in the kernel and is not
lost. Loads little itself.
"""

import socket

from kumquatport.connection.forward import sockets

_bound: dict[tuple[str, int], socket.socket] = {}


def bind(endpoint: tuple[str, int], receive_bytes: int) -> None:
    """Bind a socket and keep it until it is taken.

    Args:
        endpoint: IPv4 address and port.
        receive_bytes: Size of the kernel's receive buffer.

    Raises:
        StartError: The address or port cannot be had.
    """
    _bound[endpoint] = sockets.make_bound_udp(endpoint, receive_bytes)


def take(endpoint: tuple[str, int]) -> socket.socket | None:
    """Return the socket of an endpoint, None if none was bound before."""
    return _bound.pop(endpoint, None)
