"""Taking callers' packets from an entry socket and forwarding them."""

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
_FULL_BYTES = const.MAX_DATAGRAM_BYTES - const.PREFIX_BYTES


class RelayContext(typing.NamedTuple):
    """What the relays of one balancer share.

    Attributes:
        write: Writes the header of a forward.
        reset_token: Derives stateless reset tokens.
        sender: Socket towards the agents.
        count_event: Counts an event by name.
        is_fresh: Whether the document in force is confirmed; a balancer that
            was paused must not forward on an old one.
    """

    write: header.HeaderWriter
    reset_token: codec.ResetToken
    sender: forward_sender.ForwardSender
    count_event: abc.Callable[[str], None]
    is_fresh: abc.Callable[[], bool]


class Relay:
    """The entry socket of one service."""

    def __init__(
        self, service_tag: int, chosen: route.Route, tools: RelayContext
    ):
        """Prepare; nothing is bound yet.

        Args:
            service_tag: Tag of the service.
            chosen: Decides where a packet goes.
            tools: What the relays of one balancer share.
        """
        self._service_tag = service_tag
        self._route = chosen
        self._tools = tools
        self._buffer = bytearray(const.MAX_DATAGRAM_BYTES)
        self._view = memoryview(self._buffer)
        self._packet = self._view[const.PREFIX_BYTES :]
        self._socket = sockets.make_udp()

    def async_setup(self, address: str, port: int) -> abc.Callable[[], None]:
        """Bind the entry socket and start to forward.

        Returns:
            A callable that stops forwarding and closes the socket.

        Raises:
            StartError: The address or port cannot be had.
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
        """Answer a packet of a flow that is lost with a stateless reset."""
        target = invariants.destination(packet)
        answer = reset.stateless_reset(
            self._tools.reset_token,
            target.connection_id,
            len(packet),
        )
        if answer is None:
            return
        self._tools.count_event('flow_lost')
        try:
            self._socket.sendto(answer, caller)
        except OSError:
            self._tools.count_event('dropped.answer')

    def _async_stop(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _receive(self) -> None:
        is_fresh = self._tools.is_fresh()
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
                # Callers send lost packets again, by then it is confirmed.
                self._tools.count_event('dropped.not_fresh')

    def _forward(self, size: int, caller: header.Endpoint) -> None:
        if size == _FULL_BYTES:
            # It filled the buffer, so its end may be missing.
            self._tools.count_event('dropped.oversized')
            return
        packet = self._packet[:size]
        decision = self._route(packet, caller)
        self._tools.count_event(decision.reason)
        if decision.endpoint is not None:
            self._tools.write(
                self._buffer,
                _FIRST_HOP,
                self._service_tag,
                caller,
            )
            end = const.PREFIX_BYTES + size
            self._tools.sender.send(self._view[:end], decision.endpoint)
        elif decision.is_lost:
            self.send_reset(packet, caller)
