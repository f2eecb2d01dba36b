"""Where a balancer sends each packet of a client."""

import math
import typing
from collections import abc

import structlog

from kumquatport.connection.packets import (
    backlog,
    flow_cache,
    frame,
    opening_wait,
    placement,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    decision_log,
    flow_lookup,
    known_configuration,
    mesh,
    models,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)

# Agents that are offered one opening packet before its client is refused.
MAX_OFFERS: typing.Final = 6

# States in which an agent that takes no new flows is not about to.
_SERVING_STATES: typing.Final = frozenset(
    (members_const.STATE_READY, members_const.STATE_VACANT)
)

# Seconds for which the mean cost of an open flow is used again.
FLOW_COST_TTL_S: typing.Final = 0.3


class Forwarder:
    """Sends each packet to the agent that holds or should open its flow.

    Attributes:
        on_queued: Called when a packet is queued, which ``retry_queued`` retries.
    """

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        held: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
    ) -> None:
        """Start without flows.

        Args:
            settings: Of this process.
            codec: Format of the packets.
            held: Beliefs of this process.
            peers: The other instances.
        """
        self._settings = settings
        self._codec = codec
        self._configuration = held
        self._mesh = peers
        self._flows = flow_cache.FlowCache()
        self._backlog = backlog.Backlog()
        self.on_queued: abc.Callable[[], None] = _ignore
        self._flow_costs: dict[str, tuple[float, float]] = {}
        self._log = decision_log.DecisionLog(_LOGGER, codec.format_flow)
        self._lookup = flow_lookup.FlowLookup(
            settings,
            peers,
            codec,
            self._log,
            flow_lookup.PacketActions(
                self._forward, self._reset_lost_flow, self._flows.remove
            ),
        )
        self._started_at = clock.now()
        self._handlers: abc.Mapping[int, abc.Callable[[bytes, str], None]] = {
            frame.KIND_HELD: self._on_held,
            frame.KIND_RETURN: self._on_return,
            frame.KIND_REGISTER: self._lookup.registrar.on_register,
            frame.KIND_UNREGISTER: self._lookup.registrar.on_ended,
            frame.KIND_LOCATE: self._lookup.registrar.on_query,
            frame.KIND_LOCATION: self._on_found,
        }

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return how often each decision was taken."""
        return self._log.counts

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the present state in numbers."""
        return {
            'flows': len(self._flows),
            'registered': len(self._lookup.registrar),
            'members': len(self._mesh.registry),
            'routes_version': self._configuration.routes_version,
            'domains_out': len(self._configuration.domains_out),
            'beliefs_age_s': self._configuration.reported_age_s,
        }

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self._lookup.apply_settings(settings)

    def expire(self) -> None:
        """Forget old flows, and say what the log has left out."""
        table = self._configuration.routes
        idle_s = table.idle_timeout_s if table else 0
        self._flows.expire(clock.now(), idle_s)
        self._log.flush()

    def on_client(self, datagram: bytes, _sender: tuple[str, int]) -> None:
        """Take a packet of a client."""
        packet = self._codec.parse_client_packet(datagram)
        if packet is None:
            return
        if self._configuration.routes is None:
            self._queue(packet)
            return
        route = self._route(packet)
        if route is None:
            self._flows.remove(packet.flow)
            self._reset(packet, 'no_route')
            return
        flow = self._flows.touch(packet.flow, clock.now())
        if packet.is_opening:
            self._handle_opening(packet, route, flow)
        else:
            flow.acknowledged = packet.acknowledged
            self._handle_established(packet, route, flow)

    def retry_queued(self) -> bool:
        """Try again what waits; tell whether something still does."""
        if self._configuration.routes is not None:
            for datagram in self._backlog.pop_unexpired(clock.now()):
                self.on_client(datagram, ('', 0))
        return bool(self._backlog)

    def _queue(self, packet: packets.Packet) -> bool:
        """Have a packet wait; tell whether it has not waited before."""
        is_new = self._backlog.add(packet.flow, packet.datagram, clock.now())
        if is_new:
            self.on_queued()
        return is_new

    def _handle_opening(
        self,
        packet: packets.Packet,
        route: routes.Route,
        flow: flow_cache.CachedFlow,
    ) -> None:
        """Offer an opening packet to an agent.

        A copy means that nobody has answered: another agent is offered it.
        """
        if flow.agents and not packet.acknowledged:
            self._forward(packet, flow.agents[-1], 0)
            return
        # Who turned an earlier copy away may take this one.
        flow.refused_by = flow_cache.NO_INSTANCES
        self._offer(packet, route, flow)

    def _offer(
        self,
        packet: packets.Packet,
        route: routes.Route,
        flow: flow_cache.CachedFlow,
    ) -> None:
        excluded = flow.refused_by.union(flow.agents)
        chosen = self._choose_agent(packet, route, excluded)
        if chosen is not None and len(excluded) < MAX_OFFERS:
            flow.agents += (chosen.instance,)
            self._log.note(
                'flow placed',
                packet.flow,
                agent=chosen.instance,
                copy=packet.acknowledged,
                tried=sorted(excluded),
                busy=chosen.busy,
                flows=chosen.flows,
                placed=chosen.placed,
                routes_version=self._configuration.routes_version,
                beliefs_age_s=round(self._configuration.age_s, 2),
            )
            peer = self._mesh.peer(chosen.instance)
            if peer is not None:
                peer.placed_flows += 1
            asks = self._mesh.should_request_load(chosen.instance)
            self._forward(
                packet,
                chosen.instance,
                frame.FORWARD_REPORT_LOAD if asks else 0,
            )
        elif flow.agents:
            self._forward(packet, flow.agents[-1], 0)
        elif self._should_wait(packet, route):
            self._queue_opening(packet, excluded)
        else:
            self._reset(packet, 'no_agent')

    def _queue_opening(
        self, packet: packets.Packet, tried: abc.Set[str]
    ) -> None:
        """Have an opening packet wait for an agent.

        Agents that turned it away are asked again with its next copy.
        """
        if tried or self._queue(packet):
            self._log.note(
                'flow waits for an agent',
                packet.flow,
                copy=packet.acknowledged,
                tried=sorted(tried),
            )

    def _choose_agent(
        self,
        packet: packets.Packet,
        route: routes.Route,
        excluded: abc.Set[str],
    ) -> placement.Candidate | None:
        service = flow_lookup.service_of(route, packet.flow)
        registry = self._mesh.registry
        candidates = (
            candidate
            for instance in self._lookup.agent_order(service, packet.flow)
            if instance not in excluded
            and (record := registry.get(instance)) is not None
            and (candidate := self._placement_candidate(record)) is not None
        )
        return placement.choose(candidates, self._flow_cost(service))

    def _flow_cost(self, service: str) -> float:
        """Return the mean requests in progress of an open flow."""
        now = clock.now()
        until, cost = self._flow_costs.get(service, (-math.inf, 1.0))
        if now >= until:
            cost = placement.busy_per_flow(
                (peer.load.busy, peer.load.flows)
                for record in self._mesh.registry.agents(service)
                if (peer := self._mesh.peer(record.instance)) is not None
                and peer.load is not None
            )
            self._flow_costs[service] = (now + FLOW_COST_TTL_S, cost)
        return cost

    def _placement_candidate(
        self, record: members.InstanceRecord
    ) -> placement.Candidate | None:
        if record.state != members_const.STATE_READY:
            return None
        if record.failure_domain in self._configuration.domains_out:
            return None
        peer = self._mesh.peer(record.instance)
        if peer is None or peer.load is None or not peer.load.accepts:
            return None
        return placement.Candidate(
            instance=record.instance,
            slots=peer.load.slots,
            busy=peer.load.busy,
            flows=peer.load.flows,
            placed=peer.placed_flows,
            is_cross_domain=record.failure_domain
            != self._settings.failure_domain,
            is_suspect=self._mesh.is_suspect(record.instance)
            or self._mesh.is_unresponsive(record.instance),
            penalty=placement.penalty(
                is_cold=peer.load.is_cold, is_failing=peer.load.is_failing
            ),
        )

    def _should_wait(self, packet: packets.Packet, route: routes.Route) -> bool:
        """Tell whether an opening packet waits for its next copy."""
        now = clock.now()
        return opening_wait.should_wait(
            packet.acknowledged,
            now - self._started_at,
            [
                self._agent_view(record, now)
                for record in self._lookup.possible_holders(route)
            ],
        )

    def _agent_view(
        self, record: members.InstanceRecord, now: float
    ) -> opening_wait.AgentView:
        peer = self._mesh.peer(record.instance)
        load = peer.load if peer else None
        return opening_wait.AgentView(
            silent_s=now - peer.last_heartbeat_at if peer else math.inf,
            is_suspect=self._mesh.is_suspect(record.instance),
            is_ready=record.state in _SERVING_STATES,
            accepts=load is not None and load.accepts,
        )

    def _handle_established(
        self,
        packet: packets.Packet,
        route: routes.Route,
        flow: flow_cache.CachedFlow,
    ) -> None:
        """Send a packet of an open flow to the agent that holds it."""
        registry = self._mesh.registry
        flow.agents = tuple(
            instance
            for instance in flow.agents
            if (record := registry.get(instance)) is not None
            and not members.is_departed(record)
        )
        if len(flow.agents) == 1:
            self._forward(packet, flow.agents[0], 0)
        elif flow.agents:
            for instance in flow.agents:
                self._forward(packet, instance, frame.FORWARD_QUERY)
        else:
            self._lookup.resolve(
                flow_lookup.UnresolvedPacket(packet, route, flow)
            )

    def _reset_lost_flow(self, packet: packets.Packet, missing: int) -> None:
        """Answer a packet of a flow that no agent holds."""
        self._reset(packet, 'not_held', missing=missing)

    def _reset(
        self, packet: packets.Packet, reason: str, **inputs: typing.Any
    ) -> None:
        """Answer a packet with a reset."""
        if packet.is_reset:
            return
        self._log.note(
            'flow reset',
            packet.flow,
            reason=reason,
            opening=packet.is_opening,
            routes_version=self._configuration.routes_version,
            beliefs_age_s=round(self._configuration.reported_age_s, 2),
            **inputs,
        )
        acknowledged = 0 if packet.is_opening else packet.acknowledged
        self._mesh.send_to_client(
            self._codec.build_reset(packet.flow, acknowledged),
            packet.client_address,
        )

    def _forward(
        self, packet: packets.Packet, instance: str, detail: int
    ) -> None:
        record = self._mesh.registry.get(instance)
        if record is None:
            return
        message = frame.pack(
            frame.KIND_FORWARD,
            detail,
            self._configuration.routes_version,
            packet.datagram,
        )
        self._mesh.send(message, record.address)

    def on_frame(self, datagram: bytes, sender: str) -> None:
        """Take a frame of another instance, given its address."""
        instance = self._mesh.instance_at(sender)
        handle = self._handlers.get(datagram[0])
        if instance and handle is not None:
            handle(datagram, instance)

    def _on_held(self, message: bytes, instance: str) -> None:
        """Take the names of flows that an agent holds."""
        now = clock.now()
        for flow in frame.unpack_flows(message):
            self._flows.touch(flow, now).confirm(instance)

    def _on_return(self, datagram: bytes, instance: str) -> None:
        """Take back a packet that an agent did not deliver."""
        message = frame.unpack(datagram)
        packet = (
            self._codec.parse_client_packet(message.datagram)
            if message
            else None
        )
        if message is not None and packet is not None:
            self._reroute_returned(packet, message.detail, instance)

    def _reroute_returned(
        self, packet: packets.Packet, reason: int, instance: str
    ) -> None:
        """Find another way for a packet that an agent sent back."""
        route = self._route(packet)
        if route is None:
            return
        flow = self._flows.touch(packet.flow, clock.now())
        was_last = flow.agents == (instance,)
        flow.agents = tuple(one for one in flow.agents if one != instance)
        if packet.is_opening:
            flow.refused_by |= {instance}
            if not flow.agents:
                self._offer(packet, route, flow)
            return
        sought = flow_lookup.UnresolvedPacket(packet, route, flow)
        self._lookup.on_not_held(sought, instance, was_last=was_last)

    def _on_found(self, message: bytes, sender: str) -> None:
        """Take a registrar's answer."""
        found = frame.unpack_location(message)
        packet = (
            self._codec.parse_client_packet(found.datagram) if found else None
        )
        route = self._route(packet) if packet else None
        if found is None or packet is None or route is None:
            return
        flow = self._flows.touch(packet.flow, clock.now())
        address = packets.address_from_mark(found.address)
        instance = self._mesh.instance_at(address)
        if flow.agents:
            # An earlier packet of the flow has been answered meanwhile.
            self._forward(packet, flow.agents[-1], 0)
        else:
            sought = flow_lookup.UnresolvedPacket(packet, route, flow)
            self._lookup.on_found(sought, sender, instance)

    def on_peer_started(self, record: members.InstanceRecord) -> None:
        """Tell an agent that started again which flows it may hold."""
        if record.kind != members.KIND_AGENT:
            return
        flows = self._flows.flows_of_agent(record.instance)
        self._mesh.send_flows(frame.KIND_HELD, flows, record.address)

    def _route(self, packet: packets.Packet) -> routes.Route | None:
        table = self._configuration.routes
        key = (packet.service_address, packet.service_port)
        return table.routes.get(key) if table else None


def _ignore() -> None:
    """Take the word that a packet waits before anybody wants it."""
