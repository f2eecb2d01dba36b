"""The entry sockets of a balancer, one for each service in force."""

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
    """One service's way in.

    Attributes:
        port: UDP port that takes the service's packets from the fabric.
        relay: Forwards them.
        candidates: Ranks the service's agents for a flow.
        stop: Closes the entry socket.
    """

    port: int
    relay: relay.Relay
    candidates: route.Candidates
    stop: abc.Callable[[], None]


class EntrySockets:
    """Opens, keeps and closes entry sockets as the document says."""

    def __init__(
        self,
        address: str,
        shared_key: bytes,
        tables: table.TableCache,
        count_event: abc.Callable[[str], None],
        is_fresh: abc.Callable[[], bool],
    ) -> None:
        """Start without any service.

        Args:
            address: IPv4 number of the instance.
            shared_key: The key that all instances share, 32 bytes.
            tables: Tables of the members' records.
            count_event: Counts an event by name.
            is_fresh: Whether the document in force is confirmed.
        """
        self._address = address
        self._tables = tables
        self._count_event = count_event
        self._refused_endpoints = refused_endpoints.RefusedEndpoints()
        self._sender = forward_sender.ForwardSender(
            self._on_refused, count_event
        )
        self._decode = codec.make_decoder(shared_key)
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
        """Agents just seen to be gone."""
        return self._refused_endpoints

    def async_setup(self) -> abc.Callable[[], None]:
        """Bind the socket towards agents.

        Returns:
            A callable that closes every socket.
        """
        stop_outgoing = self._sender.async_setup(self._address)

        def stop() -> None:
            for entry in self._sockets_by_tag.values():
                entry.stop()
            self._sockets_by_tag.clear()
            stop_outgoing()

        return stop

    def apply(self, document: documents.Document) -> bool:
        """Bring the entry sockets in line with a document.

        Args:
            document: The document in force.

        Returns:
            Whether every service has its entry socket; if not, call again.
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
        chosen = route.make_route(
            tag,
            self._decode,
            lambda: self._known_domains,
            candidates,
        )
        one = relay.Relay(tag, chosen, self._relay_context)
        port = service['entry_port']
        try:
            stop = one.async_setup(self._address, port)
        except exceptions.StartError as err:
            if port not in self._failed_ports:
                _LOGGER.error('entry socket failed', port=port, error=str(err))
            self._failed_ports.add(port)
            return False
        self._failed_ports.discard(port)
        self._sockets_by_tag[tag] = EntrySocket(port, one, candidates, stop)
        _LOGGER.info('entry opened', service=service['name'], port=port)
        return True

    def _on_refused(
        self, forward_refused: forward_sender.RefusedForward
    ) -> None:
        self._refused_endpoints.add(forward_refused.endpoint)
        try:
            forward = self._read_forward(forward_refused.datagram)
        except exceptions.FrameError:
            return
        entry = self._sockets_by_tag.get(forward.service_tag)
        if entry is None:
            return
        if self._is_established(forward):
            # The process that held the flow is gone, and its state with it.
            entry.relay.send_reset(forward.payload, forward.caller)
            return
        self._forward_to_next_agent(entry, forward)

    def _is_established(self, forward: header.Forward) -> bool:
        target = invariants.destination(forward.payload)
        try:
            holder = self._decode(target.connection_id)
        except exceptions.ConnectionIdError:
            return False
        return holder.service_tag == forward.service_tag

    def _forward_to_next_agent(
        self, entry: EntrySocket, forward: header.Forward
    ) -> None:
        flow = route.flow_hash(forward.caller, forward.service_tag)
        found = entry.candidates(flow, 1)
        if not found or forward.hops >= const.MAX_HOPS:
            self._count_event('dropped.no_agent')
            return
        self._count_event('opening_placed_again')
        datagram = header.build_next_hop(self._write_forward, forward)
        self._sender.send(datagram, found[0])
