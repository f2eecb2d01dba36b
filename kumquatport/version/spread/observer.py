"""Answers to heartbeats, and to questions whether an instance was heard."""

import mode

from kumquatport import exceptions
from kumquatport.connection.control import server
from kumquatport.version import members
from kumquatport.version.spread import (
    documents,
    judge,
    liveness,
    messages,
    peers,
    shared,
    syncs,
)


class Observer(mode.Service):
    """Hears the instances that report here and tells them what changed."""

    def __init__(
        self,
        state: shared.Shared,
        control: server.ControlServer,
        fetcher: documents.Documents,
    ) -> None:
        """Answer heartbeats and queries.

        Args:
            state: Of this process.
            control: Where the handlers are added.
            fetcher: Fetches newer documents.
        """
        super().__init__()
        self._state = state
        self._documents = fetcher
        self._leases = liveness.Liveness()
        self._syncs = syncs.Syncs(state.registry)
        self.add_dependency(judge.Judge(state, self._leases))
        control.handle(messages.SeenQuery, self._async_on_query)
        control.handle(messages.Accusation, self._async_on_accusation)
        if state.is_balancer:
            control.handle(messages.Heartbeat, self._async_on_heartbeat)

    @property
    def observed(self) -> int:
        """Return how many instances this one keeps a lease of."""
        return len(self._leases)

    async def _async_on_heartbeat(
        self,
        message: messages.Heartbeat,
    ) -> messages.HeartbeatAnswer:
        registry = self._state.registry
        if message.record is not None:
            self._check_region(message.record)
            registry.merge(message.record)
        held = registry.get(message.instance)
        if held is not None:
            self._hear(message, held)
        return messages.HeartbeatAnswer(
            version=self._state.current.version,
            fresh=self._state.freshness.is_fresh(),
            held=held if held and _differs(held, message) else None,
            known=held is not None and not _is_behind(held, message),
            agents=self._agents(message, held),
            balancers=self._balancers(message),
            platform_age=self._state.contact.age,
        )

    async def _async_on_query(
        self,
        message: messages.SeenQuery,
    ) -> messages.SeenAnswer:
        if message.instance == self._state.instance:
            own = self._state.registry.get(message.instance)
            alive = own is None or own.incarnation <= message.incarnation
            return messages.SeenAnswer(alive)
        held = self._state.registry.get(message.instance)
        if held is None or members.is_departed(held):
            return messages.SeenAnswer(False)
        return messages.SeenAnswer(self._leases.is_heard(message.instance))

    async def _async_on_accusation(
        self,
        message: messages.Accusation,
    ) -> messages.SeenAnswer:
        """Refute: the announcer goes above any lapse of its own record."""
        own = message.lapse.instance == self._state.instance
        if own:
            self._state.registry.merge(message.lapse)
        return messages.SeenAnswer(own)

    def _check_region(self, record: members.InstanceRecord) -> None:
        if record.region != self._state.region:
            raise exceptions.RegionMismatchError(
                f'{record.instance} is of region {record.region}',
            )

    def _hear(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord,
    ) -> None:
        if members.is_departed(held):
            self._leases.drop(message.instance)
            self._syncs.forget(message.instance)
            return
        if message.incarnation >= held.incarnation:
            self._leases.hear(message.instance)
        if self._documents.wants(message.version):
            self._documents.fetch_soon(held.endpoint)

    def _agents(
        self,
        message: messages.Heartbeat,
        held: members.InstanceRecord | None,
    ) -> messages.Records:
        if held is None or not held.service:
            return ()
        return self._syncs.records_for(held, message.digest)

    def _balancers(self, message: messages.Heartbeat) -> messages.Records:
        if not message.wants_peers:
            return ()
        return peers.proper_observers(
            message.instance,
            self._state.registry.balancers(),
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
