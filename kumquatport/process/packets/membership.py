"""Records of instances that a process keeps and shares with a peer."""

from collections import abc

from kumquatport.helpers import clock
from kumquatport.process.packets import const
from kumquatport.version import members
from kumquatport.version.members import const as members_const


class Membership:
    """Records of instances that this process keeps.

    A balancer keeps all records. An agent keeps only those of balancers: it
    does not communicate with other agents, and a change of one agent then
    causes no traffic to thousands of others.

    Attributes:
        registry: The records, including this process's own.
        is_listed: Whether all members in the store have been read.
        is_informed: Whether members have been read from the store, or agree
            with those of a peer that was informed.
    """

    def __init__(self, *, keeps_agents: bool) -> None:
        """Start without records.

        Args:
            keeps_agents: Whether records of agents are kept.
        """
        self.registry = members.Registry()
        self._keeps_agents = keeps_agents
        self._balancers = members.Registry()
        self._new_agents: dict[str, dict[str, float]] = {}
        self.is_listed = False
        self.is_informed = False
        self.registry.subscribe(self._on_record)

    def should_keep(self, record: members.InstanceRecord) -> bool:
        """Return whether a record belongs to the kinds that are kept."""
        return self._keeps_agents or record.kind == members.KIND_BALANCER

    def merge(self, record: members.InstanceRecord) -> bool:
        """Store a record if it is newer than the stored one.

        Returns:
            Whether the stored record has changed.
        """
        return self.should_keep(record) and self.registry.merge(record)

    def forget(self, instance: str) -> None:
        """Remove the record of an instance."""
        self.registry.forget(instance)
        self._balancers.forget(instance)

    def expire(self) -> None:
        """Remove the records of instances that departed long ago."""
        self.registry.expire()
        self._balancers.expire()

    def shared_registry(self, kind: str) -> members.Registry:
        """Return the records that peers of a kind keep too.

        Args:
            kind: Kind of the peers, ``agent`` or ``balancer``.
        """
        if self._keeps_agents and kind == members.KIND_BALANCER:
            return self.registry
        return self._balancers

    def note_listed(self, names: abc.Iterable[str]) -> None:
        """Record that all members in the store have been read.

        Unless the store refused it, an agent is in the store before it accepts
        flows. So a listed agent is no sign that more agents are still unknown.

        Args:
            names: Names of the instances in the store.
        """
        self.is_listed = True
        self.is_informed = True
        listed = frozenset(names)
        for agents in self._new_agents.values():
            for name in listed.intersection(agents):
                agents.pop(name)

    def is_settled(self, service: str) -> bool:
        """Return whether no agent of a service has appeared recently.

        A process that has just started learns agents that are not in the store
        one after the other. Vacant agents do not count: such an agent deleted
        its record when it left and is back with its host, but without a
        backend server, so it holds no flows.

        Args:
            service: Name of the service.
        """
        agents = self._new_agents.get(service, {})
        since = clock.now() - const.MEMBERS_SETTLED_S
        for name, appeared_at in tuple(agents.items()):
            if appeared_at <= since:
                agents.pop(name)
        return all(self._is_vacant(name) for name in agents)

    def _is_vacant(self, name: str) -> bool:
        record = self.registry.get(name)
        return record is None or record.state == members_const.STATE_VACANT

    def _on_record(
        self,
        record: members.InstanceRecord,
        previous: members.InstanceRecord | None,
    ) -> None:
        is_new = previous is None and not members.is_departed(record)
        if is_new and record.service:
            agents = self._new_agents.setdefault(record.service, {})
            agents[record.instance] = clock.now()
        if record.kind == members.KIND_BALANCER:
            self._balancers.merge(record)
