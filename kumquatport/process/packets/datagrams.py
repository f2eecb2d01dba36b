"""UDP sockets that the event loop reads in batches."""

import asyncio
import socket
from collections import abc

import structlog

from kumquatport.connection.forward import prebound, sockets
from kumquatport.process.packets import const

_LOGGER = structlog.get_logger(__name__)

Handler = abc.Callable[[bytes, tuple[str, int]], None]


def listen(
    endpoint: tuple[str, int], handle: Handler
) -> tuple[socket.socket, abc.Callable[[], None]]:
    """Bind a socket and pass its datagrams to a handler.

    An exception of the handler is logged; the following datagrams are still
    read.

    Args:
        endpoint: IPv4 address and port.
        handle: Called with each datagram and its sender.

    Returns:
        The socket, and a function that stops listening and closes it.

    Raises:
        StartError: The address or port cannot be bound.
    """
    bound = prebound.take(endpoint) or sockets.make_bound_udp(
        endpoint, const.RECEIVE_BUFFER_BYTES
    )
    loop = asyncio.get_running_loop()

    def read() -> None:
        for _ in range(const.RECEIVE_BATCH):
            try:
                datagram, sender = bound.recvfrom(const.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The kernel reports here that an earlier send was refused.
                _LOGGER.debug('datagram refused', error=error)
                continue
            _call_handler(handle, datagram, sender)

    def close() -> None:
        loop.remove_reader(bound)
        bound.close()

    loop.add_reader(bound, read)
    return bound, close


def send(
    bound: socket.socket, datagram: bytes, endpoint: tuple[str, int]
) -> bool:
    """Send a datagram; it is dropped if the kernel rejects it.

    Returns:
        Whether the kernel accepted it.
    """
    try:
        bound.sendto(datagram, endpoint)
    except (OSError, OverflowError, TypeError) as error:
        # An address or port that cannot exist raises the latter two.
        _LOGGER.debug('datagram not sent', error=error, to=endpoint)
        return False
    return True


def _call_handler(
    handle: Handler, datagram: bytes, sender: tuple[str, int]
) -> None:
    try:
        handle(datagram, sender)
    except Exception:
        _LOGGER.exception('datagram not handled', sender=sender[0])
