"""A balancer's socket towards agents, and what the kernel says of it.

The kernel reports a port with no process behind it (ICMP port unreachable) on
the socket's error queue, with the packet that was refused. That is proof that
the process is gone; silence is not.
"""

import asyncio
import socket
import struct
import typing
from collections import abc

from kumquatport.connection.forward import const, header, sockets

_IP_RECVERR = 11
_ERROR_LAYOUT = struct.Struct('=IBBBBII')
_ANCILLARY_BYTES = 512
_BATCH = 64
_SEND_BUFFER_BYTES = 4 << 20
_ECONNREFUSED = 111


class RefusedForward(typing.NamedTuple):
    """A forward that no process took.

    Attributes:
        endpoint: Where it was sent.
        datagram: The whole forward, header included.
    """

    endpoint: header.Endpoint
    datagram: bytes


OnRefused = abc.Callable[[RefusedForward], None]


class ForwardSender:
    """Sends forwards and hands back those that were refused."""

    def __init__(
        self,
        on_refused: OnRefused,
        count_event: abc.Callable[[str], None],
    ) -> None:
        """Prepare; nothing is bound yet.

        Args:
            on_refused: Called with each forward that no process took.
            count_event: Counts an event by name.
        """
        self._on_refused = on_refused
        self._count_event = count_event
        self._socket = sockets.make_udp()

    def async_setup(self, address: str) -> abc.Callable[[], None]:
        """Bind the socket to the instance's own address.

        Returns:
            A callable that closes the socket.

        Raises:
            StartError: The address cannot be had.
        """
        self._socket.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        sockets.bind(
            self._socket,
            (address, 0),
            send_bytes=_SEND_BUFFER_BYTES,
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read_errors)
        return self._async_stop

    def send(
        self,
        datagram: bytes | bytearray | memoryview,
        endpoint: header.Endpoint,
    ) -> None:
        """Send a forward; a full send buffer drops it."""
        try:
            self._socket.sendto(datagram, endpoint)
        except BlockingIOError:
            self._count_event('dropped.send_buffer')
        except OSError:
            # An earlier forward's error is told at this call; this one was
            # not sent yet.
            self._resend(datagram, endpoint)

    def _resend(
        self,
        datagram: bytes | bytearray | memoryview,
        endpoint: header.Endpoint,
    ) -> None:
        try:
            self._socket.sendto(datagram, endpoint)
        except OSError:
            self._count_event('dropped.send_error')

    def _async_stop(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _read_errors(self) -> None:
        for _ in range(_BATCH):
            try:
                refused = self._read_error()
            except BlockingIOError:
                break
            if refused is not None:
                self._count_event('agent_refused')
                self._on_refused(refused)
        self._drain_stray()

    def _read_error(self) -> RefusedForward | None:
        datagram, ancillary, _, endpoint = self._socket.recvmsg(
            const.MAX_DATAGRAM_BYTES,
            _ANCILLARY_BYTES,
            socket.MSG_ERRQUEUE,
        )
        for level, kind, report in ancillary:
            if (level, kind) != (socket.IPPROTO_IP, _IP_RECVERR):
                continue
            number = _ERROR_LAYOUT.unpack_from(report)[0]
            if number == _ECONNREFUSED:
                return RefusedForward(endpoint, datagram)
        return None

    def _drain_stray(self) -> None:
        # Nothing is ever meant for this socket; what comes is dropped, so
        # that it does not wake the loop again and again.
        try:
            self._socket.recv(const.MAX_DATAGRAM_BYTES)
        except OSError:
            return
        self._count_event('dropped.stray')
