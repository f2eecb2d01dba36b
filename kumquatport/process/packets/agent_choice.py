"""Choice of the agent that is offered a new flow, by what peers report."""

import math
import typing
from collections import abc

import xxhash

from kumquatport.connection.packets import (
    edge_rejection,
    placement,
    request_class,
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
    """

    service: str
    terms: request_class.RequestClass | None


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
        request = _request_of(packet, route)
        return placement.choose(
            self._candidates(packet, request, excluded),
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
        request = _request_of(packet, route)
        if request.terms is None:
            return None
        left_s = edge_rejection.time_left_s(request.terms, packet.acknowledged)
        if not edge_rejection.is_too_late(chosen, left_s):
            return None
        return edge_rejection.find_exhaustion(
            self._candidates(packet, request, frozenset()), left_s
        )

    def note_placed(self, instance: str) -> None:
        """Count a flow that is offered to an agent."""
        peer = self._mesh.peer(instance)
        if peer is not None:
            peer.placed_flows += 1
            peer.placed_since_room += 1

    def _candidates(
        self,
        packet: packets.Packet,
        request: _Request,
        excluded: abc.Set[str],
    ) -> abc.Iterator[placement.Candidate]:
        """Yield the agents that accept flows, in the order of the flow."""
        for instance in self._agent_order(request.service, packet.flow):
            record = self._mesh.registry.get(instance)
            if record is None or instance in excluded:
                continue
            candidate = self._candidate(record, packet, request.terms)
            if candidate is not None:
                yield candidate

    def _candidate(
        self,
        record: members.InstanceRecord,
        packet: packets.Packet,
        terms: request_class.RequestClass | None,
    ) -> placement.Candidate | None:
        if record.state != members_const.STATE_READY:
            return None
        if record.failure_domain in self._configuration.domains_out:
            return None
        peer = self._mesh.peer(record.instance)
        if peer is None or peer.load is None or not peer.load.accepts:
            return None
        share: float = 1
        if terms is not None:
            share = self._capacity.share(record.service, record.instance)
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
            is_avoided=share < 1 and _position(packet.flow) >= share,
        )

    def _expectation(
        self,
        record: members.InstanceRecord,
        terms: request_class.RequestClass,
    ) -> placement.Expectation | None:
        """Return what a request can expect; None if no report is recent."""
        room = self._mesh.room_of(record.instance)
        peer = self._mesh.peer(record.instance)
        if room is None or peer is None:
            return None
        return placement.Expectation(
            wait_s=room.wait_s(terms.priority),
            age_s=clock.now() - peer.room_at,
            work_s=room.work_s,
            committed=room.committed,
            placed=peer.placed_since_room,
            round_trip_s=self._mesh.round_trip_s(record.failure_domain),
        )

    def _flow_cost(self, service: str) -> float:
        """Return the mean number of requests in progress per open flow."""
        now = clock.now()
        valid_until, cost = self._flow_costs.get(service, (-math.inf, 1.0))
        if now >= valid_until:
            cost = placement.busy_per_flow(
                (peer.load.busy, peer.load.flows)
                for record in self._mesh.registry.agents(service)
                if (peer := self._mesh.peer(record.instance)) is not None
                and peer.load is not None
            )
            self._flow_costs[service] = (now + FLOW_COST_TTL_S, cost)
        return cost


def _request_of(packet: packets.Packet, route: routes.Route) -> _Request:
    service = flow_lookup.service_of(route, packet.flow)
    return _Request(service, route.request_class)


def _position(flow: bytes) -> float:
    """Return the position of a flow in the range from 0 to 1.

    It does not depend on the hash that selects the service of the flow.
    """
    return xxhash.xxh32_intdigest(flow) / _POSITIONS
