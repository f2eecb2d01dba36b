"""Receives callers' packets on an entry socket and forwards them to agents."""

import asyncio
import typing
from collections import abc

from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import (
    const,
    forward_sender,
    header,
    route,
    sockets,
)
from kumquatport.connection.quic import invariants, reset

_BATCH = 64
_RECEIVE_BUFFER_BYTES = 8 << 20
_FIRST_HOP = 1
_MAX_PACKET_BYTES = const.MAX_DATAGRAM_BYTES - const.PREFIX_BYTES


class RelayContext(typing.NamedTuple):
    """Dependencies that the relays of one balancer share.

    Attributes:
        write: Writes the header of a forwarded packet.
        reset_token: Derives stateless reset tokens.
        sender: Sends packets to agents.
        count_event: Counts an event by name.
        is_fresh: Returns whether the document in force is confirmed; a
            balancer that was paused must not forward by an outdated one.
    """

    write: header.HeaderWriter
    reset_token: codec.ResetToken
    sender: forward_sender.ForwardSender
    count_event: abc.Callable[[str], None]
    is_fresh: abc.Callable[[], bool]


class Relay:
    """Forwards the packets of one service from its entry socket."""

    def __init__(
        self, service_tag: int, decide: route.Route, context: RelayContext
    ):
        """Create the socket without binding it.

        Args:
            service_tag: Tag of the service.
            decide: Decides where a packet goes.
            context: Dependencies that the relays of one balancer share.
        """
        self._service_tag = service_tag
        self._decide = decide
        self._context = context
        self._buffer = bytearray(const.MAX_DATAGRAM_BYTES)
        self._view = memoryview(self._buffer)
        self._packet = self._view[const.PREFIX_BYTES :]
        self._socket = sockets.make_udp()

    def async_setup(self, address: str, port: int) -> abc.Callable[[], None]:
        """Bind the entry socket and start forwarding.

        Returns:
            A callable that stops forwarding and closes the socket.

        Raises:
            StartError: The address or port cannot be bound.
        """
        sockets.bind(
            self._socket,
            (address, port),
            receive_bytes=_RECEIVE_BUFFER_BYTES,
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._receive)
        return self._async_stop

    def send_reset(
        self,
        packet: bytes | memoryview,
        caller: header.Endpoint,
    ) -> None:
        """Answer a packet of a lost flow with a stateless reset."""
        target = invariants.destination(packet)
        answer = reset.stateless_reset(
            self._context.reset_token,
            target.connection_id,
            len(packet),
        )
        if answer is None:
            return
        self._context.count_event('flow_lost')
        try:
            self._socket.sendto(answer, caller)
        except OSError:
            self._context.count_event('dropped.answer')

    def _async_stop(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _receive(self) -> None:
        is_fresh = self._context.is_fresh()
        for _ in range(_BATCH):
            try:
                size, caller = self._socket.recvfrom_into(self._packet)
            except BlockingIOError:
                return
            except OSError:
                continue
            if is_fresh:
                self._forward(size, caller)
            else:
                # Callers retransmit dropped packets, and the document is
                # confirmed by then.
                self._context.count_event('dropped.not_fresh')

    def _forward(self, size: int, caller: header.Endpoint) -> None:
        if size == _MAX_PACKET_BYTES:
            # The packet filled the buffer and may be truncated.
            self._context.count_event('dropped.oversized')
            return
        packet = self._packet[:size]
        decision = self._decide(packet, caller)
        self._context.count_event(decision.reason)
        if decision.endpoint is not None:
            self._context.write(
                self._buffer,
                _FIRST_HOP,
                self._service_tag,
                caller,
            )
            end = const.PREFIX_BYTES + size
            self._context.sender.send(self._view[:end], decision.endpoint)
        elif decision.is_lost:
            self.send_reset(packet, caller)
