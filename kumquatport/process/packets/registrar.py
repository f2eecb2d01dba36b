"""Registrar of flows, with which agents register the flows they hold."""

import sys

import xxhash

from kumquatport.connection.packets import (
    flow_directory,
    flow_handover,
    frame,
    registrars,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.process.packets import handover, mesh, models
from kumquatport.version import members
from kumquatport.version.members import const as members_const


class Registrar:
    """Stores registered flows, answers queries and queries others.

    Attributes:
        handover: Hands the flows over to other balancers.
    """

    def __init__(
        self, settings: models.Settings, codec: packets.Codec, peers: mesh.Mesh
    ) -> None:
        """Start without flows.

        Args:
            settings: Settings of this process.
            codec: Packet codec.
            peers: Mesh of the other instances.
        """
        self._own = settings.instance
        self._codec = codec
        self._mesh = peers
        self._directory = flow_directory.FlowDirectory()
        self._registrars = registrars.Registrars()
        self.handover = handover.Handover(
            settings, self._directory, self._registrars, peers
        )

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
        """Return the other live balancers that may know a flow.

        Registrars that are stopping come last: they may exit before they
        answer. Those that take their place come before.
        """
        self._registrars.update_if_changed(
            self._mesh.balancers_digest, self._mesh.balancer_names
        )
        digest = xxhash.xxh64_intdigest(flow)
        names = dict.fromkeys(
            (
                *self._registrars.of_digest(digest),
                *self.handover.successors(digest),
            )
        )
        live = [
            name
            for name in names
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
        flows = frame.unpack_flows(message)
        self._directory.register(flows, instance)
        if self.handover.is_leaving:
            self.handover.add_late(map(xxhash.xxh64_intdigest, flows))

    def on_unregister(self, message: bytes, instance: str) -> None:
        """Remove flows that an agent no longer holds."""
        self._directory.unregister(frame.unpack_flows(message), instance)

    def on_handover(self, message: bytes, instance: str) -> None:
        """Keep the flows that another balancer hands over.

        Raises:
            FramePayloadError: The message is malformed.
        """
        sender = self._mesh.registry.get(instance)
        if sender is None or sender.kind != members.KIND_BALANCER:
            return
        for agent, digests in flow_handover.unpack(message):
            adopted = self._directory.adopt(digests, sys.intern(agent))
            if self.handover.is_leaving:
                self.handover.add_late(adopted)

    def expire(self) -> None:
        """Remove flows that were handed over long ago."""
        self._directory.expire()

    def on_find(self, message: bytes, instance: str) -> None:
        """Answer the query of a balancer for the agents of some flows."""
        sender = self._mesh.registry.get(instance)
        if sender is None:
            return
        found = [
            frame.FoundFlow(self._address_of(flow), flow)
            for flow in frame.unpack_flows(message)
        ]
        for start in range(0, len(found), frame.MAX_FOUND_PER_FRAME):
            batch = found[start : start + frame.MAX_FOUND_PER_FRAME]
            self._mesh.send(frame.pack_found(batch), sender.address)

    def _address_of(self, flow: bytes) -> int:
        holder = self.find(flow)
        return packets.mark_from_address(holder.address) if holder else 0

    def on_query(self, message: bytes, instance: str) -> None:
        """Answer the query of a balancer for the agent of a packet's flow."""
        packet = self._codec.parse_client_packet(frame.unpack_locate(message))
        sender = self._mesh.registry.get(instance)
        if packet is None or sender is None:
            return
        address = self._address_of(packet.flow)
        answer = frame.pack_location(address, packet.datagram)
        self._mesh.send(answer, sender.address)
