"""The part of a balancer that knows where flows of others are."""

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
    """Keeps what agents register, answers balancers, and asks others."""

    def __init__(
        self, own: str, codec: packets.Codec, peers: mesh.Mesh
    ) -> None:
        """Start without flows.

        Args:
            own: Name of this instance.
            codec: Format of the packets.
            peers: The other instances.
        """
        self._own = own
        self._codec = codec
        self._mesh = peers
        self._directory = flow_directory.FlowDirectory()
        self._registrars = registrars.Registrars()

    def __len__(self) -> int:
        """Return how many flows are registered here."""
        return len(self._directory)

    def find(self, flow: bytes) -> members.InstanceRecord | None:
        """Return the agent that registered a flow here, if it is there."""
        record = self._mesh.registry.get(self._directory.find(flow))
        if record is None or members.is_departed(record):
            return None
        return record

    def other_registrars(self, flow: bytes) -> list[str]:
        """Return the other registrars of a flow that are heard.

        One that leaves comes last: it may end before it answers.
        """
        self._registrars.update_if_changed(
            self._mesh.balancers_digest, self._mesh.balancer_names
        )
        heard = [
            name
            for name in self._registrars.of_flow(flow)
            if name != self._own and not self._mesh.is_suspect(name)
        ]
        return sorted(heard, key=self._is_leaving)

    def _is_leaving(self, registrar: str) -> bool:
        record = self._mesh.registry.get(registrar)
        return record is None or record.state != members_const.STATE_READY

    def query(self, registrar: str, packet: packets.Packet) -> None:
        """Ask a registrar where a packet is to be sent."""
        record = self._mesh.registry.get(registrar)
        if record is not None:
            message = frame.pack_locate(packet.datagram)
            self._mesh.send(message, record.address)

    def on_register(self, message: bytes, instance: str) -> None:
        """Take the names of flows that an agent holds."""
        self._directory.register(frame.unpack_flows(message), instance)

    def on_ended(self, message: bytes, instance: str) -> None:
        """Take the names of flows that an agent does not hold any more."""
        self._directory.unregister(frame.unpack_flows(message), instance)

    def on_query(self, message: bytes, instance: str) -> None:
        """Answer a balancer that asks where a packet is to be sent."""
        packet = self._codec.parse_client_packet(frame.unpack_locate(message))
        sender = self._mesh.registry.get(instance)
        if packet is None or sender is None:
            return
        found = self.find(packet.flow)
        address = packets.mark_from_address(found.address) if found else 0
        answer = frame.pack_location(address, packet.datagram)
        self._mesh.send(answer, sender.address)
