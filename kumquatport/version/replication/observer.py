"""Answers heartbeats and queries about the liveness of instances."""

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
    """Tracks the instances that send heartbeats here and answers them."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
        replicator: document_replicator.DocumentReplicator,
    ) -> None:
        """Initialize and register the message handlers.

        Args:
            context: Context of this process.
            control: Server to register the handlers with.
            replicator: Fetches newer documents.
        """
        super().__init__()
        self._context = context
        self._replicator = replicator
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
        """Return the number of observed instances."""
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
            held_record=held
            if held and _should_return_record(held, message)
            else None,
            known=held is not None and not _is_older(held, message),
            agents=self._changed_agents(message, held),
            balancers=self._assigned_observers(message),
            platform_age=self._context.contact.age,
        )

    async def _async_on_query(
        self,
        message: messages.LivenessQuery,
    ) -> messages.LivenessAnswer:
        if message.instance == self._context.instance:
            own = self._context.registry.get(message.instance)
            is_alive = own is None or own.incarnation <= message.incarnation
            return messages.LivenessAnswer(is_alive)
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
        """Merge the lapse of this instance, which makes it publish anew.

        ``OwnRecord`` then outranks the lapsed record and so refutes it.
        """
        is_own = message.lapse.instance == self._context.instance
        if is_own:
            self._context.registry.merge(message.lapse)
        return messages.LivenessAnswer(is_own)

    def _check_region(self, record: members.InstanceRecord) -> None:
        if record.region != self._context.region:
            raise exceptions.RegionMismatchError(
                f'instance {record.instance} is in region {record.region}',
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
        if self._replicator.should_fetch(message.version):
            self._replicator.schedule_fetch(held.endpoint)

    def _changed_agents(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord | None,
    ) -> messages.Records:
        if held is None or not held.service:
            return ()
        return self._agent_updates.records_for(held, message.agents_digest)

    def _assigned_observers(
        self, message: messages.Heartbeat
    ) -> messages.Records:
        if not message.wants_observers:
            return ()
        return peers.assigned_observers(
            message.instance,
            self._context.registry.balancers(),
        )


def _should_return_record(
    held: members.InstanceRecord,
    message: messages.Heartbeat,
) -> bool:
    is_same_record = (held.incarnation, held.sequence) == (
        message.incarnation,
        message.sequence,
    )
    return (not is_same_record or members.is_departed(held)) and not _is_older(
        held, message
    )


def _is_older(
    held: members.InstanceRecord,
    message: messages.Heartbeat,
) -> bool:
    return (held.incarnation, held.sequence) < (
        message.incarnation,
        message.sequence,
    )
