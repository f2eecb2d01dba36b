"""Registrar of flows, with which agents register the flows they hold."""

from kumquatport.connection.packets import (
    flow_directory,
    frame,
    registrars,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.process.packets import mesh
from kumquatport.version import members
from kumquatport.version.members import const as members_const


class Registrar:
    """Stores registered flows, answers queries and queries others."""

    def __init__(
        self, own: str, codec: packets.Codec, peers: mesh.Mesh
    ) -> None:
        """Start without flows.

        Args:
            own: Name of this instance.
            codec: Packet codec.
            peers: Mesh of the other instances.
        """
        self._own = own
        self._codec = codec
        self._mesh = peers
        self._directory = flow_directory.FlowDirectory()
        self._registrars = registrars.Registrars()

    def __len__(self) -> int:
        """Return the number of flows registered here."""
        return len(self._directory)

    def find(self, flow: bytes) -> members.InstanceRecord | None:
        """Return the agent that registered a flow here, unless it departed."""
        record = self._mesh.registry.get(self._directory.find(flow))
        if record is None or members.is_departed(record):
            return None
        return record

    def other_registrars(self, flow: bytes) -> list[str]:
        """Return the other live registrars of a flow.

        Registrars that are stopping come last: they may exit before they
        answer.
        """
        self._registrars.update_if_changed(
            self._mesh.balancers_digest, self._mesh.balancer_names
        )
        live = [
            name
            for name in self._registrars.of_flow(flow)
            if name != self._own and not self._mesh.is_suspect(name)
        ]
        return sorted(live, key=self._is_leaving)

    def _is_leaving(self, registrar: str) -> bool:
        record = self._mesh.registry.get(registrar)
        return record is None or record.state != members_const.STATE_READY

    def query(self, registrar: str, packet: packets.Packet) -> None:
        """Query a registrar for the agent of a packet's flow."""
        record = self._mesh.registry.get(registrar)
        if record is not None:
            message = frame.pack_locate(packet.datagram)
            self._mesh.send(message, record.address)

    def on_register(self, message: bytes, instance: str) -> None:
        """Register flows of an agent."""
        self._directory.register(frame.unpack_flows(message), instance)

    def on_unregister(self, message: bytes, instance: str) -> None:
        """Remove flows that an agent no longer holds."""
        self._directory.unregister(frame.unpack_flows(message), instance)

    def on_query(self, message: bytes, instance: str) -> None:
        """Answer the query of a balancer for the agent of a packet's flow."""
        packet = self._codec.parse_client_packet(frame.unpack_locate(message))
        sender = self._mesh.registry.get(instance)
        if packet is None or sender is None:
            return
        holder = self.find(packet.flow)
        address = packets.mark_from_address(holder.address) if holder else 0
        answer = frame.pack_location(address, packet.datagram)
        self._mesh.send(answer, sender.address)
