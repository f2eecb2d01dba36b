"""Clients: flows with copies of opening packets, retries, long and short."""

import ipaddress
import struct
import typing
from collections import abc

from tests.emulator import wire, world

COPIES_S = (0.2, 0.6)
OPEN_S = 1.4
RESEND_S = 0.2
MAX_RESEND_S = 1.6
DEADLINE_S = 2.5
RETRIES = 2
CLIENT_PORT = 9000


class Outcome(typing.NamedTuple):
    """What became of one request, over all its attempts."""

    asked_at: float
    took_s: float
    served: bool
    attempts: int


class Client:
    """One user, who asks for one thing after the other.

    Args:
        sim: The world.
        address: Of the client.
        route: Address and port of the service.
        enter: Sends a packet into the system.
        is_long: Whether a flow is kept for many requests.
        work_s: Mean work of a request.
        pause_s: Mean pause between requests.
        deadline_s: After which an attempt is given up.
        repeats: Whether a request is sent again after any failure.
    """

    def __init__(
        self,
        sim: world.World,
        address: str,
        route: tuple[str, int],
        enter: abc.Callable[[bytes, bytes], None],
        *,
        is_long: bool,
        work_s: float,
        pause_s: float,
    ) -> None:
        self.sim = sim
        self.outcomes: list[Outcome] = []
        self.resets: list[tuple[float, bytes]] = []
        self.open_flows: dict[bytes, float] = {}
        self._address = address
        self._route = route
        self._enter = enter
        self._is_long = is_long
        self._work_s = work_s
        self._pause_s = pause_s
        self._port = 1024
        self._flow = b''
        self._is_open = False
        self._server_sequence = 0
        self._number = 0
        self._attempt = 0
        self._attempts = 0
        self._asked_at = 0.0
        self._waiting = False
        sim.listen(address, CLIENT_PORT, self._on_packet)

    def start(self) -> None:
        self.sim.after(self.sim.rng.random() * self._pause_s, self._ask)

    def _ask(self) -> None:
        self._asked_at = self.sim.time
        self._attempts = 0
        self._number += 1
        self._try()

    def _try(self) -> None:
        self._attempts += 1
        self._attempt += 1
        self._waiting = True
        attempt = self._attempt
        self.sim.after(DEADLINE_S, lambda: self._fail(attempt))
        if self._is_open and self._is_long:
            self._send_request(attempt, RESEND_S)
            return
        self._open(attempt)

    def _open(self, attempt: int) -> None:
        self._port += 1
        self._is_open = False
        self._flow = struct.pack(
            '<IIHH',
            int(ipaddress.IPv4Address(self._address)),
            int(ipaddress.IPv4Address(self._route[0])),
            self._port,
            self._route[1],
        )
        flow = self._flow
        self._send_syn(flow, 0)
        for copy, delay_s in enumerate(COPIES_S, 1):
            self.sim.after(delay_s, lambda copy=copy: self._copy(flow, copy))

        def give_up() -> None:
            if self._flow == flow and not self._is_open:
                self._fail(attempt)

        self.sim.after(OPEN_S, give_up)

    def _copy(self, flow: bytes, copy: int) -> None:
        if self._flow == flow and not self._is_open and self._waiting:
            self._send_syn(flow, copy)

    def _send_syn(self, flow: bytes, copy: int) -> None:
        stamp = wire.Data(0, 0.0, 0, self.sim.time)
        self._enter(flow, wire.pack(flow, wire.SYN, 7, copy, stamp))

    def _send_request(self, attempt: int, again_s: float) -> None:
        if attempt != self._attempt or not self._waiting or not self._is_open:
            return
        data = wire.Data(self._number, self._work_s, 0, self.sim.time)
        acknowledged = (self._server_sequence + 1) & 0xFFFFFFFF
        packet = wire.pack(self._flow, wire.ACK, 8, acknowledged, data)
        self._enter(self._flow, packet)
        later_s = min(again_s * 2, MAX_RESEND_S)
        self.sim.after(again_s, lambda: self._send_request(attempt, later_s))

    def _on_packet(self, datagram: bytes, _source: tuple[str, int]) -> None:
        packet = wire.read(datagram)
        if wire.opposite(packet.flow) != self._flow:
            return
        if packet.flags & wire.RST:
            self._on_reset(packet)
        elif packet.flags & wire.SYN:
            self._on_open(packet)
        elif packet.data and packet.data.number == self._number:
            self._on_answer(packet.data)

    def _on_reset(self, packet: wire.Read) -> None:
        if packet.sum == 0:
            self.resets.append((self.sim.time, self._flow))
        self._is_open = False
        self.open_flows.pop(self._flow, None)
        if self._waiting:
            self._fail(self._attempt)

    def _on_open(self, packet: wire.Read) -> None:
        if self._is_open or not self._waiting:
            return
        self._is_open = True
        self._server_sequence = packet.sequence
        self.open_flows[self._flow] = self.sim.time
        self._send_request(self._attempt, RESEND_S)

    def _on_answer(self, data: wire.Data) -> None:
        if not self._waiting:
            return
        if data.status != 200:
            self._fail(self._attempt)
            return
        self._waiting = False
        self._note(served=True)
        if not self._is_long:
            self._close()
        self.sim.after(self._pause(), self._ask)

    def _fail(self, attempt: int) -> None:
        if attempt != self._attempt or not self._waiting:
            return
        self._waiting = False
        self._close()
        if self._attempts <= RETRIES:
            self.sim.after(0.05, self._try)
            return
        self._note(served=False)
        self.sim.after(self._pause(), self._ask)

    def _close(self) -> None:
        if self._is_open:
            self._enter(self._flow, wire.pack(self._flow, wire.FIN))
        self._is_open = False
        self.open_flows.pop(self._flow, None)

    def _note(self, *, served: bool) -> None:
        took_s = self.sim.time - self._asked_at
        self.outcomes.append(
            Outcome(self._asked_at, took_s, served, self._attempts)
        )

    def _pause(self) -> float:
        return self.sim.rng.expovariate(1 / self._pause_s)
