"""The instance's own record, and the heartbeats that carry it."""

import asyncio

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from kumquatport.version.spread import (
    const,
    documents,
    messages,
    own_record,
    peers,
    shared,
    slices,
)

_LOGGER = structlog.get_logger(__name__)


class Announcer(mode.Service):
    """Reports this instance's record to its observers."""

    def __init__(
        self,
        own: members.InstanceRecord,
        state: shared.Shared,
        known: peers.Peers,
        fetcher: documents.Documents,
    ) -> None:
        """Set up, without telling anybody yet.

        Args:
            own: First record of this process.
            state: Of this process.
            known: Chooses the observers.
            fetcher: Fetches newer documents.
        """
        super().__init__()
        self._own = own_record.OwnRecord(own, state.registry)
        self._state = state
        self._peers = known
        self._documents = fetcher
        self._told: dict[str, int] = {}
        self._beats = 0
        self._asked = ''
        self._listing_due: float = 0
        self._changed = asyncio.Event()
        self._own.changes.subscribe(self._changed.set)

    @property
    def own(self) -> members.InstanceRecord:
        """Return the present record."""
        return self._own.present

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
        self._beats += 1
        if targets:
            # One observer at a time tells of the other agents.
            self._asked = targets[self._beats % len(targets)].endpoint
        failed = await self._async_round(targets)
        if failed:
            instead = self._peers.in_stead(failed)[: len(failed)]
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
        if any(answered) and now >= self._listing_due:
            self._listing_due = now + const.LISTING_S
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
            self._told.pop(target.endpoint, None)
            self._peers.avoid(target.endpoint)
            return False
        self._peers.answered(target)
        return True

    async def _async_beat(self, target: peers.Target) -> bool:
        """Send a heartbeat; tell whether the observer holds the record."""
        own = self.own
        asked_at = self._state.freshness.tick()
        answer = await self._state.client.async_ask(
            target.endpoint,
            self._heartbeat(target),
            const.HEARTBEAT_TIMEOUT_S,
        )
        self._told[target.endpoint] = own.sequence
        await self._async_take(answer, target, asked_at)
        if not answer.known:
            self._told.pop(target.endpoint, None)
        return own is self.own and answer.known

    def _heartbeat(self, target: peers.Target) -> messages.Heartbeat:
        own = self.own
        told = self._told.get(target.endpoint) == own.sequence
        return messages.Heartbeat(
            instance=own.instance,
            incarnation=own.incarnation,
            sequence=own.sequence,
            version=self._state.current.version,
            fresh=self._state.freshness.is_fresh(),
            digest=self._digest() if target.endpoint == self._asked else 0,
            wants_peers=self._wants_peers(target),
            record=None if told else own,
        )

    def _digest(self) -> int:
        own = self.own
        return slices.digest(self._state.registry, own.service, own.instance)

    def _wants_peers(self, target: peers.Target) -> bool:
        return not target.name or clock.now() >= self._listing_due

    async def _async_take(
        self,
        answer: messages.HeartbeatAnswer,
        target: peers.Target,
        asked_at: float,
    ) -> None:
        self._own.confirmed = self._own.confirmed or answer.known
        self._state.contact.learn(answer.platform_age)
        if answer.held is not None:
            self._state.registry.merge(answer.held)
        for record in answer.agents:
            self._state.registry.merge(record)
        self._peers.list_balancers(answer.balancers)
        if self._documents.wants(answer.version):
            await self._documents.async_fetch(target.endpoint)
        if answer.fresh and not self._documents.wants(answer.version):
            self._state.freshness.prolong(asked_at)
