"""The instance's own record, and the heartbeats that carry it."""

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
    """Reports this instance's record to its observers."""

    def __init__(
        self,
        own: members.InstanceRecord,
        context: process_context.ProcessContext,
        known: peers.Peers,
        fetcher: document_replicator.DocumentReplicator,
    ) -> None:
        """Set up, without telling anybody yet.

        Args:
            own: First record of this process.
            context: Of this process.
            known: Chooses the observers.
            fetcher: Fetches newer documents.
        """
        super().__init__()
        self._own = own_record.OwnRecord(own, context.registry)
        self._context = context
        self._peers = known
        self._documents = fetcher
        self._sent_sequences: dict[str, int] = {}
        self._rounds = 0
        self._agents_source = ''
        self._observers_due_at: float = 0
        self._changed = asyncio.Event()
        self._own.changes.subscribe(self._changed.set)

    @property
    def own(self) -> members.InstanceRecord:
        """Return the present record."""
        return self._own.current

    @property
    def superseded(self) -> bool:
        """Tell whether a younger process has this name; nothing is announced."""
        return self._own.superseded

    def update(
        self,
        state: str | None = None,
        weight: float | None = None,
    ) -> None:
        """Change state or weight; the observers are told at once.

        Args:
            state: One of ``members.const.STATES``, unchanged if ``None``.
            weight: 0 to 1, unchanged if ``None``.
        """
        self._own.update(state, weight)

    async def async_announce(self) -> int:
        """Tell the observers now.

        Returns:
            How many answered.
        """
        targets = self._peers.observers()
        self._rounds += 1
        if targets:
            # One observer at a time tells of the other agents.
            self._agents_source = targets[self._rounds % len(targets)].endpoint
        failed = await self._async_round(targets)
        if failed:
            instead = self._peers.replacements(failed)[: len(failed)]
            failed_again = await self._async_round(instead)
            targets = [*targets, *instead]
            failed |= failed_again
        return len({target.endpoint for target in targets} - failed)

    async def on_start(self) -> None:
        """Begin with the heartbeats."""
        self.add_future(self._async_run())

    async def on_stop(self) -> None:
        """Tell the observers that this instance is gone."""
        if not self.superseded:
            self.update(state=members_const.STATE_GONE)
            await self.async_announce()

    async def _async_run(self) -> None:
        while not (self.should_stop or self.superseded):
            self._changed.clear()
            started = clock.now()
            await self.async_announce()
            self._peers.prune()
            await self._async_pause(const.HEARTBEAT_S - clock.now() + started)

    async def _async_pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), max(seconds, 0))
        except TimeoutError:
            return

    async def _async_round(self, targets: list[peers.Target]) -> set[str]:
        """Report to each; return the endpoints that did not answer."""
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
            held_there = await self._async_beat(target)
            if not held_there:
                await self._async_beat(target)
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('heartbeat not answered', error=str(error))
            self._sent_sequences.pop(target.endpoint, None)
            self._peers.mark_unresponsive(target.endpoint)
            return False
        self._peers.mark_answered(target)
        return True

    async def _async_beat(self, target: peers.Target) -> bool:
        """Send a heartbeat; tell whether the observer holds the record."""
        own = self.own
        asked_at = self._context.freshness.tick()
        answer = await self._context.client.async_ask(
            target.endpoint,
            self._heartbeat(target),
            const.HEARTBEAT_TIMEOUT_S,
        )
        self._sent_sequences[target.endpoint] = own.sequence
        await self._async_take(answer, target, asked_at)
        if not answer.known:
            self._sent_sequences.pop(target.endpoint, None)
        return own is self.own and answer.known

    def _heartbeat(self, target: peers.Target) -> messages.Heartbeat:
        own = self.own
        told = self._sent_sequences.get(target.endpoint) == own.sequence
        return messages.Heartbeat(
            instance=own.instance,
            incarnation=own.incarnation,
            sequence=own.sequence,
            version=self._context.current.version,
            fresh=self._context.freshness.is_fresh(),
            digest=self._digest()
            if target.endpoint == self._agents_source
            else 0,
            wants_peers=self._wants_peers(target),
            record=None if told else own,
        )

    def _digest(self) -> int:
        own = self.own
        return subset.digest(self._context.registry, own.service, own.instance)

    def _wants_peers(self, target: peers.Target) -> bool:
        return not target.name or clock.now() >= self._observers_due_at

    async def _async_take(
        self,
        answer: messages.HeartbeatAnswer,
        target: peers.Target,
        asked_at: float,
    ) -> None:
        self._own.confirmed = self._own.confirmed or answer.known
        self._context.contact.merge_peer_age(answer.platform_age)
        if answer.held is not None:
            self._context.registry.merge(answer.held)
        for record in answer.agents:
            self._context.registry.merge(record)
        self._peers.add_listed_balancers(answer.balancers)
        if self._documents.should_fetch(answer.version):
            await self._documents.async_fetch(target.endpoint)
        if answer.fresh and not self._documents.should_fetch(answer.version):
            self._context.freshness.extend(asked_at)
