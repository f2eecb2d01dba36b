"""Incremental updates to agents about the other agents of their service."""

import typing

from kumquatport.version import members
from kumquatport.version.replication import messages, subset


class _SentState(typing.NamedTuple):
    """State at the last update sent to an agent.

    Attributes:
        incarnation: Incarnation of the agent.
        revision: Revision of the observer's registry.
        digests: The differing digests of the agent and of the observer.
    """

    incarnation: int
    revision: int
    digests: tuple[int, int]


_NOTHING_SENT: typing.Final = _SentState(0, 0, (0, 0))


class AgentUpdates:
    """Selects the agent records for the answer to a heartbeat.

    An answer contains the records that changed since the last one. If both
    digests are unchanged since the last answer, records were lost, and all are
    sent.
    """

    def __init__(self, registry: members.Registry) -> None:
        """Initialize without any updates sent.

        Args:
            registry: Registry of the observer.
        """
        self._registry = registry
        self._sent: dict[str, _SentState] = {}

    def forget(self, instance: str) -> None:
        """Drop the state of an agent that departed."""
        self._sent.pop(instance, None)

    def records_for(
        self,
        agent: members.InstanceRecord,
        digest: int,
    ) -> messages.Records:
        """Return the records to send to an agent.

        Args:
            agent: Record of the agent.
            digest: Digest that the agent sent; 0 if it requests no records.
        """
        if not digest:
            return ()
        own_digest = subset.digest(
            self._registry, agent.service, agent.instance
        )
        if digest == own_digest:
            return ()
        previous = self._sent.get(agent.instance, _NOTHING_SENT)
        if previous.incarnation != agent.incarnation:
            previous = _NOTHING_SENT
        digests = (digest, own_digest)
        self._sent[agent.instance] = _SentState(
            agent.incarnation,
            self._registry.revision,
            digests,
        )
        known = (
            *subset.agents(self._registry, agent.service, agent.instance),
            *self._registry.departed(agent.service),
        )
        if previous.digests == digests:
            return known
        return self._registry.changed_since(previous.revision, known)
