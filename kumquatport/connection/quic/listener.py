"""An agent's UDP socket: forwards in, answers straight to callers."""

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
_HALF_OPEN_BEFORE_RETRY = 64
_RETRY_AFTER_S = 1


class AgentEndpoint(typing.NamedTuple):
    """Where an agent is and for whom it works.

    Attributes:
        address: IPv4 number by which others reach the instance.
        port: UDP port that takes forwards.
        service_tag: Tag of the agent's service.
        domain_tag: Tag of the agent's failure domain.
        listen_address: IPv4 number to bind; empty for ``address``.
    """

    address: str
    port: int
    service_tag: int
    domain_tag: int
    listen_address: str = ''


class Hooks(typing.NamedTuple):
    """What a listener asks of the rest of the agent.

    Attributes:
        may_open: Whether a new flow may open here now.
        pass_on: Sends an opening packet on to another agent; tells whether
            there was one.
        handle: Runs one whole request.
        count_event: Counts an event by name.
        callbacks: Who is told about connections.
    """

    may_open: abc.Callable[[], bool]
    pass_on: abc.Callable[[header.Forward], bool]
    handle: session.Handle
    count_event: abc.Callable[[str], None]
    callbacks: connection_table.ConnectionCallbacks


class Listener:
    """Receives an agent's forwards and holds its connections."""

    def __init__(
        self,
        place: AgentEndpoint,
        shared_key: bytes,
        configuration: quic_configuration.QuicConfiguration,
        hooks: Hooks,
    ) -> None:
        """Prepare; nothing is bound yet.

        Args:
            place: Where the agent is.
            shared_key: The key that all instances share, 32 bytes.
            configuration: TLS material and limits of QUIC. Replace its
                certificate to use another one for new connections.
            hooks: What the listener asks of the rest of the agent.
        """
        self.configuration = configuration
        self._endpoint = place
        self._hooks = hooks
        self._read = header.make_reader(shared_key)
        self._decode = codec.make_decoder(shared_key)
        endpoint = (place.address, place.port)
        self._packed_endpoint = (socket.inet_aton(place.address), place.port)
        self._id_issuer = issuing.ConnectionIdIssuer(
            codec.make_issuer(
                shared_key,
                endpoint,
                place.service_tag,
                place.domain_tag,
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
        """Connections that are held now, half-open ones included."""
        return self._connections.sessions

    def async_setup(self) -> abc.Callable[[], None]:
        """Bind the socket and start to receive.

        Returns:
            A callable that stops receiving and closes the socket.

        Raises:
            StartError: The address or port cannot be had.
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
        """Send a packet to a caller; a full send buffer drops it.

        QUIC sends lost packets again, so a drop costs time and nothing else.
        """
        try:
            self._socket.sendto(answer, caller)
        except OSError:
            self._hooks.count_event('answer_dropped')

    def go_away(self) -> None:
        """Tell every caller that this agent is leaving."""
        self._connections.go_away()

    def _async_stop(self) -> None:
        for one in self.sessions:
            one.close()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _receive(self) -> None:
        for _ in range(_BATCH):
            try:
                datagram = self._socket.recv(forward_const.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A caller's port is gone; QUIC's own timers deal with it.
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
        one = self._connections.find(target.connection_id)
        if one is not None:
            one.datagram_received(forward.payload, forward.caller)
            return
        holder = self._holder(target.connection_id)
        if holder is None and target.is_long:
            self._process_opening(forward)
            return
        self._process_unknown(forward, target, holder)

    def _holder(self, connection_id: bytes) -> codec.Holder | None:
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
            # Another agent may hold it, and only that one can call it lost.
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
        if self._connections.half_open >= _HALF_OPEN_BEFORE_RETRY:
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
        one = self._connections.add(quic, transport, head.destination_cid)
        # The balancer's own hop is the first that any flow takes.
        self._hooks.count_event(f'hops.{forward.hops}')
        one.datagram_received(forward.payload, forward.caller)
