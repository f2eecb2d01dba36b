"""Meshes of several instances, connected in this process."""

from collections import abc

from kumquatport.process.packets import known_configuration, mesh, peers
from kumquatport.version import members
from tests.builders import packets


class Network:
    """Delivers datagrams between meshes when told so, in order.

    Attributes:
        meshes: The mesh at each address.
        configurations: The configuration known to the mesh at each address.
        scheduled: Functions that meshes have scheduled for later.
    """

    def __init__(self) -> None:
        """Create a network without instances."""
        self.meshes: dict[str, mesh.Mesh] = {}
        self.configurations: dict[
            str, known_configuration.KnownConfiguration
        ] = {}
        self.scheduled: list[abc.Callable[[], None]] = []
        self._datagrams: list[tuple[bytes, str, str]] = []
        self._round = 0

    def start(
        self,
        instance: str,
        address: str,
        kind: str,
        prepare: abc.Callable[[mesh.Mesh], None] = lambda _: None,
    ) -> mesh.Mesh:
        """Start an instance, in place of an earlier one at its address.

        It greets the others and is ready.

        Args:
            instance: Name of the instance.
            address: Address of the instance.
            kind: ``agent`` or ``balancer``.
            prepare: Called with its mesh before the mesh is connected.
        """
        settings = packets.settings(
            instance=instance,
            address=address,
            seeds=tuple(self.meshes),
            service='store' if kind == members.KIND_AGENT else '',
        )
        configuration = known_configuration.KnownConfiguration(instance)
        started = mesh.Mesh(settings, kind, configuration)
        self.configurations[address] = configuration
        if kind == members.KIND_AGENT:
            started.load = packets.load
        self.meshes[address] = started
        prepare(started)
        started.connect(
            peers.Transport(
                lambda datagram, endpoint: self._send(
                    datagram, address, endpoint[0]
                ),
                lambda call: call(),
                lambda *_: None,
                lambda _, call: self.scheduled.append(call),
            )
        )
        started.own_record.update('ready', None)
        self.deliver()
        return started

    def deliver(self) -> None:
        """Deliver datagrams until none is left."""
        while self._datagrams:
            datagram, sender, receiver = self._datagrams.pop(0)
            if receiver in self.meshes:
                self.meshes[receiver].on_datagram(datagram, (sender, 7000))

    def run_round(self) -> None:
        """Run the next heartbeat round of all instances."""
        self._round += 1
        for instance in self.meshes.values():
            instance.send_heartbeats(self._round)
        self.deliver()

    def run_scheduled(self) -> None:
        """Call the functions that are scheduled, and deliver the datagrams."""
        due, self.scheduled = self.scheduled, []
        for call in due:
            call()
        self.deliver()

    def _send(self, datagram: bytes, sender: str, receiver: str) -> bool:
        self._datagrams.append((datagram, sender, receiver))
        return True
