"""Which instances a process keeps records of, and compares with a peer."""

from kumquatport.version import members


class Membership:
    """The records that this process keeps.

    A balancer keeps all. An agent keeps the balancers: it deals with no other
    agent, and what changes at one of thousands costs the others nothing.

    Attributes:
        registry: The records, with this process's own.
    """

    def __init__(self, *, keeps_agents: bool) -> None:
        """Start empty.

        Args:
            keeps_agents: Whether records of agents are kept.
        """
        self.registry = members.Registry()
        self._keeps_agents = keeps_agents
        self._balancers = members.Registry()
        self.registry.subscribe(self._on_record)

    def keeps(self, record: members.InstanceRecord) -> bool:
        """Tell whether records of such an instance are kept."""
        return self._keeps_agents or record.kind == members.KIND_BALANCER

    def merge(self, record: members.InstanceRecord) -> bool:
        """Keep a record if it outranks the one held.

        Returns:
            Whether the record held has changed.
        """
        return self.keeps(record) and self.registry.merge(record)

    def forget(self, instance: str) -> None:
        """Drop an instance as if never heard of."""
        self.registry.forget(instance)
        self._balancers.forget(instance)

    def expire(self) -> None:
        """Drop the records of instances that departed long ago."""
        self.registry.expire()
        self._balancers.expire()

    def shared_with(self, kind: str) -> members.Registry:
        """Return what a peer of a kind keeps as well.

        Args:
            kind: ``agent`` or ``balancer``.
        """
        if self._keeps_agents and kind == members.KIND_BALANCER:
            return self.registry
        return self._balancers

    def _on_record(
        self,
        record: members.InstanceRecord,
        _previous: members.InstanceRecord | None,
    ) -> None:
        if record.kind == members.KIND_BALANCER:
            self._balancers.merge(record)
