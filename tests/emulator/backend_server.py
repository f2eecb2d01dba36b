"""Backend server with slots, a queue, a cold start and draining."""

import collections
import typing
from collections import abc

from tests.emulator import simulation, wire

SLOTS = 5
QUEUE_LIMIT = 20
COLD_S = 2.0
COLD_WORK_FACTOR = 1.6
HEARTBEAT_S = 0.8


class Opening(typing.NamedTuple):
    """An opening packet that a backend server accepted.

    Attributes:
        received_at: Simulated seconds at which it was received.
        client_sent_at: Simulated seconds at which the client sent it.
        flow: Flow that it opens.
        via: Kind of the packet.
    """

    received_at: float
    client_sent_at: float
    flow: bytes
    via: str


class Connection:
    """State of one flow at the backend server."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.is_open = False
        self.opened_at = 0.0


class BackendServer:
    """A process that terminates flows; a crash loses its flows and its queue.

    Attributes:
        connections: Connections by flow.
        openings: Accepted opening packets.
        deliveries: Packets of the open flows of this backend server, at
            whichever backend server they arrived: time in seconds, flow and
            whether it was this one.
        is_listening: Whether its TCP port accepts connections; it closes first
            when the process exits.
        busy_slots: Slots in use.
        closes_when_draining: Whether it closes each flow after the next answer
            once it drains.
        heartbeat_count: Heartbeats since the start.
        on_up_changed: Called with the new state at a start or a crash.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        address: str,
        service: str,
        domain: str,
    ) -> None:
        self.sim = sim
        self.address = address
        self.service = service
        self.domain = domain
        self.is_up = False
        self.is_listening = False
        self.is_draining = False
        self.started_at = 0.0
        self.incarnation = 0
        self.connections: dict[bytes, Connection] = {}
        self.openings: list[Opening] = []
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.deliveries: list[tuple[float, bytes, bool]] = []
        self.busy_slots = 0
        self.closes_when_draining = False
        self.served = 0
        self.heartbeat_count = 0
        self.crashed_at = -100.0
        self._identifier = ''
        self.on_up_changed: abc.Callable[[bool], None] = _ignore
        self._queued: collections.deque[tuple[bytes, wire.Data]] = (
            collections.deque()
        )

    @property
    def identifier(self) -> str:
        return self._identifier or f'{self.address}-{self.incarnation}'

    def start(self, identifier: str = '') -> None:
        """Start a new incarnation.

        Args:
            identifier: Identifier in its heartbeats; by default one that no
                other incarnation has.
        """
        self._identifier = identifier
        self.is_up = True
        self.is_listening = True
        self.is_draining = False
        self.started_at = self.sim.time
        self.incarnation += 1
        self.heartbeat_count = 0
        self.connections.clear()
        self.on_up_changed(True)

    def crash(self) -> None:
        self.is_up = False
        self.is_listening = False
        self.on_up_changed(False)
        self.crashed_at = self.sim.time
        self.connections.clear()
        self._queued.clear()
        self.busy_slots = 0
        self.incarnation += 1

    def cold_left_s(self) -> float:
        return max(0.0, self.started_at + COLD_S - self.sim.time)

    def receive(self, datagram: bytes, answer: typing.Any) -> None:
        """Handle a packet; ``answer`` sends a packet to the agent."""
        if not self.is_up:
            return
        packet = wire.parse(datagram)
        connection = self.connections.get(packet.flow)
        if packet.is_syn:
            answer(
                wire.syn_ack(packet, self._accept(packet, connection).sequence)
            )
        elif connection is None:
            answer(wire.bounced(datagram))
        elif not self._try_open(packet, connection):
            answer(wire.server_reset(packet))
        elif packet.is_fin:
            self.connections.pop(packet.flow, None)
            answer(wire.server_fin(packet))
        elif packet.data is not None:
            self._enqueue(packet.flow, packet.data, answer)

    def _accept(
        self, packet: wire.Packet, connection: Connection | None
    ) -> Connection:
        if connection is None:
            connection = Connection(self.sim.rng.randrange(1, 1 << 32))
            self.connections[packet.flow] = connection
            self.openings.append(
                Opening(
                    self.sim.time, packet.client_sent_at, packet.flow, 'syn'
                )
            )
        return connection

    def _try_open(self, packet: wire.Packet, connection: Connection) -> bool:
        """Return whether the connection is open or the packet opens it."""
        is_expected = (
            packet.acknowledged == (connection.sequence + 1) & 0xFFFFFFFF
        )
        if not connection.is_open and is_expected:
            connection.is_open = True
            connection.opened_at = self.sim.time
        return connection.is_open

    def _enqueue(
        self, flow: bytes, data: wire.Data, answer: typing.Any
    ) -> None:
        if self.busy_slots >= SLOTS:
            if len(self._queued) >= QUEUE_LIMIT:
                answer(wire.answer(flow, data, ok=False))
                return
            self._queued.append((flow, data))
            return
        self._process(flow, data, answer)

    def _process(
        self, flow: bytes, data: wire.Data, answer: typing.Any
    ) -> None:
        self.busy_slots += 1
        incarnation = self.incarnation
        factor = COLD_WORK_FACTOR if self.cold_left_s() else 1.0
        work_s = self.sim.rng.uniform(0.5, 1.5) * data.work_s * factor

        def done() -> None:
            if self.incarnation != incarnation or not self.is_up:
                return
            self.busy_slots -= 1
            self.served += 1
            answer(wire.answer(flow, data, ok=True))
            if self.is_draining and self.closes_when_draining:
                answer(wire.pack(wire.reverse_flow(flow), wire.FIN | wire.ACK))
            if self._queued:
                self._process(*self._queued.popleft(), answer)

        self.sim.call_later(work_s, done)


def _ignore(is_up: bool) -> None:
    """Do nothing."""


def record_delivery(
    backend_servers: typing.Iterable[BackendServer],
    receiver: BackendServer,
    datagram: bytes,
) -> None:
    """Record a packet at the backend server that has its flow open.

    Args:
        backend_servers: All backend servers.
        receiver: Backend server that receives the packet.
        datagram: The packet.
    """
    packet = wire.parse(datagram)
    if packet.is_syn:
        return
    for server in backend_servers:
        connection = server.connections.get(packet.flow)
        if connection is not None and connection.is_open:
            is_own = server is receiver
            server.deliveries.append((server.sim.time, packet.flow, is_own))
