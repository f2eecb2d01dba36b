"""Lookup of the agent that holds a flow unknown to this balancer."""

import collections
import math
import typing
import zlib
from collections import abc

from kumquatport.connection.packets import (
    flow_cache,
    frame,
    hash_ring,
    waiting_packets,
)
from kumquatport.connection.packets import packet as packets
from kumquatport.connection.packets import search as searches
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    decision_log,
    lookup_questions,
    mass_restart,
    mesh,
    models,
    registrar,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

# Packets delivered within ``reorder_s`` only to probe whether a backend server
# holds a flow.
MAX_PROBES: typing.Final = 2

# Seconds between two checks whether most instances have just restarted.
RESTART_CHECK_S: typing.Final = 0.1

# Questions by the key of a flow to an agent before it is sent the packet.
MAX_QUESTIONS: typing.Final = 2

# Seconds after which a lookup goes on without the answers that are missing. A
# receiver counts as silent only once ``ANSWER_TIMEOUT_S`` has passed.
CONTINUE_AFTER_S: typing.Final = searches.ANSWER_TIMEOUT_S + 0.001


class PacketActions(typing.NamedTuple):
    """Callbacks that dispose of a packet.

    Attributes:
        forward: Forwards a packet to an agent, given the detail of the frame.
        test: Does the same with a packet that asks whether the agent holds its
            flow.
        reset_lost: Sends a reset for a lost flow, given the number of agents
            that do not hold it.
        forget: Removes a flow from the flow table.
        route_of: Returns the route of a packet, None if there is none.
    """

    forward: abc.Callable[[packets.Packet, str, int], None]
    test: abc.Callable[[packets.Packet, str, int], None]
    reset_lost: abc.Callable[[packets.Packet, int], None]
    forget: abc.Callable[[bytes], None]
    route_of: abc.Callable[[packets.Packet], routes.Route | None]


class _PossibleHolders(typing.NamedTuple):
    """The agents of a service that may hold flows.

    Attributes:
        digest: Digest of the service's agents when these were selected.
        records: Records of the agents that may hold flows.
        names: Instance names of the same agents.
    """

    digest: int
    records: tuple[members.InstanceRecord, ...]
    names: frozenset[str]


class UnresolvedPacket(typing.NamedTuple):
    """A packet of a flow whose agent this balancer does not know.

    Attributes:
        packet: The packet.
        route: Route of the packet.
        flow: State of the flow.
    """

    packet: packets.Packet
    route: routes.Route
    flow: flow_cache.CachedFlow


class _Lookup(typing.NamedTuple):
    """A lookup that waits for answers.

    Attributes:
        flow: State of the flow.
        due_at: Monotonic time in seconds at which it goes on without them.
        questioned: Instances that were asked by the key of the flow.
    """

    flow: flow_cache.CachedFlow
    due_at: float
    questioned: abc.Iterable[str]


class FlowLookup:
    """Asks registrars, then likely agents, then all agents.

    One lookup at a time is under way for a flow. The packets that arrive
    meanwhile are kept, and forwarded when its agent is found.

    Attributes:
        registrar: Flows that agents have registered with this balancer.
        questions: Questions to other instances by the keys of flows.
        call_later: Calls a function after some seconds.
    """

    def __init__(
        self,
        settings: models.Settings,
        peers: mesh.Mesh,
        codec: packets.Codec,
        log: decision_log.DecisionLog,
        actions: PacketActions,
    ) -> None:
        """Start without registered flows.

        Args:
            settings: Settings of this process.
            peers: Mesh of the other instances.
            codec: Packet codec.
            log: Log of the decisions.
            actions: Callbacks that dispose of a packet.
        """
        self.registrar = registrar.Registrar(settings, codec, peers)
        self.call_later: abc.Callable[
            [float, abc.Callable[[], None]], object
        ] = peers.call_later
        self.questions = lookup_questions.LookupQuestions(peers)
        self._waiting = waiting_packets.WaitingPackets()
        self._lookups: collections.OrderedDict[bytes, _Lookup] = (
            collections.OrderedDict()
        )
        self._is_scheduled = False
        self._settings = settings
        self._mesh = peers
        self._log = log
        self._actions = actions
        self._rings = hash_ring.HashRings()
        self._holders_by_service: dict[str, _PossibleHolders] = {}
        self._greeted_at: dict[str, float] = {}
        self._restart_checked_at = -math.inf
        self._is_mass_restart = False

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings
        self.registrar.handover.apply_settings(settings)

    def agent_order(self, service: str, flow: bytes) -> abc.Iterator[str]:
        """Yield the agents of a service in the hash order of a flow."""
        registry = self._mesh.registry
        service_ring = self._rings.of_service(
            service,
            registry.service_digest(service),
            lambda: (record.instance for record in registry.agents(service)),
        )
        return service_ring.walk(flow)

    def possible_holders(
        self, route: routes.Route
    ) -> list[members.InstanceRecord]:
        """Return the agents that may hold flows of a route.

        A vacant agent has no backend server and so holds none. Its record
        carries this state, so every balancer learns it with the record.
        """
        return [
            record
            for share in route.services
            for record in self._holders_of(share.service).records
        ]

    def resolve(self, unresolved: UnresolvedPacket) -> None:
        """Keep a packet and start or continue the lookup of its flow.

        Nobody is asked while answers are awaited. Otherwise each packet of a
        window would be sent to all agents.
        """
        now = clock.now()
        self._waiting.add(unresolved.packet, now)
        if now >= unresolved.flow.search.waits_until:
            self._continue(unresolved)

    def discard(self, flow: bytes) -> None:
        """End the lookup of a flow and drop its packets."""
        self._end(flow)
        self._waiting.discard(flow)

    def _end(self, flow: bytes) -> None:
        """Wait for no more answers about a flow, and ask no more."""
        self._lookups.pop(flow, None)
        self.questions.cancel(flow)

    def expire(self) -> None:
        """Drop packets that have become useless and expired registrations."""
        self._waiting.expire(clock.now())
        self.registrar.expire()

    def _continue(
        self, unresolved: UnresolvedPacket, *, is_overdue: bool = False
    ) -> None:
        """Ask the next registrar, or the agents if there is none.

        Args:
            unresolved: Packet of the flow.
            is_overdue: Whether only time has passed since the last step.
        """
        search = unresolved.flow.search
        registered = self.registrar.find(unresolved.packet.flow)
        if (
            registered is not None
            and registered.instance not in search.not_holding
        ):
            self._forward_to(unresolved, registered.instance)
            return
        registrars = self.registrar.other_registrars(unresolved.packet.flow)
        registrar_name = search.next_registrar(registrars, clock.now())
        if registrar_name:
            self._ask_registrar(unresolved, registrar_name)
        else:
            self._ask_agents(unresolved, is_overdue=is_overdue)

    def _ask_registrar(
        self, unresolved: UnresolvedPacket, registrar_name: str
    ) -> None:
        if self.questions.can_ask(registrar_name):
            self._question(frame.KIND_FIND, registrar_name, unresolved)
            self._await_answers(unresolved, (registrar_name,))
        else:
            self.registrar.query(registrar_name, unresolved.packet)
            self._await_answers(unresolved)

    def _question(
        self, kind: int, instance: str, unresolved: UnresolvedPacket
    ) -> None:
        self.questions.ask(
            kind, instance, unresolved.packet.flow, self.call_later
        )

    def on_location(
        self, unresolved: UnresolvedPacket, sender: str, address: str
    ) -> None:
        """Handle a registrar's answer.

        Args:
            unresolved: Packet that the answer carried back.
            sender: Name of the registrar.
            address: Address of the agent that it names; empty for none.
        """
        self._waiting.add(unresolved.packet, clock.now())
        self._locate(unresolved, sender, address)

    def on_found(
        self,
        key: bytes,
        flow: flow_cache.CachedFlow,
        sender: str,
        address: str,
    ) -> None:
        """Handle a registrar's answer about a flow; see ``on_location``."""
        unresolved = self._kept(key, flow)
        if unresolved is not None and not flow.agents:
            self._locate(unresolved, sender, address)

    def on_denied(
        self, key: bytes, flow: flow_cache.CachedFlow, instance: str
    ) -> None:
        """Continue after an agent has answered that it does not hold a flow.

        An answer to a former search is ignored, and so is one about a flow
        whose agent has been found or chosen meanwhile: if that agent does not
        hold it, it returns the packets.

        Args:
            key: Key of the flow.
            flow: State of the flow.
            instance: Name of the agent.
        """
        if flow.agents or not flow.was_questioned(instance):
            return
        flow.search.not_holding.add(instance)
        unresolved = self._kept(key, flow)
        if unresolved is not None:
            self.on_not_held(unresolved, instance, was_only=False)

    def on_undecided(
        self, key: bytes, flow: flow_cache.CachedFlow, instance: str
    ) -> None:
        """Send a packet to an agent that cannot tell by the key of a flow.

        Args:
            key: Key of the flow.
            flow: State of the flow.
            instance: Name of the agent.
        """
        if flow.agents or not flow.was_questioned(instance):
            return
        search = flow.search
        unresolved = self._kept(key, flow)
        if unresolved is None or instance in search.not_holding:
            return
        if instance not in search.asked_with:
            self._test(unresolved, instance, frame.FORWARD_QUERY)

    def _test(
        self, unresolved: UnresolvedPacket, instance: str, detail: int
    ) -> None:
        """Send an agent the packet, to learn whether it holds the flow."""
        packet = unresolved.packet
        search = unresolved.flow.search
        search.asked_with[instance] = waiting_packets.identity(packet)
        self._actions.test(packet, instance, detail)

    def _kept(
        self, key: bytes, flow: flow_cache.CachedFlow
    ) -> UnresolvedPacket | None:
        """Return the packet of a flow that was kept last, None if none is."""
        packet = self._waiting.latest(key, clock.now())
        route = self._actions.route_of(packet) if packet else None
        if packet is None or route is None:
            return None
        return UnresolvedPacket(packet, route, flow)

    def _locate(
        self, unresolved: UnresolvedPacket, sender: str, address: str
    ) -> None:
        """Forward to the agent that a registrar names, or ask the next."""
        search = unresolved.flow.search
        search.locations.pop(sender, None)
        instance = self._mesh.instance_at(address)
        if instance and instance not in search.not_holding:
            self._forward_to(unresolved, instance)
            return
        search.unknown_to.add(sender)
        if address and not instance:
            search.locations[sender] = address
            self._greet(address)
        self._continue(unresolved)

    def on_held(
        self, flow: bytes, cached: flow_cache.CachedFlow, instance: str
    ) -> None:
        """Forward the kept packets of a flow to the agent that holds it.

        An answer that arrives after the same agent has denied the flow is
        older than that, and ignored.

        Args:
            flow: Key of the flow.
            cached: State of the flow.
            instance: Name of the agent.
        """
        if cached.is_denied_by(instance):
            return
        if (
            cached.was_questioned(instance)
            and instance not in cached.search.asked_with
        ):
            self.questions.note_answer(instance)
        kept = self._waiting.pop(flow, clock.now())
        # The agent has delivered the packet that it was asked with.
        delivered = cached.search.asked_with.get(instance) if kept else None
        cached.confirm(instance)
        self._end(flow)
        for packet in kept:
            if waiting_packets.identity(packet) != delivered:
                self._actions.forward(packet, instance, 0)

    def keep_returned(self, unresolved: UnresolvedPacket) -> None:
        """Keep a packet that an agent has returned, unless others have it."""
        if not unresolved.flow.agents:
            self._waiting.add(unresolved.packet, clock.now())

    def on_not_held(
        self, unresolved: UnresolvedPacket, instance: str, *, was_only: bool
    ) -> None:
        """Continue after an agent has reported that it does not hold a flow.

        Args:
            unresolved: Packet that the agent returned.
            instance: Name of the agent.
            was_only: Whether no other agent was assigned to the flow.
        """
        flow = unresolved.flow
        flow.search.not_holding.add(instance)
        names = self._possible_holder_names(unresolved.route)
        if not names - flow.search.not_holding:
            self._give_up(unresolved)
        elif was_only:
            self._continue(unresolved)
        elif not flow.agents and flow.search.should_ask_all(
            names, self._lookup_order(unresolved)
        ):
            self._ask_agents(unresolved)

    def _forward_to(self, unresolved: UnresolvedPacket, instance: str) -> None:
        """Forward the kept packets to the agent that has registered a flow."""
        key = unresolved.packet.flow
        unresolved.flow.agents = (instance,)
        self._log.note('flow found', key, agent=instance)
        self._end(key)
        # FORWARD_PROBE lets a restarted agent, whose flow table is lost, test
        # whether its backend server holds the flow.
        detail = frame.FORWARD_QUERY | frame.FORWARD_PROBE
        for packet in self._waiting.pop(key, clock.now()):
            self._actions.forward(packet, instance, detail)
            detail = 0

    def _await_answers(
        self,
        unresolved: UnresolvedPacket,
        questioned: abc.Iterable[str] = (),
    ) -> None:
        """Ask nobody about a flow until answers arrive or are overdue.

        Args:
            unresolved: Packet of the flow.
            questioned: Instances that were asked by the key of the flow.
        """
        key = unresolved.packet.flow
        due_at = clock.now() + CONTINUE_AFTER_S
        unresolved.flow.search.waits_until = due_at
        self._lookups[key] = _Lookup(unresolved.flow, due_at, questioned)
        self._lookups.move_to_end(key)
        self._schedule()

    def _schedule(self) -> None:
        if self._lookups and not self._is_scheduled:
            self._is_scheduled = True
            due_at = next(iter(self._lookups.values())).due_at
            delay_s = max(due_at - clock.now(), 0)
            self.call_later(delay_s, self._continue_overdue)

    def _continue_overdue(self) -> None:
        """Continue the lookups whose answers are overdue."""
        self._is_scheduled = False
        now = clock.now()
        while self._lookups:
            key, lookup = next(iter(self._lookups.items()))
            if lookup.due_at > now:
                break
            self._lookups.pop(key)
            self._continue_without_answer(key, lookup)
        self._schedule()

    def _continue_without_answer(self, key: bytes, lookup: _Lookup) -> None:
        """Ask the next instances, or the same ones with the packet."""
        unresolved = self._kept(key, lookup.flow)
        if unresolved is None or lookup.flow.agents:
            return
        if self.questions.is_queued(key):
            self._await_answers(unresolved, lookup.questioned)
            return
        search = lookup.flow.search
        for instance in lookup.questioned:
            if instance not in search.not_holding | search.unknown_to:
                self.questions.note_unanswered(instance)
        self._continue(unresolved, is_overdue=True)

    def _lookup_order(self, unresolved: UnresolvedPacket) -> abc.Iterator[str]:
        flow = unresolved.packet.flow
        return self.agent_order(service_of(unresolved.route, flow), flow)

    def _possible_holder_names(self, route: routes.Route) -> frozenset[str]:
        first, *others = [
            self._holders_of(share.service).names for share in route.services
        ]
        return first.union(*others) if others else first

    def _holders_of(self, service: str) -> _PossibleHolders:
        """Return the possible holders of a service.

        They are cached until the digest of the service's records changes,
        because each answer during a lookup needs them.
        """
        digest = self._mesh.registry.service_digest(service)
        cached = self._holders_by_service.get(service)
        if cached is None or cached.digest != digest:
            records = tuple(
                record
                for record in self._mesh.registry.agents(service)
                if record.state != members_const.STATE_VACANT
            )
            names = frozenset(record.instance for record in records)
            cached = _PossibleHolders(digest, records, names)
            self._holders_by_service[service] = cached
        return cached

    def _ask_agents(
        self, unresolved: UnresolvedPacket, *, is_overdue: bool = False
    ) -> None:
        """Ask the next agents that may hold a flow.

        An agent that knows all flows is asked with the key of the flow, and
        twice at most. All others are sent the packet, once until the client
        sends its next one.

        Args:
            unresolved: Packet of the flow.
            is_overdue: Whether only time has passed since the last step.
        """
        now = clock.now()
        search = unresolved.flow.search
        names = self._possible_holder_names(unresolved.route)
        asked = search.next_agents(names, self._lookup_order(unresolved), now)
        if not asked:
            self._give_up(unresolved)
            return
        questioned = [
            name for name in asked if self._may_question(search, name)
        ]
        tested = [
            name
            for name in asked
            if name not in questioned
            and not (is_overdue and name in search.asked_with)
        ]
        if not questioned and not tested:
            return
        self._await_answers(unresolved, questioned)
        for instance in questioned:
            search.questions[instance] = search.questions.get(instance, 0) + 1
            self._question(frame.KIND_HOLDS, instance, unresolved)
        probes = self._remaining_probes(search, names)
        self._log.note(
            'flow looked up',
            unresolved.packet.flow,
            asked=len(questioned),
            sent=len(tested),
            missing=len(search.not_holding),
            tests=probes,
        )
        for instance in tested:
            detail = frame.FORWARD_QUERY
            if probes > 0 and not self._knows_all_flows(instance):
                probes -= 1
                search.record_probe(now)
                detail |= frame.FORWARD_PROBE
            self._test(unresolved, instance, detail)

    def _may_question(self, search: searches.FlowSearch, instance: str) -> bool:
        """Return whether an agent is asked with the key of a flow."""
        return (
            self._knows_all_flows(instance)
            and search.questions.get(instance, 0) < MAX_QUESTIONS
            and self.questions.can_ask(instance)
        )

    def _knows_all_flows(self, instance: str) -> bool:
        peer = self._mesh.peer(instance)
        return bool(peer and peer.load and peer.load.knows_all_flows)

    def _remaining_probes(
        self, search: searches.FlowSearch, names: abc.Set[str]
    ) -> int:
        """Return the number of backend servers that may be probed for a flow.

        Users see the packets that reach other backend servers as misdelivered
        if none reaches the flow's own meanwhile: its agent may be stopping or
        slow. After a restart of most instances only probes tell whether a flow
        is still held, and its client waits for that.
        """
        now = clock.now()
        if self._is_after_mass_restart(now):
            return len(names)
        since = now - self._settings.bounds.reorder_s
        return MAX_PROBES - search.count_probes(since)

    def _is_after_mass_restart(self, now: float) -> bool:
        if now >= self._restart_checked_at + RESTART_CHECK_S:
            self._restart_checked_at = now
            self._is_mass_restart = mass_restart.is_mass_restart(
                self._mesh.starts(), now
            )
        return self._is_mass_restart

    def _give_up(self, unresolved: UnresolvedPacket) -> None:
        """Reset a flow that no known agent holds.

        While an agent may still be unknown, nothing is sent: the client
        retransmits its packet, and more agents are known by then.
        """
        packet, route, flow = unresolved
        flow.search.waits_until = 0
        self._end(packet.flow)
        missing = len(flow.search.not_holding)
        unknown_holders = self._unknown_holders(flow.search)
        if unknown_holders:
            self._log.note('flow not found yet', packet.flow, missing=missing)
            for address in unknown_holders:
                self._greet(address)
            flow.search.ask_registrars_again()
            return
        services = [share.service for share in route.services]
        if not all(
            self._mesh.knows_all_agents(service) for service in services
        ):
            self._log.note('flow not found yet', packet.flow, missing=missing)
            return
        if not self.possible_holders(route):
            return
        self._waiting.discard(packet.flow)
        self._actions.forget(packet.flow)
        self._actions.reset_lost(packet, missing)

    def _unknown_holders(self, search: searches.FlowSearch) -> set[str]:
        """Return the named addresses at which no instance is known yet."""
        return {
            address
            for address in search.locations.values()
            if not self._mesh.instance_at(address)
        }

    def _greet(self, address: str) -> None:
        """Request the record of an instance, unless it was just requested."""
        now = clock.now()
        greeted_at = self._greeted_at.get(address, -math.inf)
        if now - greeted_at >= searches.ANSWER_TIMEOUT_S:
            self._greeted_at[address] = now
            self._mesh.greet((address,))


def service_of(route: routes.Route, flow: bytes) -> str:
    """Return the service of a flow, by the weights of its route.

    The choice depends on the flow alone, so all balancers agree on it.
    """
    total = sum(share.weight for share in route.services)
    position = zlib.crc32(flow) / 2**32 * total
    for share in route.services:
        position -= share.weight
        if position < 0:
            return share.service
    return route.services[-1].service
