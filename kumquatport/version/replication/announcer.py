"""Announces the instance's own record by heartbeats to its observers."""

import asyncio

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.replication import (
    const,
    document_replicator,
    messages,
    own_record,
    peers,
    process_context,
    subset,
)

_LOGGER = structlog.get_logger(__name__)


class Announcer(mode.Service):
    """Sends heartbeats with this instance's record to its observers."""

    def __init__(
        self,
        own: members.InstanceRecord,
        context: process_context.ProcessContext,
        selector: peers.PeerSelector,
        replicator: document_replicator.DocumentReplicator,
    ) -> None:
        """Initialize without sending any heartbeats yet.

        Args:
            own: First record of this process.
            context: Context of this process.
            selector: Selects the observers.
            replicator: Fetches newer documents.
        """
        super().__init__()
        self._own = own_record.OwnRecord(own, context.registry)
        self._context = context
        self._peer_selector = selector
        self._replicator = replicator
        self._sent_sequences: dict[str, int] = {}
        self._rounds = 0
        self._agents_source = ''
        self._observers_due_at: float = 0
        self._changed = asyncio.Event()
        self._own.changes.subscribe(self._changed.set)

    @property
    def own(self) -> members.InstanceRecord:
        """Return the current record."""
        return self._own.current

    @property
    def superseded(self) -> bool:
        """Return whether a newer process has this name.

        A superseded process announces nothing.
        """
        return self._own.superseded

    def update(
        self,
        state: str | None = None,
        weight: float | None = None,
    ) -> None:
        """Change state or weight; observers are notified immediately.

        Args:
            state: One of ``members.const.STATES``, unchanged if ``None``.
            weight: 0 to 1, unchanged if ``None``.
        """
        self._own.update(state, weight)

    async def async_announce(self) -> int:
        """Send heartbeats to the observers now.

        Returns:
            Number of observers that answered.
        """
        targets = self._peer_selector.observers()
        self._rounds += 1
        if targets:
            # Records of the other agents are requested from one observer at a
            # time, in turn.
            self._agents_source = targets[self._rounds % len(targets)].endpoint
        failed = await self._async_report_to_all(targets)
        if failed:
            substitutes = self._peer_selector.replacements(failed)[
                : len(failed)
            ]
            failed_again = await self._async_report_to_all(substitutes)
            targets = [*targets, *substitutes]
            failed |= failed_again
        return len({target.endpoint for target in targets} - failed)

    async def on_start(self) -> None:
        """Start the heartbeats."""
        self.add_future(self._async_run())

    async def on_stop(self) -> None:
        """Announce to the observers that this instance is gone."""
        if not self.superseded:
            self.update(state=members_const.STATE_GONE)
            await self.async_announce()

    async def _async_run(self) -> None:
        while not (self.should_stop or self.superseded):
            self._changed.clear()
            started = clock.now()
            await self.async_announce()
            self._peer_selector.prune()
            await self._async_wait_for_change(
                const.HEARTBEAT_S - clock.now() + started
            )

    async def _async_wait_for_change(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), max(seconds, 0))
        except TimeoutError:
            return

    async def _async_report_to_all(
        self, targets: list[peers.Target]
    ) -> set[str]:
        """Report to all targets; return endpoints that did not answer."""
        answered = await asyncio.gather(
            *(self._async_report(target) for target in targets),
        )
        now = clock.now()
        if any(answered) and now >= self._observers_due_at:
            self._observers_due_at = now + const.OBSERVER_LIST_INTERVAL_S
        return {
            target.endpoint
            for target, success in zip(targets, answered)
            if not success
        }

    async def _async_report(self, target: peers.Target) -> bool:
        try:
            is_record_held = await self._async_send_heartbeat(target)
            if not is_record_held:
                await self._async_send_heartbeat(target)
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('heartbeat not answered', error=str(error))
            self._sent_sequences.pop(target.endpoint, None)
            self._peer_selector.mark_unresponsive(target.endpoint)
            return False
        self._peer_selector.mark_answered(target)
        return True

    async def _async_send_heartbeat(self, target: peers.Target) -> bool:
        """Send a heartbeat; return whether the observer has the record."""
        own = self.own
        asked_at = self._context.freshness.tick()
        answer = await self._context.client.async_ask(
            target.endpoint,
            self._heartbeat(target),
            const.HEARTBEAT_TIMEOUT_S,
        )
        self._sent_sequences[target.endpoint] = own.sequence
        await self._async_apply_answer(answer, target, asked_at)
        if not answer.known:
            self._sent_sequences.pop(target.endpoint, None)
        return own is self.own and answer.known

    def _heartbeat(self, target: peers.Target) -> messages.Heartbeat:
        own = self.own
        is_record_sent = (
            self._sent_sequences.get(target.endpoint) == own.sequence
        )
        return messages.Heartbeat(
            instance=own.instance,
            incarnation=own.incarnation,
            sequence=own.sequence,
            version=self._context.current.version,
            fresh=self._context.freshness.is_fresh(),
            agents_digest=self._agents_digest()
            if target.endpoint == self._agents_source
            else 0,
            wants_observers=self._wants_observers(target),
            record=None if is_record_sent else own,
        )

    def _agents_digest(self) -> int:
        own = self.own
        return subset.digest(self._context.registry, own.service, own.instance)

    def _wants_observers(self, target: peers.Target) -> bool:
        return not target.name or clock.now() >= self._observers_due_at

    async def _async_apply_answer(
        self,
        answer: messages.HeartbeatAnswer,
        target: peers.Target,
        asked_at: float,
    ) -> None:
        self._own.confirmed = self._own.confirmed or answer.known
        self._context.contact.merge_peer_age(answer.platform_age)
        if answer.held_record is not None:
            self._context.registry.merge(answer.held_record)
        for record in answer.agents:
            self._context.registry.merge(record)
        self._peer_selector.add_listed_balancers(answer.balancers)
        if self._replicator.should_fetch(answer.version):
            await self._replicator.async_fetch(target.endpoint)
        if answer.fresh and not self._replicator.should_fetch(answer.version):
            self._context.freshness.extend(asked_at)
