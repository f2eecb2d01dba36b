"""Packets between the balancers and the backend server of an agent."""

import math
import typing
from collections import abc

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import (
    admission,
    admission_queue,
    cold_start,
    flow_table,
    frame,
    pending_queries,
    registrars,
    registration,
    unanswered_data,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    admission_control,
    backend_server,
    capacity_reporter,
    decision_log,
    known_configuration,
    mass_restart,
    mesh,
    messages,
    models,
    udp_sockets,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)

# Seconds between the exit notice of a backend server and each check whether its
# process has ended, which may take a moment.
EXIT_CHECK_INTERVAL_S: typing.Final = 0.25

# Maximum number of flow keys stored for flows that balancers expect this agent
# to hold, and for flows that its backend server does not hold.
MAX_HINTS: typing.Final = 100_000


class AgentDatapath:
    """Transfers the packets of one backend server and admits new flows.

    Attributes:
        is_leaving: Whether the agent is about to stop.
        has_left: Whether the agent has announced that it will not return.
        backend_server: State of the backend server.
        openings: Opening packets that wait for the backend server.
    """

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        configuration: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
        deliver: abc.Callable[[bytes], object],
    ) -> None:
        """Start with an empty flow table.

        Args:
            settings: Settings of this process.
            codec: Packet codec.
            configuration: Configuration known to this process.
            peers: Mesh of the other instances.
            deliver: Sends a packet to the backend server.
        """
        self.is_leaving = False
        self.has_left = False
        self.backend_server = backend_server.BackendServer(settings.heartbeat_s)
        self._settings = settings
        self._codec = codec
        self._configuration = configuration
        self._mesh = peers
        self._deliver_datagram = deliver
        self._flows = flow_table.FlowTable()
        self._hinted_flows: set[bytes] = set()
        self._bounced_flows: set[bytes] = set()
        self._registrars = registrars.Registrars()
        self._registration = registration.FlowRegistration()
        self._cold_limiter = cold_start.ColdStartLimiter(
            settings.bounds.cold_factor, settings.bounds.cold_slack
        )
        self._log = decision_log.DecisionLog(_LOGGER, codec.format_flow)
        self.openings = admission_control.AdmissionControl(
            self._flows,
            self._log,
            admission_control.Actions(
                self._admit_queued,
                self._return_packet,
                self._admission_conditions,
                self._refusal_reason,
                self._mesh.instance_at,
                self._is_departed,
            ),
        )
        self._knows_all_flows = False
        self._started_at = clock.now()
        self._stated_server_start = -math.inf
        self._was_failing = False
        self._pending_queries = pending_queries.PendingQueries()
        self._unanswered_data = unanswered_data.UnansweredData()
        self._capacity_reporter = capacity_reporter.CapacityReporter(
            settings.service,
            configuration,
            self._flows,
            self.expected_wait_s,
        )

    @property
    def state(self) -> str:
        """Return the state that this instance announces to its peers."""
        if self.has_left:
            return members_const.STATE_GONE
        if self.is_leaving:
            return members_const.STATE_LEAVING
        if self.backend_server.is_gone:
            return members_const.STATE_VACANT
        return members_const.STATE_READY

    @property
    def busy(self) -> int:
        """Return the number of requests in progress."""
        return self._flows.busy

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return the number of times that each decision was taken."""
        return self._log.counts

    @property
    def admissions(self) -> abc.Mapping[str, float]:
        """Return the opening packets by service, priority and outcome."""
        service = self._settings.service
        return {
            f'{service}/{priority}/{outcome}': count
            for (priority, outcome), count in self.openings.outcomes.items()
        }

    def expected_wait_s(self, priority: int) -> float | None:
        """Return the seconds that a new request would wait for a slot.

        Args:
            priority: Its priority; 0 is the highest.

        Returns:
            The seconds; None if they are unknown.
        """
        return self.openings.expected_wait_s(priority)

    def mean_work_s(self) -> float | None:
        """Return the mean work of a request in seconds; None if unknown."""
        return self.openings.mean_work_s()

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the current values of the gauges."""
        load = self.load()
        return {
            'busy': load.busy,
            'queued': len(self.openings),
            'flows': load.flows,
            'slots': load.slots,
            'accepts': load.accepts,
            'cold': load.is_cold,
            'beliefs_age_s': self._configuration.reported_age_s,
            'routes_version': self._configuration.routes_version,
            'store_era': self._configuration.store_era,
            'members': len(self._mesh.registry),
        }

    def observe_service_times(
        self, observe: abc.Callable[[str, float], None]
    ) -> None:
        """Report each service time with the service address of its flow.

        Args:
            observe: Called with the address and port, and the seconds.
        """

        def record(flow: bytes, seconds: float) -> None:
            route = self._codec.format_flow(flow).partition('>')[2]
            observe(route, seconds)

        self._flows.observe_service_time = record

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings
        self.backend_server.heartbeat_s = settings.heartbeat_s
        self._cold_limiter.factor = settings.bounds.cold_factor
        self._cold_limiter.slack = settings.bounds.cold_slack

    def handle_report(self, report: models.BackendServerReport) -> bool:
        """Handle a heartbeat of the backend server.

        Returns:
            Whether it changed anything that must be announced at once.

        Raises:
            HeartbeatRejectedError: It is of another writer.
        """
        server = self.backend_server
        try:
            backend_server.check_writer(report, server.report, self._settings)
        except exceptions.HeartbeatRejectedError:
            self._log.counts['heartbeat refused'] += 1
            if backend_server.is_of_other_service(report, self._settings):
                server.note_other_service(report)
            raise
        before = (server.is_draining, server.is_gone)
        incarnation = server.update(report)
        if server.report is not None:
            self._flows.slots = server.report.slots
        if incarnation is not None:
            self._on_started(incarnation)
        is_changed = before != (server.is_draining, server.is_gone)
        return is_changed or incarnation is not None

    def expire(self) -> None:
        """Remove expired flows and log the number of omitted log lines."""
        now = clock.now()
        self._flows.rates.measure(self._flows.flows_by_route, now)
        flow_ttl_s = self._settings.bounds.flow_ttl_s
        self._flows.expire(now, flow_ttl_s)
        if not self._knows_all_flows and now - self._started_at > flow_ttl_s:
            # Flows that opened before this process started have expired.
            self._mark_all_flows_known()
        self._pending_queries.expire(now)
        self._log.flush()

    def _on_started(self, incarnation: backend_server.NewIncarnation) -> None:
        """Reset the flows that ended with an earlier incarnation.

        Packets sent before the new one started, and before the earlier one's
        last heartbeat, were the earlier one's. The heartbeat alone does not
        tell: it may have arrived late. Flows with later packets may belong to
        either incarnation and are kept: the new one bounces their packets if
        it does not hold them.
        """
        self._flows.outcomes.clear()
        self._stated_server_start = incarnation.stated_start
        self._unanswered_data.clear()
        self._flows.service_times.clear()
        if incarnation.started_after >= self._started_at:
            # All flows of this incarnation have passed through this process.
            self._mark_all_flows_known()
        if math.isfinite(incarnation.previous_heartbeat_at):
            self._reset_flows_until(
                min(
                    incarnation.previous_heartbeat_at, incarnation.started_after
                ),
                'backend_server_restarted',
            )

    def _reset_flows_until(self, moment: float, reason: str) -> None:
        """Reset the flows without packets from the backend server since a time.

        Args:
            moment: Monotonic seconds.
            reason: Reason for the log.
        """
        for flow, state in tuple(self._flows.flows.items()):
            if state.server_last_seen_at <= moment:
                self._reset_lost_flow(flow, state, reason)

    def note_absent(
        self,
        checked_at: float,
        udp_socket: udp_sockets.SocketState | None = None,
    ) -> bool:
        """Handle a connection that the backend server's port refused.

        A backend server that is leaving may have closed its listener only; it
        keeps its open flows until something else shows that its process has
        ended. Any other one was not running at that time. This agent was, so
        all flows of a later incarnation pass through it.

        Args:
            checked_at: Monotonic seconds of the check.
            udp_socket: State of the UDP socket at the port; None if unknown.
                If none is bound, no process receives packets.

        Returns:
            Whether this changed anything that must be announced at once.
        """
        if self._may_serve_open_flows(udp_socket):
            was_draining = self.backend_server.is_draining
            self.backend_server.note_listener_closed(checked_at)
            if udp_socket is None or not udp_socket.has_unread:
                self._reset_unanswered_flows()
            return self.backend_server.is_draining != was_draining
        self._mark_all_flows_known()
        is_gone = self.backend_server.note_absent(
            checked_at, is_assumed=udp_socket is None or udp_socket.is_bound
        )
        if is_gone:
            self._reset_flows_until(checked_at, 'backend_server_gone')
        return is_gone

    def check_mass_restart(self) -> None:
        """Mark all flows as known if the backend server started with the agents.

        After a loss of power of all hosts a backend server may start before its
        agent. No earlier agent has passed flows to it. The few instances that
        an agent meets first may have started with it by chance, so its members
        have to come from the store.
        """
        if self._knows_all_flows or math.isinf(self._stated_server_start):
            return
        if self._mesh.is_informed and mass_restart.is_part_of(
            self._stated_server_start,
            self._started_at,
            self._mesh.starts(),
            clock.now(),
        ):
            self._mark_all_flows_known()

    def note_reported_draining(self) -> bool:
        """Handle a peer's report that the backend server was draining.

        This process has restarted since then. If it has already taken a closed
        listener for the end of the backend server, it takes that back: the
        backend server may hold flows that this process has not seen.

        Returns:
            Whether this changed anything that must be announced at once.
        """
        if not self.backend_server.note_reported_draining():
            return False
        self._knows_all_flows = False
        return True

    def _may_serve_open_flows(
        self, udp_socket: udp_sockets.SocketState | None
    ) -> bool:
        """Return whether a refused connection leaves open flows possible.

        Args:
            udp_socket: State of the UDP socket at the port; None if unknown.
        """
        if udp_socket is not None and not udp_socket.is_bound:
            return False
        if not self._knows_all_flows or self._flows.open_count():
            return self.backend_server.may_serve_without_listener(
                is_socket_bound=udp_socket is not None
            )
        return False

    def _reset_unanswered_flows(self) -> None:
        """Reset the flows whose data a leaving backend server ignores."""
        due = self._unanswered_data.check(
            clock.now(), self.backend_server.last_active_at
        )
        for flow in due:
            state = self._flows.get(flow)
            if state is not None:
                self._reset_lost_flow(flow, state, 'unanswered')

    def _mark_all_flows_known(self) -> None:
        """Mark all flows as known and answer the pending queries.

        Packets of flows that are not held here are returned to their senders.
        """
        self._knows_all_flows = True
        self._bounced_flows.clear()
        for packet, sender, _ in self._pending_queries.pop_all(clock.now()):
            if self._flows.get(packet.flow) is None:
                self._return_packet(packet, frame.REASON_NOT_HELD, sender)

    def _reset_lost_flow(
        self, flow: bytes, state: flow_table.FlowState, reason: str
    ) -> None:
        """Drop a flow and, if it was open, send its client a reset."""
        self._flows.remove(flow)
        if not state.is_open or state.is_closed:
            return
        self._log.note('flow lost', flow, reason=reason)
        self._mesh.send_to_client(
            self._codec.build_reset(flow, state.acknowledged),
            self._codec.client_address(flow),
        )

    def on_frame(self, datagram: bytes, sender: str) -> None:
        """Handle a frame from a balancer.

        Args:
            datagram: The frame.
            sender: Address of the balancer.
        """
        if datagram[0] == frame.KIND_HELD:
            if len(self._hinted_flows) < MAX_HINTS:
                self._hinted_flows.update(frame.unpack_flows(datagram))
            return
        if datagram[0] == frame.KIND_HOLDS:
            self._answer_questions(frame.unpack_flows(datagram), sender)
            return
        message = frame.unpack(datagram)
        if message is None or message.kind != frame.KIND_FORWARD:
            return
        packet = self._codec.parse_client_packet(message.datagram)
        if packet is None:
            return
        if packet.is_opening:
            self._handle_opening(packet, message, sender)
            if message.detail & frame.FORWARD_REPORT_LOAD:
                self._mesh.send_load(sender)
        else:
            self._handle_established(packet, message, sender)

    def _handle_opening(
        self, packet: packets.Packet, message: frame.Frame, sender: str
    ) -> None:
        """Deliver an opening packet, queue it, or return it with a reason."""
        now = clock.now()
        if self._flows.has_opening(packet, now):
            self._deliver(packet, sender)
            return
        if self.openings.replace_copy(packet, sender):
            return
        version = message.routes_version
        reason = self._refusal_reason(packet, version)
        if reason:
            self._return_opening(packet, reason, sender, version)
        elif not self._settings.schedules_by_class or not self.openings.hold(
            packet, sender, version, self._route(packet)
        ):
            self._admit(packet, sender, version)

    def _admit_queued(self, opening: admission_queue.Opening) -> None:
        """Deliver an opening packet that has waited."""
        self._admit(opening.packet, opening.sender, opening.routes_version)

    def _admit(
        self, packet: packets.Packet, sender: str, sender_version: int
    ) -> None:
        """Deliver an opening packet, unless a cold start limits new flows."""
        reason = self._cold_reason()
        if reason:
            self._return_opening(packet, reason, sender, sender_version)
            return
        self._log.note(
            'flow offered',
            packet.flow,
            copy=packet.acknowledged,
            busy=self._flows.busy,
            flows=len(self._flows),
            cold=self.backend_server.is_cold,
            routes_version=self._configuration.routes_version,
            sender_version=sender_version,
        )
        self._flows.add_opening(packet, clock.now())
        self._bounced_flows.discard(packet.flow)
        self.backend_server.note_opening(packet.flow)
        self._deliver(packet, sender)

    def _return_opening(
        self,
        packet: packets.Packet,
        reason: int,
        sender: str,
        sender_version: int,
    ) -> None:
        self._log.note(
            'flow returned',
            packet.flow,
            reason=frame.REASON_NAMES[reason],
            copy=packet.acknowledged,
            busy=self._flows.busy,
            routes_version=self._configuration.routes_version,
            sender_version=sender_version,
        )
        self._return_packet(packet, reason, sender)
        if reason == frame.REASON_OTHER_SERVICE:
            self._introduce(sender)

    def _refusal_reason(
        self, packet: packets.Packet, sender_version: int
    ) -> int:
        """Return the reason for refusing a new flow, 0 to accept it.

        Args:
            packet: The opening packet.
            sender_version: Version of the balancer's routes.
        """
        table = self._configuration.routes
        own_tag = packets.service_tag(self._settings.service)
        return admission.refusal_reason(
            admission.AdmissionInputs(
                is_draining=self.backend_server.is_draining,
                is_responsive=self.backend_server.is_responsive()
                or self.backend_server.admit_probe(),
                is_domain_out=self._is_own_domain_out(),
                is_leaving=self.is_leaving,
                is_route_allowed=table is not None
                and table.allows(
                    packet.service_address,
                    packet.service_port,
                    self._settings.service,
                ),
                is_allowed_by_newer=packet.service_tag == own_tag
                and sender_version > self._configuration.routes_version,
                is_warm=self.backend_server.is_warm,
                busy=self._flows.busy,
                slots=self._slots(),
                is_unconfirmed=self._mesh.pause_recovery.is_unconfirmed(),
                opening_flows=self._count_opening(),
                uptime_s=clock.now() - self._started_at,
                is_for_other_service=packet.service_tag
                not in {own_tag, packets.NO_SERVICE_TAG},
            )
        )

    def _admission_conditions(self) -> tuple[typing.Any, ...]:
        """Return what the refusal of a queued opening packet depends on."""
        server = self.backend_server
        return (
            (server.is_draining, server.is_responsive(), server.is_warm),
            self.is_leaving,
            self._is_own_domain_out(),
            self._mesh.pause_recovery.is_unconfirmed(),
            self._configuration.routes_version,
        )

    def _cold_reason(self) -> int:
        """Count a new flow; return the reason for refusing it, 0 for none."""
        now = clock.now()
        per_s = self._cold_per_s()
        if not self.backend_server.is_cold or per_s <= 0:
            self._cold_limiter.record(now)
            return 0
        return (
            0
            if self._cold_limiter.try_acquire(per_s, now)
            else frame.REASON_COLD
        )

    def _is_departed(self, balancer: str) -> bool:
        """Return whether a balancer has stopped since its name was known.

        Args:
            balancer: Its name; empty if it was not known.
        """
        record = self._mesh.registry.get(balancer)
        is_lost = record is None or members.is_departed(record)
        return bool(balancer) and is_lost

    def _route(self, packet: packets.Packet) -> routes.Route | None:
        table = self._configuration.routes
        key = (packet.service_address, packet.service_port)
        return table.routes.get(key) if table else None

    def _introduce(self, balancer: str) -> None:
        """Greet a balancer that still knows the former owner of the address.

        Args:
            balancer: Address of the balancer.
        """
        if not self._mesh.instance_at(balancer):
            self._mesh.greet((balancer,))

    def _count_opening(self) -> int:
        """Return the number of flows that have not sent a request yet.

        It is counted only while clients may reconnect all at once, before the
        backend server is warm; otherwise it is 0.
        """
        now = clock.now()
        is_startup_burst = now - self._started_at <= admission.STARTUP_BURST_S
        if self.backend_server.is_warm or not is_startup_burst:
            return 0
        return self._flows.opening_count(now)

    def _slots(self) -> int:
        """Return the request slots, a default before the first report."""
        server = self.backend_server
        return server.slots if server.report else admission.DEFAULT_SLOTS

    def _cold_per_s(self) -> float:
        """Return the limit of new flows per second while cold, 0 for none."""
        table = self._configuration.routes
        rule = table and table.services.get(self._settings.service)
        return rule.warmup_flows_per_s if rule else 0

    def _is_own_domain_out(self) -> bool:
        return self._settings.failure_domain in self._configuration.domains_out

    def _handle_established(
        self, packet: packets.Packet, message: frame.Frame, sender: str
    ) -> None:
        """Deliver a packet of an established flow held here, or return it."""
        state = self._flows.get(packet.flow)
        is_query = bool(message.detail & frame.FORWARD_QUERY)
        if state is None:
            self._handle_unknown(packet, message, sender)
            return
        if not self._flows.is_same_flow(state, packet):
            # The flow was opened at another backend server. This one has it
            # half open and would answer the packet with a reset.
            self._return_packet(packet, frame.REASON_NOT_HELD, sender)
            return
        self._flows.on_client_packet(state, packet, clock.now())
        if is_query:
            reply = frame.pack_flows(frame.KIND_HELD, (packet.flow,))
            self._mesh.send(reply, sender)
        if packet.length and self.backend_server.is_listener_closed:
            self._unanswered_data.add(
                packet.flow, clock.now(), self.backend_server.last_active_at
            )
        self._deliver(packet, sender)

    def _answer_questions(
        self, flows: abc.Iterable[bytes], sender: str
    ) -> None:
        """Tell a balancer which flows are held here, and which are not.

        Whether a flow that is half open here is the client's, or one is held
        that balancers expect here, only a packet tells: the question is
        returned, and the balancer sends one. There is no answer about any other
        flow while this agent may not know all of them.
        """
        answers: dict[int, list[bytes]] = {}
        for flow in flows:
            kind = self._answer_about(flow)
            if kind is not None:
                answers.setdefault(kind, []).append(flow)
        for kind, answered in answers.items():
            self._mesh.send_flows(kind, answered, sender)

    def _answer_about(self, flow: bytes) -> int | None:
        """Return the kind of the answer about a flow, None for no answer."""
        state = self._flows.get(flow)
        if state is not None:
            return frame.KIND_HELD if state.is_open else frame.KIND_HOLDS
        self.openings.discard(flow)
        if self._knows_all_flows:
            return frame.KIND_NOT_HELD
        return frame.KIND_HOLDS if flow in self._hinted_flows else None

    def _handle_unknown(
        self, packet: packets.Packet, message: frame.Frame, sender: str
    ) -> None:
        """Deliver a packet of an unknown flow only if it may be held here."""
        self.openings.discard(packet.flow)
        if self._knows_all_flows or packet.flow in self._bounced_flows:
            self._return_packet(packet, frame.REASON_NOT_HELD, sender)
            return
        self._pending_queries.add(
            pending_queries.PendingQuery(packet, sender, clock.now())
        )
        is_query = bool(message.detail & frame.FORWARD_QUERY)
        may_probe = bool(message.detail & frame.FORWARD_PROBE)
        if not is_query or may_probe or packet.flow in self._hinted_flows:
            self._deliver(packet, sender)

    def _deliver(self, packet: packets.Packet, sender: str) -> None:
        mark = packets.mark_from_address(sender)
        self._deliver_datagram(self._codec.with_mark(packet.datagram, mark))

    def _return_packet(
        self, packet: packets.Packet, reason: int, address: str
    ) -> None:
        message = frame.pack(
            frame.KIND_RETURN,
            reason,
            self._configuration.routes_version,
            packet.datagram,
        )
        self._mesh.send(message, address)

    def on_outbound(self, datagram: bytes, _sender: tuple[str, int]) -> None:
        """Handle a packet that the backend server sent or bounced."""
        packet = self._codec.parse_backend_server_packet(datagram)
        if packet is None:
            return
        if packet.is_bounced:
            self._on_bounced(packet)
            return
        self.backend_server.note_packet(packet.flow)
        state = self._flows.get(packet.flow)
        if packet.is_reset and (state is None or not state.is_open):
            # The flow may be open at another backend server.
            self._log.note('reset held back', packet.flow)
            return
        self._flows.on_backend_server_packet(packet, clock.now())
        self._mesh.send_to_client(datagram, packet.client_address)
        self.openings.release()

    def _on_bounced(self, packet: packets.Packet) -> None:
        """Return a bounced packet to its sender, or reset its flow."""
        self.backend_server.note_packet(packet.flow)
        unmarked = packet._replace(
            datagram=self._codec.with_mark(packet.datagram, 0)
        )
        sender = packets.address_from_mark(packet.mark)
        state = self._flows.get(packet.flow)
        if packet.is_opening or state is not None:
            self.backend_server.note_bounce()
        if packet.is_opening:
            self._flows.remove(packet.flow)
            self._log.note(
                'flow bounced', packet.flow, copy=packet.acknowledged
            )
            self._return_packet(unmarked, frame.REASON_REJECTED, sender)
        elif state is not None and state.is_open:
            self._reset_lost_flow(
                packet.flow, state, 'not_held_by_backend_server'
            )
        elif sender:
            self._flows.remove(packet.flow)
            self._hinted_flows.discard(packet.flow)
            if len(self._bounced_flows) < MAX_HINTS:
                self._bounced_flows.add(packet.flow)
            self._pending_queries.remove(packet.flow)
            self._return_packet(unmarked, frame.REASON_NOT_HELD, sender)

    def _is_failing(self) -> bool:
        """Return whether the backend server leaves requests unanswered."""
        now = clock.now()
        if not self.backend_server.is_warm:
            # A server that is not warm rejects requests for lack of capacity.
            self._flows.outcomes.clear()
        self._flows.record_overdue(now)
        is_failing = self._flows.outcomes.is_failing(now)
        if is_failing != self._was_failing:
            self._was_failing = is_failing
            _LOGGER.info(
                'backend server fails requests'
                if is_failing
                else 'backend server is tested again',
                busy=self._flows.busy,
                service_ms=round(self._flows.service_s * 1000, 1),
            )
        return is_failing

    def register_flows(self, *, is_last: bool = False) -> None:
        """Send changes of the open flows to their registrars.

        Args:
            is_last: Whether this process is about to stop, so that flows
                that have just opened are registered too.
        """
        self._registrars.update_if_changed(
            self._mesh.balancers_digest, self._mesh.balancer_names
        )
        now = clock.now()
        changes = self._registration.collect_changes(
            self._flows.open_flows(),
            self._registrars,
            now if is_last else now - registration.MIN_AGE_S,
        )
        self._send_flows(frame.KIND_REGISTER, changes.held)
        self._send_flows(frame.KIND_UNREGISTER, changes.ended)

    def on_peer_started(self, record: members.InstanceRecord) -> None:
        """Register flows again with a balancer that has started."""
        self._registration.forget_registrar(record.instance)

    def _send_flows(
        self, kind: int, batches: abc.Mapping[str, abc.Sequence[bytes]]
    ) -> None:
        for instance, flows in batches.items():
            record = self._mesh.registry.get(instance)
            if record is not None:
                self._mesh.send_flows(kind, flows, record.address)

    def capacity(self) -> messages.CapacityReport | None:
        """Return the capacity for short heartbeats; None if it is unknown."""
        if not self._settings.schedules_by_class:
            return None
        return self._capacity_reporter.capacity()

    def load(self) -> messages.Load:
        """Return the load that heartbeats carry."""
        server = self.backend_server
        is_closed = (
            server.is_draining or self.is_leaving or self._is_own_domain_out()
        )
        return messages.Load(
            slots=server.slots,
            busy=self._flows.busy,
            flows=self._flows.open_count(),
            service_ms=round(self._flows.service_s * 1000, 1),
            accepts=not is_closed and server.is_responsive(),
            is_cold=server.is_cold,
            knows_all_flows=self._knows_all_flows,
            is_draining=server.is_draining,
            has_report=server.report is not None,
            is_failing=self._is_failing(),
        )
