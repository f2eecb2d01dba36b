"""Forwarding of opening packets to other agents of the service."""

from collections import abc

from kumquatport import exceptions
from kumquatport.connection.forward import (
    const,
    forward_sender,
    header,
    placement,
    refused_endpoints,
    route,
)
from kumquatport.version import table


class OpeningForwarder:
    """Forwards opening packets that this agent cannot accept."""

    def __init__(
        self,
        service: str,
        own: header.Endpoint,
        shared_key: bytes,
        tables: table.TableCache,
        count_event: abc.Callable[[str], None],
        is_fresh: abc.Callable[[], bool],
    ) -> None:
        """Build the sender and the placement; bind no socket yet.

        Args:
            service: Name of the service of this agent.
            own: Endpoint of this agent; it is never chosen as next hop.
            shared_key: Key shared by all instances, 32 bytes.
            tables: Lookup tables of the agents of each service.
            count_event: Increments the counter of the given name.
            is_fresh: Returns whether the document in force is confirmed.
                After a pause of the process, the tables may still list
                agents of a failure domain that was taken out meanwhile.
        """
        self._is_fresh = is_fresh
        self._count_event = count_event
        self._refused_endpoints = refused_endpoints.RefusedEndpoints()
        self._sender = forward_sender.ForwardSender(
            self._on_refused, count_event
        )
        self._read_forward = header.make_reader(shared_key)
        self._write_forward = header.make_writer(shared_key)
        self._next_hop = placement.make_next_hop(
            placement.make_candidates(service, tables, self._refused_endpoints),
            own,
            const.MAX_HOPS,
        )

    def async_setup(self, address: str) -> abc.Callable[[], None]:
        """Bind the socket for forwards to other agents.

        Args:
            address: IPv4 address that the sockets of this instance bind to.

        Returns:
            A callable that closes the socket.
        """
        return self._sender.async_setup(address)

    def pass_on(self, forward: header.Forward) -> bool:
        """Forward an opening packet to the next agent.

        While the document is not confirmed, the packet is dropped and
        reported as handled: the caller retransmits it.

        Args:
            forward: Opening packet and the number of hops so far.

        Returns:
            False if there is no other agent to try.
        """
        if not self._is_fresh():
            self._count_event('dropped.not_fresh')
            return True
        flow_hash = route.flow_hash(forward.caller, forward.service_tag)
        endpoint = self._next_hop(flow_hash, forward.hops)
        if endpoint is None:
            return False
        datagram = header.build_next_hop(self._write_forward, forward)
        self._sender.send(datagram, endpoint)
        return True

    def _on_refused(self, refused: forward_sender.RefusedForward) -> None:
        """Forward a refused packet again, to the next agent."""
        self._refused_endpoints.add(refused.endpoint)
        try:
            forward = self._read_forward(refused.datagram)
        except exceptions.FrameError:
            return
        if not self.pass_on(forward):
            self._count_event('opening_refused.no_agent')
