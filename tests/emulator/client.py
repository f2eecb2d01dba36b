"""Clients that send requests over flows, with retransmissions and retries."""

import ipaddress
import struct
import typing
from collections import abc

from tests.emulator import simulation, wire

SYN_RETRANSMIT_DELAYS_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RESEND_DELAY_S = 0.2
MAX_RESEND_DELAY_S = 1.6
ATTEMPT_TIMEOUT_S = 2.5
MAX_RETRIES = 2
CLIENT_PORT = 9000


class Outcome(typing.NamedTuple):
    """Result of one request, over all its attempts.

    Attributes:
        requested_at: Simulated seconds at which the request began.
        duration_s: Seconds until it was served or had failed.
        served: Whether an attempt was answered with status 200.
        attempts: Number of attempts.
    """

    requested_at: float
    duration_s: float
    served: bool
    attempts: int


class Reset(typing.NamedTuple):
    """A reset by the system that a client received.

    Attributes:
        received_at: Simulated seconds at which it was received.
        flow: Flow that it ends.
        sender: Address of the instance that sent it.
    """

    received_at: float
    flow: bytes
    sender: str


class Client:
    """A client that sends one request after the other.

    Args:
        sim: Simulation, or real network.
        address: IPv4 address of the client.
        route: Address and port of the service.
        send: Sends a packet of a flow to a balancer.
        is_long: Whether a flow carries many requests.
        work_s: Mean seconds of work of a request.
        pause_s: Mean seconds between requests.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        address: str,
        route: tuple[str, int],
        send: abc.Callable[[bytes, bytes], None],
        *,
        is_long: bool,
        work_s: float,
        pause_s: float,
    ) -> None:
        self.sim = sim
        self.outcomes: list[Outcome] = []
        self.resets: list[Reset] = []
        self.open_flows: dict[bytes, float] = {}
        self._address = address
        self._route = route
        self._send = send
        self._is_long = is_long
        self._work_s = work_s
        self._pause_s = pause_s
        self._port = 1024
        self._flow = b''
        self._is_open = False
        self._server_sequence = 0
        self._request_number = 0
        self._attempt_number = 0
        self._request_attempts = 0
        self._requested_at = 0.0
        self._is_waiting = False
        sim.listen(address, CLIENT_PORT, self._on_packet)

    def start(self) -> None:
        self.sim.call_later(
            self.sim.rng.random() * self._pause_s, self._start_request
        )

    def _start_request(self) -> None:
        self._requested_at = self.sim.time
        self._request_attempts = 0
        self._request_number += 1
        self._start_attempt()

    def _start_attempt(self) -> None:
        self._request_attempts += 1
        self._attempt_number += 1
        self._is_waiting = True
        attempt = self._attempt_number
        self.sim.call_later(
            ATTEMPT_TIMEOUT_S, lambda: self._fail_attempt(attempt)
        )
        if self._is_open and self._is_long:
            self._send_request(attempt, RESEND_DELAY_S)
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
        for copy, delay_s in enumerate(SYN_RETRANSMIT_DELAYS_S, 1):
            self.sim.call_later(
                delay_s, lambda copy=copy: self._retransmit_syn(flow, copy)
            )

        def on_open_timeout() -> None:
            if self._flow == flow and not self._is_open:
                self._fail_attempt(attempt)

        self.sim.call_later(OPEN_TIMEOUT_S, on_open_timeout)

    def _retransmit_syn(self, flow: bytes, copy: int) -> None:
        if self._flow == flow and not self._is_open and self._is_waiting:
            self._send_syn(flow, copy)

    def _send_syn(self, flow: bytes, copy: int) -> None:
        data = wire.Data(0, 0.0, 0, self.sim.time)
        self._send(flow, wire.pack(flow, wire.SYN, 7, copy, data))

    def _send_request(self, attempt: int, resend_delay_s: float) -> None:
        if (
            attempt != self._attempt_number
            or not self._is_waiting
            or not self._is_open
        ):
            return
        data = wire.Data(self._request_number, self._work_s, 0, self.sim.time)
        acknowledged = (self._server_sequence + 1) & 0xFFFFFFFF
        packet = wire.pack(self._flow, wire.ACK, 8, acknowledged, data)
        self._send(self._flow, packet)
        next_delay_s = min(resend_delay_s * 2, MAX_RESEND_DELAY_S)
        self.sim.call_later(
            resend_delay_s, lambda: self._send_request(attempt, next_delay_s)
        )

    def _on_packet(self, datagram: bytes, source: tuple[str, int]) -> None:
        packet = wire.parse(datagram)
        if wire.reverse_flow(packet.flow) != self._flow:
            return
        if packet.flags & wire.RST:
            self._on_reset(packet, source[0])
        elif packet.flags & wire.SYN:
            self._on_syn_ack(packet)
        elif packet.is_fin and not self._is_waiting:
            self._close()
        elif packet.data and packet.data.number == self._request_number:
            self._on_answer(packet.data)

    def _on_reset(self, packet: wire.Packet, sender: str) -> None:
        if packet.sum == 0:
            self.resets.append(Reset(self.sim.time, self._flow, sender))
        self._is_open = False
        self.open_flows.pop(self._flow, None)
        if self._is_waiting:
            self._fail_attempt(self._attempt_number)

    def _on_syn_ack(self, packet: wire.Packet) -> None:
        if self._is_open or not self._is_waiting:
            return
        self._is_open = True
        self._server_sequence = packet.sequence
        self.open_flows[self._flow] = self.sim.time
        self._send_request(self._attempt_number, RESEND_DELAY_S)

    def _on_answer(self, data: wire.Data) -> None:
        if not self._is_waiting:
            return
        if data.status != 200:
            self._fail_attempt(self._attempt_number)
            return
        self._is_waiting = False
        self._record_outcome(served=True)
        if not self._is_long:
            self._close()
        self.sim.call_later(self._draw_pause_s(), self._start_request)

    def _fail_attempt(self, attempt: int) -> None:
        if attempt != self._attempt_number or not self._is_waiting:
            return
        self._is_waiting = False
        self._close()
        if self._request_attempts <= MAX_RETRIES:
            self.sim.call_later(0.05, self._start_attempt)
            return
        self._record_outcome(served=False)
        self.sim.call_later(self._draw_pause_s(), self._start_request)

    def _close(self) -> None:
        if self._is_open:
            self._send(self._flow, wire.pack(self._flow, wire.FIN))
        self._is_open = False
        self.open_flows.pop(self._flow, None)

    def _record_outcome(self, *, served: bool) -> None:
        duration_s = self.sim.time - self._requested_at
        self.outcomes.append(
            Outcome(
                self._requested_at, duration_s, served, self._request_attempts
            )
        )

    def _draw_pause_s(self) -> float:
        return self.sim.rng.expovariate(1 / self._pause_s)
