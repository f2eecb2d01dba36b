"""Finding the agent of a flow that this balancer does not know."""

import typing
import zlib
from collections import abc

from kumquatport.connection.packets import (
    flow_cache,
    frame,
    hash_ring,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.connection.packets import search as searches
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    decision_log,
    mesh,
    models,
    registrar,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

# Deliveries that only test whether a backend server holds a flow, while one
# that may hold it cannot be asked.
MAX_TESTS: typing.Final = 2


class PacketActions(typing.NamedTuple):
    """What becomes of packets.

    Attributes:
        forward: Sends a packet to an agent, with the detail of the frame.
        reset_lost: Answers a packet with a reset since its flow is lost, given how
            many agents do not hold it.
        forget: Forgets a flow.
    """

    forward: abc.Callable[[packets.Packet, str, int], None]
    reset_lost: abc.Callable[[packets.Packet, int], None]
    forget: abc.Callable[[bytes], None]


class _Holders(typing.NamedTuple):
    """The agents of a service that may hold flows.

    Attributes:
        digest: Of the agents of the service when these were chosen.
        records: Of those that may.
        names: Of the same.
    """

    digest: int
    records: tuple[members.InstanceRecord, ...]
    names: frozenset[str]


class UnresolvedPacket(typing.NamedTuple):
    """A packet whose flow's agent this balancer does not know.

    Attributes:
        packet: The packet.
        route: Its route.
        flow: Its flow.
    """

    packet: packets.Packet
    route: routes.Route
    flow: flow_cache.CachedFlow


class FlowLookup:
    """Asks registrars, then likely agents, then all agents.

    Attributes:
        registrar: What this balancer knows of flows of others.
    """

    def __init__(
        self,
        settings: models.Settings,
        peers: mesh.Mesh,
        codec: packets.Codec,
        log: decision_log.DecisionLog,
        outlets: PacketActions,
    ) -> None:
        """Set up.

        Args:
            settings: Of this process.
            peers: The other instances.
            codec: Format of the packets.
            log: Takes the decisions.
            outlets: What becomes of packets.
        """
        self.registrar = registrar.Registrar(settings.instance, codec, peers)
        self._settings = settings
        self._mesh = peers
        self._log = log
        self._actions = outlets
        self._rings = hash_ring.HashRings()
        self._holders: dict[str, _Holders] = {}

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings

    def agent_order(self, service: str, flow: bytes) -> abc.Iterator[str]:
        """Yield the agents of a service in the order that a flow decides."""
        registry = self._mesh.registry
        found = self._rings.of_service(
            service,
            registry.service_digest(service),
            lambda: (record.instance for record in registry.agents(service)),
        )
        return found.walk(flow)

    def possible_holders(
        self, route: routes.Route
    ) -> list[members.InstanceRecord]:
        """Return the agents that may hold flows of a route.

        One that is vacant has no backend server beside it. Its record says so,
        so this spreads like the records, over all balancers.
        """
        return [
            record
            for share in route.weighted_services
            for record in self._holders_of(share.service).records
        ]

    def resolve(self, sought: UnresolvedPacket) -> None:
        """Begin or go on to look for the agent of a flow."""
        search = sought.flow.search
        known = self.registrar.find(sought.packet.flow)
        if known is not None and known.instance not in search.not_holding:
            self._forward_to(sought, known.instance)
            return
        others = self.registrar.other_registrars(sought.packet.flow)
        asked = search.next_registrar(others, clock.now())
        if asked:
            self.registrar.query(asked, sought.packet)
        else:
            self._ask_agents(sought)

    def on_found(
        self, sought: UnresolvedPacket, sender: str, instance: str
    ) -> None:
        """Follow a registrar's answer.

        Args:
            sought: The packet that came back with it.
            sender: The registrar.
            instance: The agent that it names, empty for none.
        """
        search = sought.flow.search
        if instance and instance not in search.not_holding:
            self._forward_to(sought, instance)
        else:
            search.unknown_to.add(sender)
            self.resolve(sought)

    def on_not_held(
        self, sought: UnresolvedPacket, instance: str, *, was_last: bool
    ) -> None:
        """Go on after an agent has said that it does not hold a flow.

        Args:
            sought: The packet that came back.
            instance: The agent.
            was_last: Whether it was the only agent that the flow was sent to.
        """
        flow = sought.flow
        flow.search.not_holding.add(instance)
        names = self._possible_holder_names(sought.route)
        if not names - flow.search.not_holding:
            self._give_up(sought)
        elif was_last:
            flow.is_confirmed = False
            self.resolve(sought)
        elif not flow.agents and flow.search.should_ask_all(
            names, self._lookup_order(sought)
        ):
            self._ask_agents(sought)

    def _forward_to(self, sought: UnresolvedPacket, instance: str) -> None:
        """Send a packet to the agent that has registered its flow."""
        sought.flow.agents = (instance,)
        self._log.note('flow found', sought.packet.flow, agent=instance)
        # FORWARD_PROBE: an agent that has restarted has lost its flows, and asks its
        # backend server.
        detail = frame.FORWARD_QUERY | frame.FORWARD_PROBE
        self._actions.forward(sought.packet, instance, detail)

    def _lookup_order(self, sought: UnresolvedPacket) -> abc.Iterator[str]:
        flow = sought.packet.flow
        return self.agent_order(service_of(sought.route, flow), flow)

    def _possible_holder_names(self, route: routes.Route) -> frozenset[str]:
        first, *others = [
            self._holders_of(share.service).names
            for share in route.weighted_services
        ]
        return first.union(*others) if others else first

    def _holders_of(self, service: str) -> _Holders:
        """Return the holders of a service, chosen again after a change.

        Each answer in a search asks for them, and each change of a record
        changes the digest.
        """
        digest = self._mesh.registry.service_digest(service)
        found = self._holders.get(service)
        if found is None or found.digest != digest:
            chosen = tuple(
                record
                for record in self._mesh.registry.agents(service)
                if record.state != members_const.STATE_VACANT
            )
            names = frozenset(record.instance for record in chosen)
            found = _Holders(digest, chosen, names)
            self._holders[service] = found
        return found

    def _ask_agents(self, sought: UnresolvedPacket) -> None:
        """Ask the agents that may hold a flow by sending them its packet."""
        now = clock.now()
        search = sought.flow.search
        names = self._possible_holder_names(sought.route)
        asked = search.next_agents(names, self._lookup_order(sought), now)
        if not asked:
            self._give_up(sought)
            return
        tests = self._remaining_tests(search, names)
        self._log.note(
            'flow looked up',
            sought.packet.flow,
            asked=len(asked),
            missing=len(search.not_holding),
            tests=tests,
        )
        for instance in asked:
            detail = frame.FORWARD_QUERY
            if tests > 0 and not self._knows_all_flows(instance):
                tests -= 1
                search.record_probe(now)
                detail |= frame.FORWARD_PROBE
            self._actions.forward(sought.packet, instance, detail)

    def _knows_all_flows(self, instance: str) -> bool:
        peer = self._mesh.peer(instance)
        return bool(peer and peer.load and peer.load.knows_all_flows)

    def _remaining_tests(
        self, search: searches.FlowSearch, names: abc.Set[str]
    ) -> int:
        """Return how many backend servers may be tested for a flow now.

        While its holder may be one that cannot be reached, packets that only
        reach others look to the user like a flow gone astray.
        """
        left = names - search.not_holding
        if not any(self._mesh.is_suspect(instance) for instance in left):
            return len(names)
        since = clock.now() - self._settings.bounds.reorder_s
        return MAX_TESTS - search.count_probes(since)

    def _give_up(self, sought: UnresolvedPacket) -> None:
        """Reset a flow that no agent holds.

        An agent that is not known yet may hold it; the client sends its
        packet again, and by then more are known.
        """
        packet, route, flow = sought
        missing = len(flow.search.not_holding)
        services = [share.service for share in route.weighted_services]
        if not all(
            self._mesh.knows_all_agents(service) for service in services
        ):
            self._log.note('flow not found yet', packet.flow, missing=missing)
            return
        if not self.possible_holders(route):
            return
        self._actions.forget(packet.flow)
        self._actions.reset_lost(packet, missing)


def service_of(route: routes.Route, flow: bytes) -> str:
    """Return the service that takes a flow, by the weights of its route.

    All balancers choose the same for a flow.
    """
    total = sum(share.weight for share in route.weighted_services)
    point = zlib.crc32(flow) / 2**32 * total
    for share in route.weighted_services:
        point -= share.weight
        if point < 0:
            return share.service
    return route.weighted_services[-1].service
