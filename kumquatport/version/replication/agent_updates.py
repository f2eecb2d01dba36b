"""What each agent has been told of the agents of its service."""

import typing

from kumquatport.version import members
from kumquatport.version.replication import messages, subset


class _Told(typing.NamedTuple):
    """How far one agent was told.

    Attributes:
        incarnation: Of the agent, when it was last told.
        revision: Of the registry, at that time.
        digests: The agent's digest and the one here, as they differed.
    """

    incarnation: int
    revision: int
    digests: tuple[int, int]


_NEVER: typing.Final = _Told(0, 0, (0, 0))


class AgentUpdates:
    """Chooses the records that a heartbeat answer carries.

    An agent is told what changed since it was last told. If the digests
    differ in the same way twice, something got lost, and it is told all.
    """

    def __init__(self, registry: members.Registry) -> None:
        """Start without having told anybody.

        Args:
            registry: Of the observer.
        """
        self._registry = registry
        self._told: dict[str, _Told] = {}

    def forget(self, instance: str) -> None:
        """Drop what is kept of an agent that departed."""
        self._told.pop(instance, None)

    def records_for(
        self,
        agent: members.InstanceRecord,
        digest: int,
    ) -> messages.Records:
        """Return the records to tell an agent.

        Args:
            agent: Its record.
            digest: What it sent; 0 if it does not ask.
        """
        if not digest:
            return ()
        own = subset.digest(self._registry, agent.service, agent.instance)
        if digest == own:
            return ()
        before = self._told.get(agent.instance, _NEVER)
        if before.incarnation != agent.incarnation:
            before = _NEVER
        digests = (digest, own)
        self._told[agent.instance] = _Told(
            agent.incarnation,
            self._registry.revision,
            digests,
        )
        held = (
            *subset.agents(self._registry, agent.service, agent.instance),
            *self._registry.departed(agent.service),
        )
        if before.digests == digests:
            return held
        return self._registry.changed_since(before.revision, held)
