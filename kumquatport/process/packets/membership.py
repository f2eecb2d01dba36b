"""Which instances a process keeps records of, and compares with a peer."""

from collections import abc

from kumquatport.helpers import clock
from kumquatport.process.packets import const
from kumquatport.version import members
from kumquatport.version.members import const as members_const


class Membership:
    """The records that this process keeps.

    A balancer keeps all. An agent keeps the balancers: it deals with no other
    agent, and what changes at one of thousands costs the others nothing.

    Attributes:
        registry: The records, with this process's own.
        is_listed: Whether the store has listed all members.
    """

    def __init__(self, *, keeps_agents: bool) -> None:
        """Start empty.

        Args:
            keeps_agents: Whether records of agents are kept.
        """
        self.registry = members.Registry()
        self._keeps_agents = keeps_agents
        self._balancers = members.Registry()
        self._new_agents: dict[str, dict[str, float]] = {}
        self.is_listed = False
        self.registry.subscribe(self._on_record)

    def should_keep(self, record: members.InstanceRecord) -> bool:
        """Tell whether records of such an instance are kept."""
        return self._keeps_agents or record.kind == members.KIND_BALANCER

    def merge(self, record: members.InstanceRecord) -> bool:
        """Keep a record if it outranks the one held.

        Returns:
            Whether the record held has changed.
        """
        return self.should_keep(record) and self.registry.merge(record)

    def forget(self, instance: str) -> None:
        """Drop an instance as if never heard of."""
        self.registry.forget(instance)
        self._balancers.forget(instance)

    def expire(self) -> None:
        """Drop the records of instances that departed long ago."""
        self.registry.expire()
        self._balancers.expire()

    def shared_registry(self, kind: str) -> members.Registry:
        """Return what a peer of a kind keeps as well.

        Args:
            kind: ``agent`` or ``balancer``.
        """
        if self._keeps_agents and kind == members.KIND_BALANCER:
            return self.registry
        return self._balancers

    def note_listed(self, names: abc.Iterable[str]) -> None:
        """Note which members the store has listed: all that it holds.

        An agent is in the store before it takes flows, unless the store
        refused it. So one that is listed does not tell of others to come.

        Args:
            names: The instances.
        """
        self.is_listed = True
        listed = frozenset(names)
        for agents in self._new_agents.values():
            for name in listed.intersection(agents):
                agents.pop(name)

    def is_settled(self, service: str) -> bool:
        """Tell whether no agent of a service has appeared lately.

        A process that has just started learns those that the store did not
        list one after the other. An agent that left deleted its record; it is
        back without a backend server when its machine is, and holds nothing.

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
