"""Socket that forwards packets to agents and reports refused ones.

If no process is bound to the destination port (ICMP port unreachable), the
kernel adds the refused packet to the socket's error queue. This proves that
the process is gone, whereas a missing answer does not.
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
    """A forwarded packet that no process received.

    Attributes:
        endpoint: Destination of the packet.
        datagram: The whole datagram, header included.
    """

    endpoint: header.Endpoint
    datagram: bytes


OnRefused = abc.Callable[[RefusedForward], None]


class ForwardSender:
    """Sends forwarded packets and reports those that were refused."""

    def __init__(
        self,
        on_refused: OnRefused,
        count_event: abc.Callable[[str], None],
    ) -> None:
        """Create the socket without binding it.

        Args:
            on_refused: Called with each packet that no process received.
            count_event: Counts an event by name.
        """
        self._on_refused = on_refused
        self._count_event = count_event
        self._socket = sockets.make_udp()

    def async_setup(self, address: str) -> abc.Callable[[], None]:
        """Bind the socket and start reading errors.

        Args:
            address: IPv4 address of this instance.

        Returns:
            A callable that closes the socket.

        Raises:
            StartError: The address cannot be bound.
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
        """Send a packet; it is dropped if the send buffer is full."""
        try:
            self._socket.sendto(datagram, endpoint)
        except BlockingIOError:
            self._count_event('dropped.send_buffer')
        except OSError:
            # The call reports the error of an earlier packet and has not sent
            # this one.
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
        self._discard_received()

    def _read_error(self) -> RefusedForward | None:
        datagram, ancillary, _, endpoint = self._socket.recvmsg(
            const.MAX_DATAGRAM_BYTES,
            _ANCILLARY_BYTES,
            socket.MSG_ERRQUEUE,
        )
        for level, kind, error in ancillary:
            if (level, kind) != (socket.IPPROTO_IP, _IP_RECVERR):
                continue
            number = _ERROR_LAYOUT.unpack_from(error)[0]
            if number == _ECONNREFUSED:
                return RefusedForward(endpoint, datagram)
        return None

    def _discard_received(self) -> None:
        # Nothing is expected on this socket. Received datagrams are discarded
        # so that they do not keep waking the event loop.
        try:
            self._socket.recv(const.MAX_DATAGRAM_BYTES)
        except OSError:
            return
        self._count_event('dropped.stray')
