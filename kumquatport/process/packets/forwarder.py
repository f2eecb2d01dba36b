"""Forwarding of client packets by a balancer."""

import functools
import math
import typing
from collections import abc

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import (
    backlog,
    edge_rejection,
    flow_cache,
    frame,
    link_queue,
    opening_wait,
    request_class,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    agent_choice,
    decision_log,
    flow_lookup,
    known_configuration,
    link_sender,
    mesh,
    models,
    placement_view,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)

# Agents that are offered an opening packet before its flow is reset.
MAX_OFFERS: typing.Final = 6

# States in which an agent that refuses new flows is not expected to accept any
# soon.
_SERVING_STATES: typing.Final = frozenset(
    (members_const.STATE_READY, members_const.STATE_VACANT)
)


class Forwarder:
    """Forwards each packet to the agent that holds or should open its flow.

    Attributes:
        on_queued: Called when a packet has been queued for ``retry_queued``.
        link: Sends packets at the rate of this host's link.
    """

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        configuration: known_configuration.KnownConfiguration,
        peers: mesh.Mesh,
    ) -> None:
        """Start with an empty flow table.

        Args:
            settings: Settings of this process.
            codec: Packet codec.
            configuration: Configuration known to this process.
            peers: Mesh of the other instances.
        """
        self._settings = settings
        self._codec = codec
        self._configuration = configuration
        self._mesh = peers
        self._flows = flow_cache.FlowCache()
        self._queued_packets = backlog.Backlog()
        self.on_queued: abc.Callable[[], None] = _ignore_queued
        self._log = decision_log.DecisionLog(_LOGGER, codec.format_flow)
        self.link = link_sender.LinkSender(settings.link_bytes_per_s, peers)
        self._lookup = flow_lookup.FlowLookup(
            settings,
            peers,
            codec,
            self._log,
            flow_lookup.PacketActions(
                self._forward,
                self._forward_as_lookup,
                self._reset_lost_flow,
                self._flows.remove,
                self._route,
            ),
        )
        self._choice = agent_choice.AgentChoice(
            settings,
            configuration,
            peers,
            self._lookup.agent_order,
            self._log,
        )
        self._started_at = clock.now()
        self._handlers: abc.Mapping[int, abc.Callable[[bytes, str], None]] = {
            frame.KIND_HELD: self._on_held,
            frame.KIND_RETURN: self._on_return_frame,
            frame.KIND_REGISTER: self._lookup.registrar.on_register,
            frame.KIND_UNREGISTER: self._lookup.registrar.on_unregister,
            frame.KIND_HANDOVER: self._lookup.registrar.on_handover,
            frame.KIND_LOCATE: self._lookup.registrar.on_query,
            frame.KIND_LOCATION: self._on_location,
            frame.KIND_FIND: self._on_find,
            frame.KIND_FOUND: self._on_found,
            frame.KIND_NOT_HELD: functools.partial(
                self._on_answer, self._lookup.on_denied
            ),
            frame.KIND_HOLDS: functools.partial(
                self._on_answer, self._lookup.on_undecided
            ),
        }

    @property
    def counts(self) -> abc.Mapping[str, float]:
        """Return the number of times that each decision was taken."""
        return {**self._log.counts, **self.link.counts}

    def gauges(self) -> abc.Mapping[str, float]:
        """Return the current values of the gauges."""
        return {
            'flows': len(self._flows),
            'registered': len(self._lookup.registrar),
            'members': len(self._mesh.registry),
            'routes_version': self._configuration.routes_version,
            'store_era': self._configuration.store_era,
            'domains_out': len(self._configuration.domains_out),
            'beliefs_age_s': self._configuration.reported_age_s,
            'link_wait_s': self.link.wait_s,
        }

    def view_placement(self, text: str) -> placement_view.PlacementView:
        """Return where a packet of a flow would be sent now, and why.

        This only reads: a query must not shift load.

        Args:
            text: Both ends of the flow, as in the log.

        Raises:
            FlowNameError: The text does not name a flow.
        """
        named = self._codec.parse_flow(text)
        if named is None:
            raise exceptions.FlowNameError(
                f'{text}: expected CLIENT:PORT>SERVICE:PORT'
            )
        table = self._configuration.routes
        key = (named.service_address, named.service_port)
        route = table.routes.get(key) if table else None
        preview = self._choice.preview(named.flow, route) if route else None
        cached = self._flows.get(named.flow)
        return placement_view.build(
            self._settings,
            self._configuration,
            placement_view.Inputs(
                text,
                route,
                preview,
                self._live_agents(cached) if cached else (),
                route is not None and self._should_wait(0, route),
                self.link.wait_s,
            ),
        )

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings
        self._lookup.apply_settings(settings)
        self._choice.apply_settings(settings)
        self.link.apply_rate(settings.link_bytes_per_s)

    def leave(self) -> None:
        """Hand the flows known here over, because this process stops."""
        self._lookup.registrar.handover.leave(self._flows.sole_agents())

    def expire(self) -> None:
        """Remove expired flows and log the number of omitted log lines."""
        table = self._configuration.routes
        idle_s = table.idle_timeout_s if table else 0
        self._flows.expire(clock.now(), idle_s)
        self._lookup.expire()
        self._log.flush()

    def on_client(self, datagram: bytes, _sender: tuple[str, int]) -> None:
        """Handle a packet from a client."""
        packet = self._codec.parse_client_packet(datagram)
        if packet is None:
            return
        if self._configuration.routes is None:
            self._queue(packet)
            return
        route = self._route(packet)
        flow = self._flows.touch(packet.flow, clock.now())
        if route is None:
            self._handle_unrouted(packet, flow)
        elif packet.is_opening:
            self._handle_opening(packet, route, flow)
        else:
            flow.acknowledged = packet.acknowledged
            self._handle_established(packet, route, flow)

    def retry_queued(self) -> bool:
        """Process the queued packets again.

        Returns:
            Whether any packet is still queued.
        """
        if self._configuration.routes is not None:
            for datagram in self._queued_packets.pop_unexpired(clock.now()):
                self.on_client(datagram, ('', 0))
        return bool(self._queued_packets)

    def _queue(self, packet: packets.Packet) -> bool:
        """Queue a packet.

        Returns:
            False if the packet was queued again after a retry.
        """
        is_new = self._queued_packets.add(
            packet.flow, packet.datagram, clock.now()
        )
        if is_new:
            self.on_queued()
        return is_new

    def _handle_unrouted(
        self, packet: packets.Packet, flow: flow_cache.CachedFlow
    ) -> None:
        """Reset a flow without a route.

        The route of an established flow may be newer than the routes known
        here: it was opened through another balancer. Its packets are dropped,
        and retransmitted by the client, until the store has confirmed these
        routes after the first of them. A flow that was forwarded here had a
        route before.
        """
        now = clock.now()
        if flow.unrouted_since is None:
            flow.unrouted_since = now
        confirmed_at = now - self._configuration.age_s
        is_removed = bool(flow.agents) or confirmed_at > flow.unrouted_since
        if not packet.is_opening and not is_removed:
            self._log.note(
                'route not found yet',
                packet.flow,
                routes_version=self._configuration.routes_version,
                beliefs_age_s=round(self._configuration.reported_age_s, 2),
            )
            return
        self._flows.remove(packet.flow)
        self._reset(packet, 'no_route')

    def _handle_opening(
        self,
        packet: packets.Packet,
        route: routes.Route,
        flow: flow_cache.CachedFlow,
    ) -> None:
        """Offer an opening packet to an agent.

        A retransmission means that no agent has answered, so it is offered to
        another one. The packets that are kept belong to a former flow.
        """
        self._lookup.discard(packet.flow)
        if flow.agents and not packet.acknowledged:
            self._forward(packet, flow.agents[-1], 0)
            return
        # An agent that refused an earlier transmission may accept this one.
        flow.refused_by = flow_cache.NO_INSTANCES
        self._offer(packet, route, flow)

    def _offer(
        self,
        packet: packets.Packet,
        route: routes.Route,
        flow: flow_cache.CachedFlow,
    ) -> None:
        excluded = flow.refused_by.union(flow.agents)
        chosen = self._choice.choose(packet, route, excluded)
        if chosen is not None and not flow.agents:
            exhaustion = self._choice.find_exhaustion(packet, route, chosen)
            if exhaustion is not None:
                self._reject(packet, exhaustion)
                return
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
            self._choice.note_placed(chosen.instance)
            # An offer that waits here would make the agent seem unresponsive.
            requests_load = (
                not self.link.wait_s
                and self._mesh.should_request_load(chosen.instance)
            )
            self._forward(
                packet,
                chosen.instance,
                frame.FORWARD_REPORT_LOAD if requests_load else 0,
            )
        elif flow.agents:
            self._forward(packet, flow.agents[-1], 0)
        elif self._should_wait(packet.acknowledged, route):
            self._queue_opening(packet, excluded)
        else:
            self._reset(packet, 'no_agent')

    def _reject(
        self, packet: packets.Packet, exhaustion: edge_rejection.Exhaustion
    ) -> None:
        """Reset a flow that no agent holds and none could serve in time."""
        self._flows.remove(packet.flow)
        self._log.counts['flow rejected at the edge'] += 1
        self._reset(
            packet,
            'no_capacity',
            wait_s=round(exhaustion.wait_s, 3),
            left_s=round(exhaustion.left_s, 3),
            report_age_s=round(exhaustion.age_s, 3),
            agents=exhaustion.agents,
        )

    def _queue_opening(
        self, packet: packets.Packet, refused_by: abc.Set[str]
    ) -> None:
        """Queue an opening packet until an agent is available.

        A packet that agents have refused is not queued: its next
        retransmission is offered to them again.
        """
        if refused_by or self._queue(packet):
            self._log.note(
                'flow waits for an agent',
                packet.flow,
                copy=packet.acknowledged,
                tried=sorted(refused_by),
            )

    def _should_wait(self, copy: int, route: routes.Route) -> bool:
        """Return whether an opening packet waits for its retransmission."""
        now = clock.now()
        return opening_wait.should_wait(
            copy,
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
        """Forward a packet of an established flow to the agent holding it."""
        flow.agents = self._live_agents(flow)
        if len(flow.agents) == 1:
            self._forward(packet, flow.agents[0], 0)
        elif flow.agents:
            for instance in flow.agents:
                self._forward(packet, instance, frame.FORWARD_QUERY)
        else:
            self._lookup.resolve(
                flow_lookup.UnresolvedPacket(packet, route, flow)
            )

    def _live_agents(self, flow: flow_cache.CachedFlow) -> tuple[str, ...]:
        """Return the agents of a flow that have not departed."""
        registry = self._mesh.registry
        return tuple(
            instance
            for instance in flow.agents
            if (record := registry.get(instance)) is not None
            and not members.is_departed(record)
        )

    def _reset_lost_flow(self, packet: packets.Packet, missing: int) -> None:
        """Send a reset for a flow that no agent holds."""
        self._reset(packet, 'not_held', missing=missing)

    def _reset(
        self, packet: packets.Packet, reason: str, **inputs: typing.Any
    ) -> None:
        """Send a reset to the client, unless the packet is itself a reset."""
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
        self._forward_at(self._priority(packet), packet, instance, detail)

    def _forward_as_lookup(
        self, packet: packets.Packet, instance: str, detail: int
    ) -> None:
        """Forward a packet that asks whether an agent holds its flow."""
        self._forward_at(link_queue.LOOKUP, packet, instance, detail)

    def _forward_at(
        self, rank: int, packet: packets.Packet, instance: str, detail: int
    ) -> None:
        record = self._mesh.registry.get(instance)
        if record is None:
            return
        message = frame.pack(
            frame.KIND_FORWARD,
            detail,
            self._configuration.routes_version,
            self._with_service(packet)
            if packet.is_opening
            else packet.datagram,
        )
        self.link.send(packet, rank, message, record.address)

    def _priority(self, packet: packets.Packet) -> int:
        """Return the priority that the route of a packet states."""
        route = self._route(packet)
        terms = route.request_class if route else None
        return terms.priority if terms else request_class.UNSTATED_PRIORITY

    def _with_service(self, packet: packets.Packet) -> bytes:
        """Return an opening packet that names the service of its flow.

        An address may be used again by an agent of another service, which is
        not known yet. An agent without routes cannot tell from its own.
        """
        route = self._route(packet)
        tag = packets.NO_SERVICE_TAG
        if route is not None:
            tag = packets.service_tag(
                flow_lookup.service_of(route, packet.flow)
            )
        return self._codec.with_service_tag(packet.datagram, tag)

    def on_frame(self, datagram: bytes, sender: str) -> None:
        """Handle a frame from another instance.

        Args:
            datagram: The frame.
            sender: Address of the instance that sent it.
        """
        instance = self._mesh.instance_at(sender)
        handle = self._handlers.get(datagram[0])
        if instance and handle is not None:
            handle(datagram, instance)

    def _on_held(self, message: bytes, instance: str) -> None:
        """Record the agent that holds each of the given flows."""
        now = clock.now()
        for flow in frame.unpack_flows(message):
            self._lookup.on_held(flow, self._flows.touch(flow, now), instance)

    def _on_answer(
        self,
        handle: abc.Callable[[bytes, flow_cache.CachedFlow, str], None],
        message: bytes,
        instance: str,
    ) -> None:
        """Handle an agent's answer about some flows."""
        self._lookup.questions.note_answer(instance)
        for flow in frame.unpack_flows(message):
            cached = self._flows.get(flow)
            if cached is not None:
                handle(flow, cached, instance)

    def _on_find(self, message: bytes, instance: str) -> None:
        """Answer the query of a balancer for the agents of some flows."""
        self._lookup.questions.note_answer(instance)
        self._lookup.registrar.on_find(message, instance)

    def _on_found(self, message: bytes, sender: str) -> None:
        """Handle a registrar's answer to a query by the keys of flows."""
        self._lookup.questions.note_answer(sender)
        for found in frame.unpack_found(message):
            cached = self._flows.get(found.flow)
            if cached is not None:
                address = packets.address_from_mark(found.address)
                self._lookup.on_found(found.flow, cached, sender, address)

    def _on_return_frame(self, datagram: bytes, instance: str) -> None:
        """Handle a packet that an agent returned undelivered."""
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
        """Find another agent for a packet that an agent returned."""
        route = self._route(packet)
        if route is None:
            return
        flow = self._flows.touch(packet.flow, clock.now())
        was_only = flow.agents == (instance,)
        flow.agents = tuple(agent for agent in flow.agents if agent != instance)
        if packet.is_opening:
            flow.refused_by |= {instance}
            if not flow.agents:
                self._offer(packet, route, flow)
            return
        unresolved = flow_lookup.UnresolvedPacket(packet, route, flow)
        self._lookup.keep_returned(unresolved)
        self._lookup.on_not_held(unresolved, instance, was_only=was_only)

    def _on_location(self, message: bytes, sender: str) -> None:
        """Handle a registrar's answer to a query."""
        answer = frame.unpack_location(message)
        packet = (
            self._codec.parse_client_packet(answer.datagram) if answer else None
        )
        route = self._route(packet) if packet else None
        if answer is None or packet is None or route is None:
            return
        flow = self._flows.touch(packet.flow, clock.now())
        # Otherwise the kept packets have been forwarded to the agent already.
        if not flow.agents:
            unresolved = flow_lookup.UnresolvedPacket(packet, route, flow)
            address = packets.address_from_mark(answer.address)
            self._lookup.on_location(unresolved, sender, address)

    def on_peer_started(self, record: members.InstanceRecord) -> None:
        """Send a restarted instance the flows that it may hold or keep."""
        self._lookup.questions.forget(record.instance)
        if record.kind != members.KIND_AGENT:
            self._lookup.registrar.handover.on_balancer_started(record)
            return
        flows = self._flows.flows_of_agent(record.instance)
        self._mesh.send_flows(frame.KIND_HELD, flows, record.address)

    def _route(self, packet: packets.Packet) -> routes.Route | None:
        table = self._configuration.routes
        key = (packet.service_address, packet.service_port)
        return table.routes.get(key) if table else None


def _ignore_queued() -> None:
    """Ignore queued packets until a callback is set."""
