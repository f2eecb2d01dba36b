"""Packets between the balancers and the backend server beside an agent."""

import math
import typing
from collections import abc

import structlog

from kumquatport.connection.packets import (
    admission,
    cold_start,
    flow_table,
    frame,
    pending_queries,
    registrars,
    registration,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    backend_server,
    decision_log,
    known_configuration,
    mesh,
    messages,
    models,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)

# Seconds after which flows of a backend server that said it exits are reset;
# it may take a moment to end.
EXIT_RESET_DELAY_S: typing.Final = 0.25

# Names of flows kept that balancers say may be here.
MAX_HINTS: typing.Final = 100_000


class AgentDatapath:
    """Carries the packets of one backend server and decides what opens.

    Attributes:
        is_leaving: Whether the agent is about to stop.
        has_left: Whether it has told that it will not come back.
        backend_server: What is known of the backend server.
    """

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        held_beliefs: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
        deliver: abc.Callable[[bytes], object],
    ) -> None:
        """Start without flows.

        Args:
            settings: Of this process.
            codec: Format of the packets.
            held_beliefs: Beliefs of this process.
            peers: The other instances.
            deliver: Hands a packet to the backend server.
        """
        self.is_leaving = False
        self.has_left = False
        self.backend_server = backend_server.BackendServer(settings.heartbeat_s)
        self._settings = settings
        self._codec = codec
        self._configuration = held_beliefs
        self._mesh = peers
        self._deliver_datagram = deliver
        self._flows = flow_table.FlowTable()
        self._hinted_flows: set[bytes] = set()
        self._registrars = registrars.Registrars()
        self._registration = registration.FlowRegistration()
        self._cold_allowance = cold_start.ColdStartLimiter(
            settings.bounds.cold_factor, settings.bounds.cold_slack
        )
        self._log = decision_log.DecisionLog(_LOGGER, codec.format_flow)
        self._knows_all_flows = False
        self._started_at = clock.now()
        self._was_failing = False
        self._unanswered = pending_queries.PendingQueries()

    @property
    def state(self) -> str:
        """Return the state of this instance that others are told."""
        if self.has_left:
            return members_const.STATE_GONE
        if self.is_leaving:
            return members_const.STATE_LEAVING
        if self.backend_server.is_gone:
            return members_const.STATE_VACANT
        return members_const.STATE_READY

    @property
    def busy(self) -> int:
        """Return how many requests are in progress."""
        return self._flows.busy

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return how often each decision was taken."""
        return self._log.counts

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the present state in numbers."""
        load = self.load()
        return {
            'busy': load.busy,
            'flows': load.flows,
            'slots': load.slots,
            'accepts': load.accepts,
            'cold': load.is_cold,
            'beliefs_age_s': self._configuration.reported_age_s,
            'routes_version': self._configuration.routes_version,
            'members': len(self._mesh.registry),
        }

    def observe_service_times(
        self, observe: abc.Callable[[str, float], None]
    ) -> None:
        """Have service times recorded, by the address that clients call."""

        def record(flow: bytes, seconds: float) -> None:
            route = self._codec.format_flow(flow).partition('>')[2]
            observe(route, seconds)

        self._flows.observe_service_time = record

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self.backend_server.heartbeat_s = settings.heartbeat_s
        self._cold_allowance.factor = settings.bounds.cold_factor
        self._cold_allowance.slack = settings.bounds.cold_slack

    def handle_report(self, report: models.BackendServerReport) -> bool:
        """Take a heartbeat of the backend server.

        Returns:
            Whether it tells of something that balancers should know now.
        """
        server = self.backend_server
        before = (server.is_draining, server.is_gone)
        started = server.update(report)
        if started is not None:
            self._on_started(started)
        is_changed = before != (server.is_draining, server.is_gone)
        return is_changed or started is not None

    def expire(self) -> None:
        """Forget old flows, and say what the log has left out."""
        now = clock.now()
        self._flows.expire(now, self._settings.bounds.flow_ttl_s)
        self._unanswered.expire(now)
        self._log.flush()

    def _on_started(self, started: backend_server.NewIncarnation) -> None:
        """Reset the flows that an earlier incarnation took with it.

        What the backend server sent while the earlier one lived was of that
        one. Later packets may be of either; a bounce will tell.
        """
        self._flows.outcomes.clear()
        is_heard_before = math.isfinite(started.previous_heartbeat_at)
        if started.is_first_heartbeat or is_heard_before:
            # All flows of this incarnation passed through this process.
            self._mark_all_flows_known()
        if is_heard_before:
            self._reset_flows_until(
                started.previous_heartbeat_at, 'backend_server_restarted'
            )

    def _reset_flows_until(self, moment: float, reason: str) -> None:
        """Lose the flows on which nothing came from it after a moment."""
        for flow, state in tuple(self._flows.flows.items()):
            if state.server_last_seen_at <= moment:
                self._reset_lost_flow(flow, state, reason)

    def reset_flows_if_gone(self) -> None:
        """Reset the flows of a backend server that has exited."""
        if self.backend_server.is_gone:
            self._reset_flows_until(math.inf, 'backend_server_gone')

    def note_absent(self, looked_at: float) -> bool:
        """Note that no process of the backend server ran at a moment.

        This process carried packets then, so all flows of a later incarnation
        pass through it.

        Args:
            looked_at: Monotonic seconds of that moment.

        Returns:
            Whether it tells of something that balancers should know now.
        """
        self._mark_all_flows_known()
        is_gone = self.backend_server.note_absent(looked_at)
        if is_gone:
            self._reset_flows_until(looked_at, 'backend_server_gone')
        return is_gone

    def _mark_all_flows_known(self) -> None:
        """Know all flows from now on, and answer who has asked before."""
        self._knows_all_flows = True
        for packet, sender, _ in self._unanswered.pop_all(clock.now()):
            if self._flows.get(packet.flow) is None:
                self._return_packet(packet, frame.REASON_NOT_HELD, sender)

    def _reset_lost_flow(
        self, flow: bytes, state: flow_table.FlowState, reason: str
    ) -> None:
        """Tell the client of a flow that its backend server is gone."""
        self._flows.remove(flow)
        if not state.is_open or state.is_closed:
            return
        self._log.note('flow lost', flow, reason=reason)
        self._mesh.send_to_client(
            self._codec.build_reset(flow, state.acknowledged),
            self._codec.client_address(flow),
        )

    def on_frame(self, datagram: bytes, sender: str) -> None:
        """Take a frame of a balancer, given the balancer's address."""
        if datagram[0] == frame.KIND_HELD:
            if len(self._hinted_flows) < MAX_HINTS:
                self._hinted_flows.update(frame.unpack_flows(datagram))
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
        """Let an opening packet through, or return it with a reason."""
        if self._flows.get(packet.flow) is None:
            reason = self._refusal_reason(packet, message)
            if reason:
                self._log.note(
                    'flow returned',
                    packet.flow,
                    reason=frame.REASON_NAMES[reason],
                    copy=packet.acknowledged,
                    busy=self._flows.busy,
                    routes_version=self._configuration.routes_version,
                    sender_version=message.routes_version,
                )
                self._return_packet(packet, reason, sender)
                return
            self._log.note(
                'flow offered',
                packet.flow,
                copy=packet.acknowledged,
                busy=self._flows.busy,
                flows=len(self._flows),
                cold=self.backend_server.is_cold,
                routes_version=self._configuration.routes_version,
            )
            self._flows.add(packet.flow, clock.now())
            self.backend_server.note_opening(packet.flow)
        self._deliver(packet, sender)

    def _refusal_reason(
        self, packet: packets.Packet, message: frame.Frame
    ) -> int:
        routes = self._configuration.routes
        reason = admission.refusal_reason(
            admission.AdmissionInputs(
                is_draining=self.backend_server.is_draining,
                is_responsive=self.backend_server.is_answering()
                or self.backend_server.admit_probe(),
                is_domain_out=self._is_domain_out(),
                is_leaving=self.is_leaving,
                is_route_allowed=routes is not None
                and routes.allows(
                    packet.service_address,
                    packet.service_port,
                    self._settings.service,
                ),
                is_sender_newer=message.routes_version
                > self._configuration.routes_version,
                is_warm=self.backend_server.is_warm,
                busy=self._flows.busy,
                slots=self._slots(),
                is_unconfirmed=self._mesh.pause_recovery.is_unconfirmed(),
                opening_flows=self._opening_count(),
                uptime_s=clock.now() - self._started_at,
            )
        )
        if reason:
            return reason
        now = clock.now()
        per_s = self._cold_per_s()
        if not self.backend_server.is_cold or per_s <= 0:
            self._cold_allowance.record(now)
            return 0
        return (
            0
            if self._cold_allowance.try_acquire(per_s, now)
            else frame.REASON_COLD
        )

    def _opening_count(self) -> int:
        """Return how many flows are about to ask; counted only for a wave."""
        now = clock.now()
        is_wave = now - self._started_at <= admission.STARTUP_BURST_S
        if self.backend_server.is_warm or not is_wave:
            return 0
        return self._flows.opening_count(now)

    def _slots(self) -> int:
        """Return the requests at a time, assumed before the first report."""
        server = self.backend_server
        return server.slots if server.report else admission.DEFAULT_SLOTS

    def _cold_per_s(self) -> float:
        """Return the new flows a second borne while cold; 0 for no limit."""
        routes = self._configuration.routes
        rule = routes and routes.services.get(self._settings.service)
        return rule.warmup_flows_per_s if rule else 0

    def _is_domain_out(self) -> bool:
        return self._settings.failure_domain in self._configuration.domains_out

    def _handle_established(
        self, packet: packets.Packet, message: frame.Frame, sender: str
    ) -> None:
        """Deliver a packet of an open flow, or say that it is not here."""
        state = self._flows.get(packet.flow)
        is_asked = bool(message.detail & frame.FORWARD_QUERY)
        if state is None:
            self._handle_unknown(packet, message, sender)
            return
        if not self._flows.is_same_flow(state, packet):
            # A backend server resets a flow that is half open there when it
            # gets a packet that opened the flow at another one.
            self._return_packet(packet, frame.REASON_NOT_HELD, sender)
            return
        self._flows.on_client_packet(state, packet, clock.now())
        if is_asked:
            answer = frame.pack_flows(frame.KIND_HELD, (packet.flow,))
            self._mesh.send(answer, sender)
        self._deliver(packet, sender)

    def _handle_unknown(
        self, packet: packets.Packet, message: frame.Frame, sender: str
    ) -> None:
        """Deliver a packet only if the flow may be here."""
        if self._knows_all_flows:
            self._return_packet(packet, frame.REASON_NOT_HELD, sender)
            return
        self._unanswered.add(
            pending_queries.PendingQuery(packet, sender, clock.now())
        )
        is_asked = bool(message.detail & frame.FORWARD_QUERY)
        may_test = bool(message.detail & frame.FORWARD_PROBE)
        if not is_asked or may_test or packet.flow in self._hinted_flows:
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
        """Take a packet that the backend server sent or bounced."""
        packet = self._codec.parse_backend_server_packet(datagram)
        if packet is None:
            return
        if packet.is_bounced:
            self._on_bounced(packet)
            return
        self.backend_server.note_packet(packet.flow)
        known = self._flows.get(packet.flow)
        if packet.is_reset and (known is None or not known.is_open):
            # The flow may be open at another backend server.
            self._log.note('reset held back', packet.flow)
            return
        self._flows.on_backend_server_packet(packet, clock.now())
        self._mesh.send_to_client(datagram, packet.client_address)

    def _on_bounced(self, packet: packets.Packet) -> None:
        """Decide what becomes of a packet that the backend server refused."""
        self.backend_server.note_packet(packet.flow)
        clean = packet._replace(
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
            self._return_packet(clean, frame.REASON_REJECTED, sender)
        elif state is not None and state.is_open:
            self._reset_lost_flow(
                packet.flow, state, 'not_held_by_backend_server'
            )
        elif sender:
            self._flows.remove(packet.flow)
            self._hinted_flows.discard(packet.flow)
            self._unanswered.remove(packet.flow)
            self._return_packet(clean, frame.REASON_NOT_HELD, sender)

    def _is_failing(self) -> bool:
        """Tell whether the backend server leaves requests unanswered."""
        now = clock.now()
        if not self.backend_server.is_warm:
            # It turns requests away since it cannot take them.
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
        """Tell the registrars which flows are open here.

        Args:
            is_last: Whether this process is about to stop, so that flows
                that have just opened are told too.
        """
        self._registrars.update_if_changed(
            self._mesh.balancers_digest, self._mesh.balancer_names
        )
        now = clock.now()
        news = self._registration.collect_changes(
            self._flows.open_flows(),
            self._registrars,
            now if is_last else now - registration.MIN_AGE_S,
        )
        self._send_flows(frame.KIND_REGISTER, news.held)
        self._send_flows(frame.KIND_UNREGISTER, news.ended)

    def on_peer_started(self, record: members.InstanceRecord) -> None:
        """Tell a balancer that has started what it is a registrar of."""
        self._registration.forget_registrar(record.instance)

    def _send_flows(
        self, kind: int, batches: abc.Mapping[str, abc.Sequence[bytes]]
    ) -> None:
        for instance, flows in batches.items():
            record = self._mesh.registry.get(instance)
            if record is not None:
                self._mesh.send_flows(kind, flows, record.address)

    def load(self) -> messages.Load:
        """Return what heartbeats tell of the backend server."""
        server = self.backend_server
        is_closed = (
            server.is_draining or self.is_leaving or self._is_domain_out()
        )
        return messages.Load(
            slots=server.slots,
            busy=self._flows.busy,
            flows=self._flows.open_count(),
            service_ms=round(self._flows.service_s * 1000, 1),
            accepts=not is_closed and server.is_answering(),
            is_cold=server.is_cold,
            knows_all_flows=self._knows_all_flows,
            is_draining=server.is_draining,
            has_report=server.report is not None,
            is_failing=self._is_failing(),
        )
