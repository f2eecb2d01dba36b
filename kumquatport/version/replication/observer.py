"""Answers to heartbeats, and to questions whether an instance was heard."""

import mode

from kumquatport import exceptions
from kumquatport.connection.control import server
from kumquatport.version import members
from kumquatport.version.replication import (
    agent_updates,
    document_replicator,
    failure_detector,
    heartbeat_leases,
    messages,
    peers,
    process_context,
)


class Observer(mode.Service):
    """Hears the instances that report here and tells them what changed."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
        fetcher: document_replicator.DocumentReplicator,
    ) -> None:
        """Answer heartbeats and queries.

        Args:
            context: Of this process.
            control: Where the handlers are added.
            fetcher: Fetches newer documents.
        """
        super().__init__()
        self._context = context
        self._documents = fetcher
        self._leases = heartbeat_leases.HeartbeatLeases()
        self._agent_updates = agent_updates.AgentUpdates(context.registry)
        self.add_dependency(
            failure_detector.FailureDetector(context, self._leases)
        )
        control.handle(messages.LivenessQuery, self._async_on_query)
        control.handle(messages.LapseNotice, self._async_on_lapse_notice)
        if context.is_balancer:
            control.handle(messages.Heartbeat, self._async_on_heartbeat)

    @property
    def observed(self) -> int:
        """Return how many instances this one keeps a lease of."""
        return len(self._leases)

    async def _async_on_heartbeat(
        self,
        message: messages.Heartbeat,
    ) -> messages.HeartbeatAnswer:
        registry = self._context.registry
        if message.record is not None:
            self._check_region(message.record)
            registry.merge(message.record)
        held = registry.get(message.instance)
        if held is not None:
            self._record_heartbeat(message, held)
        return messages.HeartbeatAnswer(
            version=self._context.current.version,
            fresh=self._context.freshness.is_fresh(),
            held=held if held and _differs(held, message) else None,
            known=held is not None and not _is_behind(held, message),
            agents=self._agents(message, held),
            balancers=self._balancers(message),
            platform_age=self._context.contact.age,
        )

    async def _async_on_query(
        self,
        message: messages.LivenessQuery,
    ) -> messages.LivenessAnswer:
        if message.instance == self._context.instance:
            own = self._context.registry.get(message.instance)
            alive = own is None or own.incarnation <= message.incarnation
            return messages.LivenessAnswer(alive)
        held = self._context.registry.get(message.instance)
        if held is None or members.is_departed(held):
            return messages.LivenessAnswer(False)
        return messages.LivenessAnswer(
            self._leases.is_heard_recently(message.instance)
        )

    async def _async_on_lapse_notice(
        self,
        message: messages.LapseNotice,
    ) -> messages.LivenessAnswer:
        """Refute: the announcer goes above any lapse of its own record."""
        own = message.lapse.instance == self._context.instance
        if own:
            self._context.registry.merge(message.lapse)
        return messages.LivenessAnswer(own)

    def _check_region(self, record: members.InstanceRecord) -> None:
        if record.region != self._context.region:
            raise exceptions.RegionMismatchError(
                f'{record.instance} is of region {record.region}',
            )

    def _record_heartbeat(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord,
    ) -> None:
        if members.is_departed(held):
            self._leases.drop(message.instance)
            self._agent_updates.forget(message.instance)
            return
        if message.incarnation >= held.incarnation:
            self._leases.record_heartbeat(message.instance)
        if self._documents.should_fetch(message.version):
            self._documents.schedule_fetch(held.endpoint)

    def _agents(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord | None,
    ) -> messages.Records:
        if held is None or not held.service:
            return ()
        return self._agent_updates.records_for(held, message.digest)

    def _balancers(self, message: messages.Heartbeat) -> messages.Records:
        if not message.wants_peers:
            return ()
        return peers.assigned_observers(
            message.instance,
            self._context.registry.balancers(),
        )


def _differs(
    held: members.InstanceRecord,
    message: messages.Heartbeat,
) -> bool:
    same = (held.incarnation, held.sequence) == (
        message.incarnation,
        message.sequence,
    )
    return (not same or members.is_departed(held)) and not _is_behind(
        held, message
    )


def _is_behind(
    held: members.InstanceRecord,
    message: messages.Heartbeat,
) -> bool:
    return (held.incarnation, held.sequence) < (
        message.incarnation,
        message.sequence,
    )
