"""Entry sockets of a balancer, one for each service of the document."""

import typing
from collections import abc

import structlog

from kumquatport import exceptions
from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import (
    const,
    forward_sender,
    header,
    placement,
    refused_endpoints,
    relay,
    route,
)
from kumquatport.connection.quic import invariants
from kumquatport.helpers import tags
from kumquatport.version import document as documents
from kumquatport.version import table

_LOGGER = structlog.get_logger(__name__)


class EntrySocket(typing.NamedTuple):
    """Entry socket of one service.

    Attributes:
        port: UDP port that receives packets for the service from the fabric.
        relay: Forwards the packets to agents.
        candidates: Ranks the agents of the service for a flow hash.
        stop: Closes the entry socket.
    """

    port: int
    relay: relay.Relay
    candidates: route.Candidates
    stop: abc.Callable[[], None]


class EntrySockets:
    """Opens and closes entry sockets to match the document in force."""

    def __init__(
        self,
        address: str,
        shared_key: bytes,
        tables: table.TableCache,
        count_event: abc.Callable[[str], None],
        is_fresh: abc.Callable[[], bool],
    ) -> None:
        """Start without entry sockets.

        Args:
            address: IPv4 address that the sockets bind to.
            shared_key: Key shared by all instances, 32 bytes.
            tables: Lookup tables of the agents of each service.
            count_event: Increments the counter of the given name.
            is_fresh: Returns whether the document in force is confirmed.
        """
        self._address = address
        self._tables = tables
        self._count_event = count_event
        self._refused_endpoints = refused_endpoints.RefusedEndpoints()
        self._sender = forward_sender.ForwardSender(
            self._on_refused, count_event
        )
        self._decode_connection_id = codec.make_decoder(shared_key)
        self._read_forward = header.make_reader(shared_key)
        self._write_forward = header.make_writer(shared_key)
        self._relay_context = relay.RelayContext(
            write=self._write_forward,
            reset_token=codec.make_reset_token(shared_key),
            sender=self._sender,
            count_event=count_event,
            is_fresh=is_fresh,
        )
        self._known_domains = route.KnownDomains(frozenset(), frozenset())
        self._sockets_by_tag: dict[int, EntrySocket] = {}
        self._failed_ports: set[int] = set()

    @property
    def refused_endpoints(self) -> refused_endpoints.RefusedEndpoints:
        """Endpoints of agents that refused a forward a moment ago."""
        return self._refused_endpoints

    def async_setup(self) -> abc.Callable[[], None]:
        """Bind the socket for forwards to agents.

        Returns:
            A callable that closes this socket and all entry sockets.
        """
        stop_sender = self._sender.async_setup(self._address)

        def stop() -> None:
            for entry in self._sockets_by_tag.values():
                entry.stop()
            self._sockets_by_tag.clear()
            stop_sender()

        return stop

    def apply(self, document: documents.Document) -> bool:
        """Open and close entry sockets to match a document.

        Args:
            document: The document in force.

        Returns:
            Whether every service has its entry socket; if not, call again.
            An error is logged once for a port until the port is bound.
        """
        self._known_domains = route.make_known_domains(
            (domain['name'], domain['out'])
            for domain in document['failure_domains']
        )
        wanted = {
            tags.service_tag(service['name']): service
            for service in document['services']
        }
        for tag, entry in tuple(self._sockets_by_tag.items()):
            if tag not in wanted or wanted[tag]['entry_port'] != entry.port:
                entry.stop()
                self._sockets_by_tag.pop(tag)
        opened = [
            self._open(tag, service)
            for tag, service in wanted.items()
            if tag not in self._sockets_by_tag
        ]
        return all(opened)

    def _open(self, tag: int, service: documents.Service) -> bool:
        candidates = placement.make_candidates(
            service['name'],
            self._tables,
            self._refused_endpoints,
        )
        service_route = route.make_route(
            tag,
            self._decode_connection_id,
            lambda: self._known_domains,
            candidates,
        )
        service_relay = relay.Relay(tag, service_route, self._relay_context)
        port = service['entry_port']
        try:
            stop = service_relay.async_setup(self._address, port)
        except exceptions.StartError as err:
            if port not in self._failed_ports:
                _LOGGER.error(
                    'entry socket not opened', port=port, error=str(err)
                )
            self._failed_ports.add(port)
            return False
        self._failed_ports.discard(port)
        self._sockets_by_tag[tag] = EntrySocket(
            port, service_relay, candidates, stop
        )
        _LOGGER.info('entry socket opened', service=service['name'], port=port)
        return True

    def _on_refused(self, refused: forward_sender.RefusedForward) -> None:
        """Reset an established flow, or forward an opening packet again."""
        self._refused_endpoints.add(refused.endpoint)
        try:
            forward = self._read_forward(refused.datagram)
        except exceptions.FrameError:
            return
        entry = self._sockets_by_tag.get(forward.service_tag)
        if entry is None:
            return
        if self._is_established(forward):
            # The agent process is gone, and the state of its flows with it.
            entry.relay.send_reset(forward.payload, forward.caller)
            return
        self._forward_to_next_agent(entry, forward)

    def _is_established(self, forward: header.Forward) -> bool:
        destination = invariants.destination(forward.payload)
        try:
            decoded = self._decode_connection_id(destination.connection_id)
        except exceptions.ConnectionIdError:
            return False
        return decoded.service_tag == forward.service_tag

    def _forward_to_next_agent(
        self, entry: EntrySocket, forward: header.Forward
    ) -> None:
        flow_hash = route.flow_hash(forward.caller, forward.service_tag)
        endpoints = entry.candidates(flow_hash, 1)
        if not endpoints or forward.hops >= const.MAX_HOPS:
            self._count_event('dropped.no_agent')
            return
        self._count_event('opening_placed_again')
        datagram = header.build_next_hop(self._write_forward, forward)
        self._sender.send(datagram, endpoints[0])
