"""Flows that an agent's backend server holds, as its packets show."""

import typing
from collections import abc

from kumquatport.connection.packets import outcomes
from kumquatport.connection.packets import packet as packets

# Largest difference of sequence numbers that counts as the same flow: what
# one end may have in flight, a few times over.
MAX_SEQUENCE_DISTANCE: typing.Final = 1 << 17

# Share of a new answer in the moving mean of the service time.
SERVICE_TIME_SMOOTHING: typing.Final = 0.1

# Seconds within which a client's first request follows its opening packet.
FIRST_REQUEST_S: typing.Final = 0.1

# Seconds that an ended flow is remembered for late copies of its packets.
CLOSED_LINGER_S: typing.Final = 4.0

# Seconds after which a flow that never opened is forgotten; clients give up
# opening after 1.4 s.
HALF_OPEN_TIMEOUT_S: typing.Final = 3.0


class FlowState:
    """One flow at the backend server."""

    __slots__ = (
        'acknowledged',
        'client_closed',
        'has_sent_request',
        'is_open',
        'is_overdue',
        'last_seen_at',
        'opened_at',
        'request_started_at',
        'server_closed',
        'server_last_seen_at',
        'server_sequence',
    )

    def __init__(self, now: float) -> None:
        """Start half open.

        Args:
            now: Monotonic seconds.
        """
        self.opened_at = now
        self.last_seen_at = now
        self.is_open = False
        self.server_sequence: int | None = None
        self.server_last_seen_at = now
        self.acknowledged = 0
        self.client_closed = False
        self.server_closed = False
        self.request_started_at: float = 0
        self.is_overdue = False
        self.has_sent_request = False

    @property
    def is_closed(self) -> bool:
        """Tell whether both ends have closed."""
        return self.client_closed and self.server_closed


ServiceTimeObserver = abc.Callable[[bytes, float], None]


class FlowTable:
    """The flows of one backend server.

    Attributes:
        flows: By the name that the client gives them.
        busy: Requests in progress.
        service_s: Moving mean of the seconds to the first byte of an answer.
        observe_service_time: Called with a flow and those seconds, for each answer.
        outcomes: How requests have ended.
    """

    def __init__(self) -> None:
        """Start without flows."""
        self.flows: dict[bytes, FlowState] = {}
        self.busy = 0
        self.service_s: float = 0
        self.observe_service_time: ServiceTimeObserver = _ignore
        self.outcomes = outcomes.RequestOutcomes()

    def __len__(self) -> int:
        """Return how many flows are known, half-open and ended ones too."""
        return len(self.flows)

    def get(self, flow: bytes) -> FlowState | None:
        """Return a flow that is known."""
        return self.flows.get(flow)

    def add(self, flow: bytes, now: float) -> FlowState:
        """Note a flow whose opening packet is delivered."""
        held = self.flows.get(flow)
        if held is None:
            held = FlowState(now)
            self.flows[flow] = held
        held.last_seen_at = now
        return held

    def add_open(self, flow: bytes, now: float) -> FlowState:
        """Note an open flow that this process did not see begin."""
        held = self.add(flow, now)
        held.is_open = True
        return held

    def is_same_flow(self, held: FlowState, packet: packets.Packet) -> bool:
        """Tell whether a client's packet is of the flow that opened here.

        The client acknowledges the number of just one backend server when
        two of them answered its opening packets.
        """
        if held.is_open or held.server_sequence is None:
            return held.is_open
        ahead = packets.sequence_distance(
            packet.acknowledged, held.server_sequence
        )
        return 0 < ahead < MAX_SEQUENCE_DISTANCE

    def on_client_packet(
        self, held: FlowState, packet: packets.Packet, now: float
    ) -> None:
        """Note a packet of the client on a flow that opened here."""
        held.is_open = True
        held.last_seen_at = now
        held.acknowledged = packet.acknowledged
        if packet.length and not held.request_started_at:
            held.request_started_at = now
            held.is_overdue = False
            held.has_sent_request = True
            self.busy += 1
        if packet.flags & packets.FLAG_FIN:
            held.client_closed = True
            if held.server_closed:
                self._fail_request(held, now)

    def on_backend_server_packet(
        self, packet: packets.Packet, now: float
    ) -> FlowState:
        """Note a packet of the backend server; it shows that it holds it."""
        held = self.flows.get(packet.flow)
        if held is None:
            held = FlowState(now)
            self.flows[packet.flow] = held
            held.is_open = not packet.flags & packets.FLAG_SYN
        held.last_seen_at = now
        held.server_last_seen_at = now
        if packet.flags & packets.FLAG_SYN:
            held.server_sequence = packet.sequence
            return held
        if packet.length:
            self._finish_request(packet.flow, held, now)
        if packet.flags & (packets.FLAG_FIN | packets.FLAG_RST):
            # The answer may follow a FIN that overtook it.
            held.server_closed = True
        if packet.is_reset:
            held.client_closed = True
            self._fail_request(held, now)
        return held

    def remove(self, flow: bytes) -> None:
        """Forget a flow."""
        held = self.flows.pop(flow, None)
        if held is not None:
            self._clear_request(held)

    def expire(self, now: float, idle_s: float) -> int:
        """Forget flows that ended, never opened or went idle.

        Returns:
            How many were forgotten.
        """
        due = [
            flow
            for flow, held in self.flows.items()
            if now - held.last_seen_at > _retention_s(held, idle_s)
        ]
        for flow in due:
            self.remove(flow)
        return len(due)

    def record_overdue(self, now: float) -> None:
        """Note the requests that have waited too long for an answer."""
        since = now - outcomes.overdue_threshold_s(self.service_s)
        for held in self.flows.values():
            if 0 < held.request_started_at < since and not held.is_overdue:
                held.is_overdue = True
                self.outcomes.record(now, failed=True)

    def open_flows(self) -> abc.Iterator[tuple[bytes, FlowState]]:
        """Yield the flows that are open."""
        for flow, held in self.flows.items():
            if held.is_open and not held.is_closed:
                yield flow, held

    def opening_count(self, now: float) -> int:
        """Return how many flows opened of late and have sent no request."""
        since = now - FIRST_REQUEST_S
        return sum(
            held.opened_at > since and not held.has_sent_request
            for held in self.flows.values()
        )

    def open_count(self) -> int:
        """Return how many flows are open or opening."""
        return sum(not held.is_closed for held in self.flows.values())

    def _finish_request(self, flow: bytes, held: FlowState, now: float) -> None:
        if not held.request_started_at:
            return
        took_s = now - held.request_started_at
        if not held.is_overdue:
            self.outcomes.record(now, failed=False)
        self.service_s += (took_s - self.service_s) * SERVICE_TIME_SMOOTHING
        self.observe_service_time(flow, took_s)
        self._clear_request(held)

    def _fail_request(self, held: FlowState, now: float) -> None:
        """Note that a request, if there is one, gets no answer any more."""
        if held.request_started_at and not held.is_overdue:
            self.outcomes.record(now, failed=True)
        self._clear_request(held)

    def _clear_request(self, held: FlowState) -> None:
        if held.request_started_at:
            held.request_started_at = 0
            self.busy -= 1


def _retention_s(held: FlowState, idle_s: float) -> float:
    if held.is_closed:
        return CLOSED_LINGER_S
    if not held.is_open:
        return HALF_OPEN_TIMEOUT_S
    return idle_s


def _ignore(_flow: bytes, _seconds: float) -> None:
    """Take a service time that nobody measures."""
