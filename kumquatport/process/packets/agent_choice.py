"""Choice of the agent that is offered a new flow, by what peers report."""

import math
import typing
from collections import abc

import xxhash

from kumquatport.connection.packets import (
    edge_rejection,
    placement,
    request_class,
    server_capacity,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    capacity_watch,
    decision_log,
    flow_lookup,
    known_configuration,
    mesh,
    models,
    peers,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

# Seconds for which the mean cost of an open flow is cached.
FLOW_COST_TTL_S: typing.Final = 0.3

# Number of 32-bit hashes.
_POSITIONS: typing.Final = 1 << 32

# Returns the agents of a service in the order that a flow determines.
AgentOrder = abc.Callable[[str, bytes], abc.Iterator[str]]


class _Request(typing.NamedTuple):
    """What the candidates of a packet depend on.

    Attributes:
        service: Service of its flow.
        terms: Terms of its route; None if the route has none.
        flow: Key of its flow.
        share: Returns the share of the usual new flows that an agent of a
            service gets.
    """

    service: str
    terms: request_class.RequestClass | None
    flow: bytes
    share: abc.Callable[[str, str], float]


class ViewedAgent(typing.NamedTuple):
    """An agent in the order of a flow, as placement sees it.

    Attributes:
        record: Its record.
        peer: Its state by its messages; None if it was never heard.
        candidate: What placement knows of it; None if it takes no flows.
        capacity: State of its backend server among those of the service.
    """

    record: members.InstanceRecord
    peer: peers.Peer | None
    candidate: placement.Candidate | None
    capacity: server_capacity.State


class Preview(typing.NamedTuple):
    """Where a new flow would be placed.

    Attributes:
        service: Service of the flow.
        agents: The agents in its order, up to the last one of the sample.
        scored: Scores of the sample.
        exhaustion: Why no agent can serve it in time; None if one may.
    """

    service: str
    agents: tuple[ViewedAgent, ...]
    scored: placement.Scored
    exhaustion: edge_rejection.Exhaustion | None


class AgentChoice:
    """Chooses among the agents of a route's service."""

    def __init__(
        self,
        settings: models.Settings,
        configuration: known_configuration.KnownConfiguration,
        peer_mesh: mesh.Mesh,
        agent_order: AgentOrder,
        log: decision_log.DecisionLog,
    ) -> None:
        """Start without cached values.

        Args:
            settings: Settings of this process.
            configuration: Configuration known to this process.
            peer_mesh: Mesh of the other instances.
            agent_order: Order of the agents for each flow.
            log: Log of the decisions.
        """
        self._settings = settings
        self._configuration = configuration
        self._mesh = peer_mesh
        self._agent_order = agent_order
        self._capacity = capacity_watch.CapacityWatch(peer_mesh, log)
        self._flow_costs: dict[str, tuple[float, float]] = {}

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings

    def choose(
        self,
        packet: packets.Packet,
        route: routes.Route,
        excluded: abc.Set[str],
    ) -> placement.Candidate | None:
        """Choose the agent that is offered an opening packet.

        Args:
            packet: The opening packet.
            route: Route of the packet.
            excluded: Agents that have been offered it, or have refused it.

        Returns:
            The agent; None if none accepts flows.
        """
        request = self._request(packet.flow, route)
        return placement.choose(
            self._candidates(request, excluded),
            self._flow_cost(request.service),
            request.terms.objective_s if request.terms else None,
        )

    def find_exhaustion(
        self,
        packet: packets.Packet,
        route: routes.Route,
        chosen: placement.Candidate,
    ) -> edge_rejection.Exhaustion | None:
        """Return why no agent can serve a flow in time; None if one may.

        Args:
            packet: The opening packet.
            route: Route of the packet.
            chosen: Agent that would be offered it. While this one has time, no
                other one has to be looked at.
        """
        request = self._request(packet.flow, route)
        return self._exhaustion(request, chosen, packet.acknowledged)

    def preview(self, flow: bytes, route: routes.Route) -> Preview:
        """Return where a new flow would be placed, without placing it.

        Nothing that a later choice depends on is changed.

        Args:
            flow: Key of the flow.
            route: Route of the flow.
        """
        service = flow_lookup.service_of(route, flow)
        capacity = self._capacity.preview(service)
        now = clock.now()
        request = _Request(
            service,
            self._terms_of(route),
            flow,
            lambda _, instance: capacity.share(instance, now),
        )
        flow_cost = self._cached_flow_cost(service)
        if flow_cost is None:
            flow_cost = self._mean_flow_cost(service)
        scored = placement.scored(
            self._candidates(request, frozenset()),
            flow_cost,
            request.terms.objective_s if request.terms else None,
        )
        chosen = scored.chosen
        return Preview(
            service,
            tuple(self._viewed_agents(request, capacity)),
            scored,
            chosen and self._exhaustion(request, chosen, copy=0),
        )

    def note_placed(self, instance: str) -> None:
        """Count a flow that is offered to an agent."""
        peer = self._mesh.peer(instance)
        if peer is not None:
            peer.placed_flows += 1
            peer.placed_since_report += 1

    def _terms_of(
        self, route: routes.Route
    ) -> request_class.RequestClass | None:
        """Return the terms of a route, None if they decide nothing here."""
        if not self._settings.schedules_by_class:
            return None
        return route.request_class

    def _request(self, flow: bytes, route: routes.Route) -> _Request:
        return _Request(
            flow_lookup.service_of(route, flow),
            self._terms_of(route),
            flow,
            self._capacity.share,
        )

    def _exhaustion(
        self, request: _Request, chosen: placement.Candidate, copy: int
    ) -> edge_rejection.Exhaustion | None:
        if request.terms is None:
            return None
        left_s = edge_rejection.time_left_s(request.terms, copy)
        if not edge_rejection.is_too_late(chosen, left_s):
            return None
        return edge_rejection.find_exhaustion(
            self._candidates(request, frozenset()), left_s
        )

    def _viewed_agents(
        self, request: _Request, capacity: server_capacity.ServerCapacity
    ) -> abc.Iterator[ViewedAgent]:
        """Yield the agents in the order of a flow until a sample is full."""
        healthy = 0
        for instance in self._agent_order(request.service, request.flow):
            record = self._mesh.registry.get(instance)
            if record is None:
                continue
            candidate = self._candidate(record, request)
            yield ViewedAgent(
                record,
                self._mesh.peer(instance),
                candidate,
                capacity.state(instance),
            )
            healthy += candidate is not None and not candidate.is_suspect
            if healthy == placement.SAMPLE_SIZE:
                return

    def _candidates(
        self,
        request: _Request,
        excluded: abc.Set[str],
    ) -> abc.Iterator[placement.Candidate]:
        """Yield the agents that accept flows, in the order of the flow."""
        for instance in self._agent_order(request.service, request.flow):
            record = self._mesh.registry.get(instance)
            if record is None or instance in excluded:
                continue
            candidate = self._candidate(record, request)
            if candidate is not None:
                yield candidate

    def _candidate(
        self,
        record: members.InstanceRecord,
        request: _Request,
    ) -> placement.Candidate | None:
        terms = request.terms
        if record.state != members_const.STATE_READY:
            return None
        if record.failure_domain in self._configuration.domains_out:
            return None
        peer = self._mesh.peer(record.instance)
        if peer is None or peer.load is None or not peer.load.accepts:
            return None
        share: float = 1
        if terms is not None:
            share = request.share(record.service, record.instance)
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
            expectation=self._expectation(record, terms) if terms else None,
            is_avoided=share < 1 and _position(request.flow) >= share,
        )

    def _expectation(
        self,
        record: members.InstanceRecord,
        terms: request_class.RequestClass,
    ) -> placement.Expectation | None:
        """Return what a request can expect; None if no report is recent."""
        capacity = self._mesh.capacity_of(record.instance)
        peer = self._mesh.peer(record.instance)
        if capacity is None or peer is None:
            return None
        return placement.Expectation(
            wait_s=capacity.wait_s(terms.priority),
            age_s=clock.now() - peer.capacity_at,
            work_s=capacity.work_s,
            committed=capacity.committed,
            placed=peer.placed_since_report,
            round_trip_s=self._mesh.round_trip_s(record.failure_domain),
        )

    def _flow_cost(self, service: str) -> float:
        """Return the mean number of requests in progress per open flow."""
        cost = self._cached_flow_cost(service)
        if cost is None:
            cost = self._mean_flow_cost(service)
            valid_until = clock.now() + FLOW_COST_TTL_S
            self._flow_costs[service] = (valid_until, cost)
        return cost

    def _cached_flow_cost(self, service: str) -> float | None:
        valid_until, cost = self._flow_costs.get(service, (-math.inf, 1.0))
        return cost if clock.now() < valid_until else None

    def _mean_flow_cost(self, service: str) -> float:
        return placement.busy_per_flow(
            (peer.load.busy, peer.load.flows)
            for record in self._mesh.registry.agents(service)
            if (peer := self._mesh.peer(record.instance)) is not None
            and peer.load is not None
        )


def _position(flow: bytes) -> float:
    """Return the position of a flow in the range from 0 to 1.

    It does not depend on the hash that selects the service of the flow.
    """
    return xxhash.xxh32_intdigest(flow) / _POSITIONS
