"""A backend server's ends of flows: slots, a queue, cold seconds, drains."""

import collections
import typing
from collections import abc

from tests.emulator import wire, world

SLOTS = 5
QUEUE = 20
COLD_S = 2.0
COLD_TIMES = 1.6
HEARTBEAT_S = 0.8


class Opening(typing.NamedTuple):
    """An opening packet that a backend server took."""

    at: float
    client_at: float
    flow: bytes
    via: str


class End:
    """One flow at the backend server."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.is_open = False
        self.opened_at = 0.0


class Backend:
    """A process that ends flows; it crashes and starts again whole."""

    def __init__(
        self, sim: world.World, address: str, service: str, domain: str
    ) -> None:
        self.sim = sim
        self.address = address
        self.service = service
        self.domain = domain
        self.is_up = False
        self.is_draining = False
        self.born = 0.0
        self.number = 0
        self.ends: dict[bytes, End] = {}
        self.openings: list[Opening] = []
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.foreign: list[tuple[float, bytes, bool]] = []
        self.busy = 0
        self.served = 0
        self.beats = 0
        self.disturbed_at = -100.0
        self.on_up: abc.Callable[[bool], None] = _ignore
        self._waiting: collections.deque[tuple[bytes, wire.Data]] = (
            collections.deque()
        )

    @property
    def identifier(self) -> str:
        return f'{self.address}-{self.number}'

    def start(self) -> None:
        self.is_up = True
        self.is_draining = False
        self.born = self.sim.time
        self.number += 1
        self.beats = 0
        self.ends.clear()
        self.on_up(True)

    def crash(self) -> None:
        self.is_up = False
        self.on_up(False)
        self.disturbed_at = self.sim.time
        self.ends.clear()
        self._waiting.clear()
        self.busy = 0
        self.number += 1

    def cold_left_s(self) -> float:
        return max(0.0, self.born + COLD_S - self.sim.time)

    def take(self, datagram: bytes, answer: typing.Any) -> None:
        """Take a packet; ``answer`` sends one to the agent."""
        if not self.is_up:
            return
        packet = wire.read(datagram)
        end = self.ends.get(packet.flow)
        if packet.is_syn:
            answer(wire.syn_ack(packet, self._begin(packet, end).sequence))
        elif end is None:
            answer(wire.bounced(datagram))
        elif not self._opens(packet, end):
            answer(wire.server_reset(packet))
        elif packet.is_fin:
            self.ends.pop(packet.flow, None)
            answer(wire.server_fin(packet))
        elif packet.data is not None:
            self._queue(packet.flow, packet.data, answer)

    def _begin(self, packet: wire.Read, end: End | None) -> End:
        if end is None:
            end = End(self.sim.rng.randrange(1, 1 << 32))
            self.ends[packet.flow] = end
            self.openings.append(
                Opening(self.sim.time, packet.client_at, packet.flow, 'syn')
            )
        return end

    def _opens(self, packet: wire.Read, end: End) -> bool:
        """Tell whether a packet is of the flow that is, or now gets, open."""
        is_ours = packet.acknowledged == (end.sequence + 1) & 0xFFFFFFFF
        if not end.is_open and is_ours:
            end.is_open = True
            end.opened_at = self.sim.time
        return end.is_open

    def _queue(self, flow: bytes, data: wire.Data, answer: typing.Any) -> None:
        if self.busy >= SLOTS:
            if len(self._waiting) >= QUEUE:
                answer(wire.answer(flow, data, ok=False))
                return
            self._waiting.append((flow, data))
            return
        self._work(flow, data, answer)

    def _work(self, flow: bytes, data: wire.Data, answer: typing.Any) -> None:
        self.busy += 1
        number = self.number
        times = COLD_TIMES if self.cold_left_s() else 1.0
        work_s = self.sim.rng.uniform(0.5, 1.5) * data.work_s * times

        def done() -> None:
            if self.number != number or not self.is_up:
                return
            self.busy -= 1
            self.served += 1
            answer(wire.answer(flow, data, ok=True))
            if self._waiting:
                self._work(*self._waiting.popleft(), answer)

        self.sim.after(work_s, done)


def _ignore(is_up: bool) -> None:
    """Tell nobody."""


def note_arrival(
    backends: typing.Iterable[Backend], taker: Backend, datagram: bytes
) -> None:
    """Note a packet for whose flow it is, also where another one takes it."""
    packet = wire.read(datagram)
    if packet.is_syn:
        return
    for server in backends:
        end = server.ends.get(packet.flow)
        if end is not None and end.is_open:
            is_own = server is taker
            server.foreign.append((server.sim.time, packet.flow, is_own))
