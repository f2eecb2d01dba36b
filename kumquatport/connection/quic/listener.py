"""UDP listener of an agent.

It receives forwarded packets from balancers and other agents and answers
callers directly.
"""

import asyncio
import socket
import typing
from collections import abc

from aioquic.quic import configuration as quic_configuration
from aioquic.quic import packet

from kumquatport import exceptions
from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import const as forward_const
from kumquatport.connection.forward import header, sockets
from kumquatport.connection.quic import (
    connection_table,
    invariants,
    issuing,
    opening,
    refusal,
    reset,
    session,
)

_BATCH = 64
_RECEIVE_BUFFER_BYTES = 4 << 20
_MAX_UNVALIDATED_HALF_OPEN = 64
_RETRY_AFTER_S = 1


class AgentEndpoint(typing.NamedTuple):
    """Endpoint of an agent, with its service and failure domain.

    Attributes:
        address: IPv4 address at which other instances reach the agent.
        port: UDP port for forwarded packets.
        service_tag: Tag of the agent's service.
        domain_tag: Tag of the agent's failure domain.
        listen_address: IPv4 address to bind; empty for ``address``.
    """

    address: str
    port: int
    service_tag: int
    domain_tag: int
    listen_address: str = ''


class Hooks(typing.NamedTuple):
    """Functions of the agent that its listener calls.

    Attributes:
        may_open: Returns whether a new flow may open here now.
        pass_on: Forwards an opening packet to another agent; returns False if
            there is none.
        handle: Handles one request to its end.
        count_event: Counts an event by name.
        callbacks: Callbacks for connection events.
    """

    may_open: abc.Callable[[], bool]
    pass_on: abc.Callable[[header.Forward], bool]
    handle: session.Handle
    count_event: abc.Callable[[str], None]
    callbacks: connection_table.ConnectionCallbacks


class Listener:
    """Receives forwarded packets and manages the agent's connections."""

    def __init__(
        self,
        endpoint: AgentEndpoint,
        shared_key: bytes,
        configuration: quic_configuration.QuicConfiguration,
        hooks: Hooks,
    ) -> None:
        """Create the socket without binding it.

        Args:
            endpoint: Endpoint of the agent.
            shared_key: The key that all instances share, 32 bytes.
            configuration: QUIC configuration with TLS certificate and limits.
                A replaced certificate is used for new connections.
            hooks: Functions of the agent.
        """
        self.configuration = configuration
        self._endpoint = endpoint
        self._hooks = hooks
        self._read = header.make_reader(shared_key)
        self._decode = codec.make_decoder(shared_key)
        agent_endpoint = (endpoint.address, endpoint.port)
        self._packed_endpoint = (
            socket.inet_aton(endpoint.address),
            endpoint.port,
        )
        self._id_issuer = issuing.ConnectionIdIssuer(
            codec.make_issuer(
                shared_key,
                agent_endpoint,
                endpoint.service_tag,
                endpoint.domain_tag,
            ),
            codec.make_reset_token(shared_key),
        )
        self._validation = opening.AddressValidation(self._id_issuer.issue)
        self._connections = connection_table.ConnectionTable(
            hooks.handle, hooks.callbacks
        )
        self._socket = sockets.make_udp()

    @property
    def sessions(self) -> tuple[session.Session, ...]:
        """Open and half-open connections."""
        return self._connections.sessions

    def async_setup(self) -> abc.Callable[[], None]:
        """Bind the socket and start receiving.

        Returns:
            A callable that stops receiving and closes the socket.

        Raises:
            StartError: The address or port cannot be bound.
        """
        sockets.bind(
            self._socket,
            (
                self._endpoint.listen_address or self._endpoint.address,
                self._endpoint.port,
            ),
            receive_bytes=_RECEIVE_BUFFER_BYTES,
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._receive)
        return self._async_stop

    def sendto(self, answer: bytes, caller: header.Endpoint) -> None:
        """Send a packet to a caller; it is dropped if the send buffer is full.

        QUIC retransmits dropped packets, so a drop only adds latency.
        """
        try:
            self._socket.sendto(answer, caller)
        except OSError:
            self._hooks.count_event('answer_dropped')

    def go_away(self) -> None:
        """Send GOAWAY on all connections."""
        self._connections.go_away()

    def _async_stop(self) -> None:
        for connection in self.sessions:
            connection.close()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _receive(self) -> None:
        for _ in range(_BATCH):
            try:
                datagram = self._socket.recv(forward_const.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A caller's port is closed. QUIC's timers end the connection.
                continue
            self._process(datagram)

    def _process(self, datagram: bytes) -> None:
        try:
            forward = self._read(datagram)
        except exceptions.FrameError as err:
            self._hooks.count_event(f'forward_refused.{err}')
            return
        if forward.service_tag != self._endpoint.service_tag:
            self._hooks.count_event('forward_refused.service')
            return
        self._hooks.count_event('forwards')
        target = invariants.destination(forward.payload)
        connection = self._connections.find(target.connection_id)
        if connection is not None:
            connection.datagram_received(forward.payload, forward.caller)
            return
        holder = self._decode_holder(target.connection_id)
        if holder is None and target.is_long:
            self._process_opening(forward)
            return
        self._process_unknown(forward, target, holder)

    def _decode_holder(self, connection_id: bytes) -> codec.Holder | None:
        try:
            holder = self._decode(connection_id)
        except exceptions.ConnectionIdError:
            return None
        if holder.service_tag != self._endpoint.service_tag:
            return None
        return holder

    def _process_unknown(
        self,
        forward: header.Forward,
        target: invariants.Destination,
        holder: codec.Holder | None,
    ) -> None:
        if holder is None:
            self._hooks.count_event('unknown_connection')
            return
        if (holder.packed_address, holder.port) != self._packed_endpoint:
            # Another agent may hold the connection, and only that agent can
            # declare it lost.
            self._hooks.count_event('misdelivered')
            return
        if target.is_long and self._process_validated(forward):
            return
        answer = reset.stateless_reset(
            self._id_issuer.reset_token,
            target.connection_id,
            len(forward.payload),
        )
        if answer is not None:
            self._hooks.count_event('flow_lost')
            self.sendto(answer, forward.caller)

    def _process_validated(self, forward: header.Forward) -> bool:
        head = self._parse(forward)
        if head is None:
            return False
        admitted = self._validation.validate(head, forward.caller)
        if admitted is None:
            return False
        self._accept(forward, head, admitted)
        return True

    def _process_opening(self, forward: header.Forward) -> None:
        head = self._parse(forward)
        if head is None:
            return
        if not self._hooks.may_open():
            self._redirect_or_refuse(forward, head)
            return
        if self._connections.half_open >= _MAX_UNVALIDATED_HALF_OPEN:
            self._hooks.count_event('address_validation')
            self.sendto(
                self._validation.build_retry(head, forward.caller),
                forward.caller,
            )
            return
        admitted = opening.AdmittedOpening(head.destination_cid, None)
        self._accept(forward, head, admitted)

    def _parse(self, forward: header.Forward) -> packet.QuicHeader | None:
        versions = self.configuration.supported_versions
        head = opening.parse(forward.payload, versions, self._hooks.count_event)
        if head is None or head.version in versions:
            return head
        self._hooks.count_event('version_negotiated')
        answer = opening.version_negotiation(head, versions)
        self.sendto(answer, forward.caller)
        return None

    def _redirect_or_refuse(
        self,
        forward: header.Forward,
        head: packet.QuicHeader,
    ) -> None:
        if self._hooks.pass_on(forward):
            self._hooks.count_event('opening_passed_on')
            return
        self._hooks.count_event('opening_refused.full')
        reason = f'full, retry after {_RETRY_AFTER_S} s'
        self.sendto(refusal.connection_refused(head, reason), forward.caller)

    def _accept(
        self,
        forward: header.Forward,
        head: packet.QuicHeader,
        admitted: opening.AdmittedOpening,
    ) -> None:
        quic = issuing.IssuingConnection(
            self._id_issuer,
            configuration=self.configuration,
            original_destination_connection_id=admitted.original_id,
            retry_source_connection_id=admitted.retry_source_id,
        )
        transport = typing.cast(asyncio.DatagramTransport, self)
        connection = self._connections.add(
            quic, transport, head.destination_cid
        )
        # The hop from the balancer counts as the first.
        self._hooks.count_event(f'hops.{forward.hops}')
        connection.datagram_received(forward.payload, forward.caller)
