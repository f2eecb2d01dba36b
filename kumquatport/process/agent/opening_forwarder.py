"""Passing opening packets on to agents that can take them."""

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
    """Sends opening packets that this agent cannot take to the next one."""

    def __init__(
        self,
        service: str,
        own: header.Endpoint,
        shared_key: bytes,
        tables: table.TableCache,
        count_event: abc.Callable[[str], None],
        is_fresh: abc.Callable[[], bool],
    ) -> None:
        """Prepare; nothing is bound yet.

        Args:
            service: Service of this agent.
            own: Endpoint of this agent.
            shared_key: The key that all instances share, 32 bytes.
            tables: Tables of the members' records.
            count_event: Counts an event by name.
            is_fresh: Whether the document in force is confirmed; an agent
                that was paused may know agents of a failure domain that was
                taken out since.
        """
        self._is_fresh = is_fresh
        self._count_event = count_event
        self._refused = refused_endpoints.RefusedEndpoints()
        self._sender = forward_sender.ForwardSender(
            self._on_refused, count_event
        )
        self._read_forward = header.make_reader(shared_key)
        self._write_forward = header.make_writer(shared_key)
        self._next_hop = placement.make_next_hop(
            placement.make_candidates(service, tables, self._refused),
            own,
            const.MAX_HOPS,
        )

    def async_setup(self, address: str) -> abc.Callable[[], None]:
        """Bind the socket towards other agents.

        Args:
            address: IPv4 number that this instance's sockets are bound to.

        Returns:
            A callable that closes it.
        """
        return self._sender.async_setup(address)

    def pass_on(self, forward: header.Forward) -> bool:
        """Send an opening packet on; tell whether there was an agent for it.

        While the document is not confirmed the packet is dropped, as if lost
        on the way; callers send it again.

        Args:
            forward: The opening packet, with the hops it has behind it.
        """
        if not self._is_fresh():
            self._count_event('dropped.not_fresh')
            return True
        flow = route.flow_hash(forward.caller, forward.service_tag)
        endpoint = self._next_hop(flow, forward.hops)
        if endpoint is None:
            return False
        datagram = header.build_next_hop(self._write_forward, forward)
        self._sender.send(datagram, endpoint)
        return True

    def _on_refused(self, packet: forward_sender.RefusedForward) -> None:
        self._refused.add(packet.endpoint)
        try:
            forward = self._read_forward(packet.datagram)
        except exceptions.FrameError:
            return
        if not self.pass_on(forward):
            self._count_event('opening_refused.no_agent')
