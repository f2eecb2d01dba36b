"""Flow table of an agent, tracked by the packets of its backend server."""

import collections
import typing
from collections import abc

from kumquatport.connection.packets import (
    flow_rates,
    outcomes,
    pending_work,
    service_times,
)
from kumquatport.connection.packets import packet as packets

# Largest distance of sequence numbers within one flow: a few times what one end
# may have in flight.
MAX_SEQUENCE_DISTANCE: typing.Final = 1 << 17

# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING: typing.Final = 0.1

# Seconds from the opening packet of a flow to the client's first request.
FIRST_REQUEST_S: typing.Final = 0.1

# Seconds that a closed flow is kept for late retransmissions of its packets.
CLOSED_LINGER_S: typing.Final = 4.0

# Seconds after which a flow that never opened is removed; clients give up
# opening after 1.4 s.
HALF_OPEN_TIMEOUT_S: typing.Final = 3.0


class FlowState:
    """State of one flow at the backend server.

    Attributes:
        acknowledged: Last number that the client acknowledged.
        data_end: Sequence number after the last data of the client, 0 before
            the first.
        client_closed: Whether the client's end is closed.
        client_sequence: Sequence number of the opening packet, None if it was
            not seen.
        has_sent_request: Whether the client has sent a request.
        is_counted: Whether the request in progress is part of the pending work.
        is_open: Whether the handshake is complete.
        is_overdue: Whether the request in progress counts as failed already.
        has_met_free_slot: Whether a slot was free when the request in progress
            was complete.
        last_seen_at: Monotonic time in seconds of the last packet.
        opened_at: Monotonic time in seconds when the flow was added.
        request_started_at: Monotonic time in seconds of the request in
            progress, 0 for none.
        route: Address and port that the client calls; None before a packet
            has been seen.
        server_closed: Whether the backend server's end is closed.
        server_last_seen_at: Monotonic time in seconds of the last packet of
            the backend server.
        server_sequence: Initial sequence number of the backend server, None if
            its answer to the opening packet was not seen.
        work_s: Expected work of the request in progress, in seconds.
        work_started_at: Monotonic time in seconds of the last new data of the
            request in progress.
    """

    __slots__ = (
        'acknowledged',
        'client_closed',
        'client_sequence',
        'data_end',
        'has_met_free_slot',
        'has_sent_request',
        'is_counted',
        'is_open',
        'is_overdue',
        'last_seen_at',
        'opened_at',
        'request_started_at',
        'route',
        'server_closed',
        'server_last_seen_at',
        'server_sequence',
        'work_s',
        'work_started_at',
    )

    def __init__(self, now: float) -> None:
        """Create a half-open flow.

        Args:
            now: Monotonic time in seconds.
        """
        self.opened_at = now
        self.last_seen_at = now
        self.is_open = False
        self.server_sequence: int | None = None
        self.server_last_seen_at = now
        self.acknowledged = 0
        self.client_sequence: int | None = None
        self.client_closed = False
        self.server_closed = False
        self.request_started_at: float = 0
        self.route: service_times.RouteKey | None = None
        self.is_counted = False
        self.work_s: float = 0
        self.work_started_at: float = 0
        self.data_end = 0
        self.has_met_free_slot = False
        self.is_overdue = False
        self.has_sent_request = False

    @property
    def is_closed(self) -> bool:
        """Return whether both ends have closed."""
        return self.client_closed and self.server_closed


ServiceTimeObserver = abc.Callable[[bytes, float], None]


class FlowTable:
    """The flows of one backend server.

    Attributes:
        flows: State of each flow by its key.
        busy: Requests in progress.
        service_s: Moving average of the seconds to the first byte of an answer.
        observe_service_time: Called with the flow and those seconds for each
            answer.
        outcomes: Outcomes of recent requests.
        pending: Work that the backend server has accepted and not finished.
        service_times: Service times of requests that met a free slot.
        slots: Requests that the backend server processes concurrently, 0
            before it has reported.
        flows_by_route: Number of flows of each route, half-open and recently
            closed ones included.
        rates: Requests per second that the flows of each route carry.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.flows: dict[bytes, FlowState] = {}
        self.busy = 0
        self.service_s: float = 0
        self.observe_service_time: ServiceTimeObserver = _ignore
        self.outcomes = outcomes.RequestOutcomes()
        self.pending = pending_work.PendingWork()
        self.service_times = service_times.ServiceTimes()
        self.slots = 0
        self.flows_by_route: collections.Counter[service_times.RouteKey] = (
            collections.Counter()
        )
        self.rates = flow_rates.FlowRates()

    def __len__(self) -> int:
        """Return the number of flows, half-open and closed ones included."""
        return len(self.flows)

    def get(self, flow: bytes) -> FlowState | None:
        """Return the state of a flow, None if it is not in the table."""
        return self.flows.get(flow)

    def add(self, flow: bytes, now: float) -> FlowState:
        """Track a flow whose opening packet is delivered.

        Args:
            flow: Key of the flow.
            now: Monotonic time in seconds.
        """
        state = self.flows.get(flow)
        if state is None:
            state = FlowState(now)
            self.flows[flow] = state
        state.last_seen_at = now
        return state

    def add_open(self, flow: bytes, now: float) -> FlowState:
        """Track an open flow whose handshake this process did not see.

        Args:
            flow: Key of the flow.
            now: Monotonic time in seconds.
        """
        state = self.add(flow, now)
        state.is_open = True
        return state

    def add_opening(self, packet: packets.Packet, now: float) -> None:
        """Track a flow whose opening packet is delivered.

        A flow in the table with the same key is kept unless it is closed: the
        sender of the packet is not verified.

        Args:
            packet: The opening packet.
            now: Monotonic time in seconds.
        """
        state = self.flows.get(packet.flow)
        if state is not None and state.is_closed:
            self.remove(packet.flow)
        state = self.add(packet.flow, now)
        state.client_sequence = packet.sequence
        self._set_route(state, packet)
        state.data_end = 0
        self.pending.admit(packet.flow, self._expected_work_s(packet, now), now)

    def has_opening(self, packet: packets.Packet, now: float) -> bool:
        """Return whether an opening packet is one of a flow in the table.

        Otherwise it opens a new flow: clients use their ports again.

        Args:
            packet: The opening packet.
            now: Monotonic time in seconds.
        """
        state = self.flows.get(packet.flow)
        if state is None:
            return False
        if state.client_sequence is None:
            return now - state.opened_at <= HALF_OPEN_TIMEOUT_S
        return state.client_sequence == packet.sequence

    def is_same_flow(self, state: FlowState, packet: packets.Packet) -> bool:
        """Return whether a client's packet belongs to the flow opened here.

        If two backend servers answered opening packets of the client, it
        acknowledges the sequence number of only one of them.
        """
        if state.is_open or state.server_sequence is None:
            return state.is_open
        ahead = packets.sequence_distance(
            packet.acknowledged, state.server_sequence
        )
        return 0 < ahead < MAX_SEQUENCE_DISTANCE

    def on_client_packet(
        self, state: FlowState, packet: packets.Packet, now: float
    ) -> None:
        """Update a flow that opened here with a packet of its client.

        Args:
            state: State of the flow.
            packet: The packet.
            now: Monotonic time in seconds.
        """
        state.is_open = True
        state.last_seen_at = now
        state.acknowledged = packet.acknowledged
        self._set_route(state, packet)
        if packet.length:
            self._on_request_data(state, packet, now)
        if packet.flags & packets.FLAG_FIN:
            state.client_closed = True
            if state.server_closed:
                self._fail_request(state, now)

    def on_backend_server_packet(
        self, packet: packets.Packet, now: float
    ) -> FlowState:
        """Update a flow with a packet of the backend server.

        The packet shows that the backend server holds the flow, so an unknown
        flow is added.

        Args:
            packet: The packet.
            now: Monotonic time in seconds.
        """
        state = self.flows.get(packet.flow)
        if state is None:
            state = FlowState(now)
            self.flows[packet.flow] = state
            state.is_open = not packet.flags & packets.FLAG_SYN
        self._set_route(state, packet)
        state.last_seen_at = now
        state.server_last_seen_at = now
        if packet.flags & packets.FLAG_SYN:
            state.server_sequence = packet.sequence
            return state
        if packet.length:
            self._finish_request(packet, state, now)
        if packet.flags & (packets.FLAG_FIN | packets.FLAG_RST):
            # A FIN may overtake the answer, so it does not fail the request.
            state.server_closed = True
        if packet.is_reset:
            state.client_closed = True
            self._fail_request(state, now)
        return state

    def remove(self, flow: bytes) -> None:
        """Remove a flow if it is in the table."""
        state = self.flows.pop(flow, None)
        if state is None:
            return
        self.pending.forget(flow)
        self._clear_request(state)
        if state.route is not None:
            self.flows_by_route[state.route] -= 1
            if not self.flows_by_route[state.route]:
                self.flows_by_route.pop(state.route)

    def expire(self, now: float, idle_s: float) -> int:
        """Remove flows that have closed, never opened or timed out.

        Args:
            now: Monotonic time in seconds.
            idle_s: Idle timeout of open flows in seconds.

        Returns:
            Number of removed flows.
        """
        due = [
            flow
            for flow, state in self.flows.items()
            if now - state.last_seen_at > _retention_s(state, idle_s)
        ]
        for flow in due:
            self.remove(flow)
        return len(due)

    def record_overdue(self, now: float) -> None:
        """Record overdue requests as failed.

        Args:
            now: Monotonic time in seconds.
        """
        since = now - outcomes.overdue_threshold_s(self.service_s)
        for state in self.flows.values():
            if 0 < state.request_started_at < since and not state.is_overdue:
                state.is_overdue = True
                # It may never be answered and would block the queue.
                self._stop_counting(state)
                self.outcomes.record(now, failed=True)

    def open_flows(self) -> abc.Iterator[tuple[bytes, FlowState]]:
        """Yield the open flows."""
        for flow, state in self.flows.items():
            if state.is_open and not state.is_closed:
                yield flow, state

    def opening_count(self, now: float) -> int:
        """Return the number of recently opened flows without a request yet.

        Args:
            now: Monotonic time in seconds.
        """
        since = now - FIRST_REQUEST_S
        return sum(
            state.opened_at > since and not state.has_sent_request
            for state in self.flows.values()
        )

    def open_count(self) -> int:
        """Return the number of open and half-open flows."""
        return sum(not state.is_closed for state in self.flows.values())

    def committed_s(self, now: float) -> float:
        """Return the seconds of work in each second that the flows will send.

        Args:
            now: Monotonic time in seconds.
        """
        mean_s = self.service_times.overall_mean_s(now) or 0
        total_s: float = 0
        for route, count in self.flows_by_route.items():
            work_s = self.service_times.mean_s(route, now) or mean_s
            total_s += count * self.rates.per_s(route) * work_s
        return total_s

    def _set_route(self, state: FlowState, packet: packets.Packet) -> None:
        if state.route is None:
            state.route = (packet.service_address, packet.service_port)
            self.flows_by_route[state.route] += 1

    def _on_request_data(
        self, state: FlowState, packet: packets.Packet, now: float
    ) -> None:
        """Start a request, or continue it by new data.

        Work begins with the last packet of a request: an upload through a
        narrow link takes longer than the work, and occupies no slot meanwhile.
        A retransmission does not count as new data.
        """
        if not state.request_started_at:
            state.request_started_at = now
            state.is_overdue = False
            state.has_sent_request = True
            state.has_met_free_slot = False
            self.busy += 1
            self.pending.forget(packet.flow)
            if state.route is not None:
                self.rates.note_request(state.route, state.opened_at)
        data_end = (packet.sequence + packet.length) & packets.SEQUENCE_MASK
        ahead = (data_end - state.data_end) & packets.SEQUENCE_MASK
        if state.data_end and not 0 < ahead < MAX_SEQUENCE_DISTANCE:
            return
        state.data_end = data_end
        state.work_started_at = now
        is_last = packet.length < packets.MAX_DATA_BYTES
        if is_last and not state.is_counted and not state.is_overdue:
            state.is_counted = True
            state.work_s = self._expected_work_s(packet, now)
            self.pending.start(packet.flow, state.work_s, now)
        is_slot_free = self.pending.requests <= self.slots
        state.has_met_free_slot = state.is_counted and is_slot_free

    def _finish_request(
        self, packet: packets.Packet, state: FlowState, now: float
    ) -> None:
        """Record the answer to the request in progress, if there is one."""
        if not state.request_started_at:
            return
        took_s = now - state.request_started_at
        self.pending.progress_at = now
        if not state.is_overdue:
            self.outcomes.record(now, failed=False)
        self.service_s += (took_s - self.service_s) * SERVICE_TIME_SMOOTHING
        self.observe_service_time(packet.flow, took_s)
        if state.has_met_free_slot:
            route = (packet.service_address, packet.service_port)
            work_s = now - state.work_started_at
            self.service_times.record(route, work_s, now)
        self._clear_request(state)

    def _fail_request(self, state: FlowState, now: float) -> None:
        """Record that the request in progress, if any, gets no answer."""
        if state.request_started_at and not state.is_overdue:
            self.outcomes.record(now, failed=True)
        self._clear_request(state)

    def _clear_request(self, state: FlowState) -> None:
        if state.request_started_at:
            state.request_started_at = 0
            self.busy -= 1
        self._stop_counting(state)

    def _stop_counting(self, state: FlowState) -> None:
        """Remove the request in progress from the pending work."""
        if state.is_counted:
            state.is_counted = False
            self.pending.end(state.work_s)

    def _expected_work_s(self, packet: packets.Packet, now: float) -> float:
        """Return the mean work of a route, or of all if it is unknown."""
        route = (packet.service_address, packet.service_port)
        mean_s = self.service_times.mean_s(route, now)
        if mean_s is None:
            mean_s = self.service_times.overall_mean_s(now)
        return mean_s or 0


def _retention_s(state: FlowState, idle_s: float) -> float:
    if state.is_closed:
        return CLOSED_LINGER_S
    if not state.is_open:
        return HALF_OPEN_TIMEOUT_S
    return idle_s


def _ignore(_flow: bytes, _seconds: float) -> None:
    """Discard a service time; default until an observer is set."""
