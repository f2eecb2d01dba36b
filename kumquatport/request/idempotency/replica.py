"""A replica: keeps claims of the slots that the roster gives to this agent."""

import asyncio
import time
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock as clocks
from kumquatport.request.idempotency import const, messages, roster, slot

_LOGGER = structlog.get_logger(__name__)

Ask = abc.Callable[[str, typing.Any, float], abc.Awaitable[typing.Any]]


class TermId(typing.NamedTuple):
    """One slot in one generation.

    Attributes:
        slot: Number of the slot.
        epoch: Version of the roster that brought the generation.
    """

    slot: int
    epoch: int


class _Term(typing.NamedTuple):
    """What this replica keeps for one slot in one generation."""

    kept: slot.Slot
    refuse_until: float


class Replica(mode.Service):
    """Grants keys in the generations that list this very process."""

    def __init__(
        self,
        own: roster.Replica,
        ask: Ask,
        count_event: abc.Callable[[str], None],
        clock: abc.Callable[[], float] = clocks.now,
    ) -> None:
        """Start without slots.

        Args:
            own: This process, as rosters list it.
            ask: Sends a control message to an endpoint.
            count_event: Counts an event by name.
            clock: Monotonic seconds that go on while suspended.
        """
        super().__init__()
        self._own = own
        self._ask = ask
        self._count_event = count_event
        self._clock = clock
        self._roster = roster.NO_ROSTER
        self._terms: dict[TermId, _Term] = {}
        self._sealed: set[TermId] = set()
        self._since: dict[TermId, float] = {}
        self._ticked_at = clock()
        self._is_suspended = False
        self._sealed_at = clock()

    @property
    def quiet_s(self) -> float:
        """Seconds since another replica last asked for claims kept here."""
        return self._clock() - self._sealed_at

    @property
    def is_suspended(self) -> bool:
        """Whether this process was paused and must confirm its roster."""
        if self._clock() - self._ticked_at > const.PAUSE_NOTICED_S:
            self._is_suspended = True
        return self._is_suspended

    @property
    def own(self) -> roster.Replica:
        """This process, as rosters list it."""
        return self._own

    @property
    def is_taking_over(self) -> bool:
        """Whether claims of any slot are still being taken over."""
        return bool(self._since)

    @property
    def stuck(self) -> frozenset[int]:
        """Slots whose claims could not be taken over for a long time."""
        due = self._clock() - const.HANDOVER_STUCK_S
        return frozenset(
            term_id.slot
            for term_id, since in self._since.items()
            if since <= due and self._is_latest(term_id)
        )

    def adopt(self, newer: roster.Roster) -> None:
        """Follow a newer roster: take over what it gives to this process.

        Generations that are no longer the latest are taken over too: the
        latest one may be waiting for them.
        """
        self._roster = newer
        listed: set[TermId] = set()
        for number, generations in enumerate(newer.slots):
            listed.update(TermId(number, one.epoch) for one in generations)
            for place, one in enumerate(generations):
                if self._own in one.replicas:
                    self._begin(number, generations[place:])
            self._close_lost(number, generations)
        self._forget_others(listed)

    def confirm(self) -> None:
        """Note that the platform has confirmed the roster after a pause."""
        self._ticked_at = self._clock()
        self._is_suspended = False

    async def async_claim(self, asked: messages.Claim) -> messages.ClaimReply:
        """Grant a key, or say who holds it."""
        term_id = TermId(asked.slot, asked.epoch)
        term = self._terms.get(term_id)
        if term is None or term_id in self._sealed or self.is_suspended:
            return self._reply(const.STALE)
        wait_s = term.refuse_until - time.time()
        if wait_s > 0:
            return self._reply(const.LOST, retry_after_s=wait_s)
        is_full = len(term.kept) >= const.MAX_ENTRIES
        if is_full and asked.key not in term.kept:
            return self._reply(const.FULL)
        holder = term.kept.claim(asked)
        if holder is None:
            return self._reply(const.GRANTED)
        return self._reply(const.HELD, entry=holder)

    async def async_settle(
        self,
        told: messages.Settle,
    ) -> messages.SettleReply:
        """Note what became of an attempt, also in a sealed generation.

        A sealed generation may have been handed over already; the note is
        then refused, and the claimant tells the next generation.
        """
        term_id = TermId(told.slot, told.epoch)
        term = self._terms.get(term_id)
        if term is None or term_id in self._sealed:
            return messages.SettleReply(is_noted=False)
        return messages.SettleReply(is_noted=term.kept.settle(told))

    async def async_seal(self, asked: messages.Seal) -> messages.SealReply:
        """Grant no more in a generation, and hand its claims over."""
        term_id = TermId(asked.slot, asked.epoch)
        term = self._terms.get(term_id)
        if term is None:
            return messages.SealReply(
                is_complete=False,
                incarnation=self._own.incarnation,
                entries=(),
            )
        self._sealed.add(term_id)
        self._sealed_at = self._clock()
        return messages.SealReply(
            is_complete=True,
            incarnation=self._own.incarnation,
            entries=term.kept.entries(),
            refuse_until=term.refuse_until,
        )

    @mode.Service.task
    async def _async_tick(self) -> None:
        while not self.should_stop:
            if not self.is_suspended:
                self._ticked_at = self._clock()
            for term in self._terms.values():
                term.kept.expire()
            await self.sleep(const.TICK_S)

    def _reply(
        self,
        verdict: str,
        *,
        entry: messages.Entry | None = None,
        retry_after_s: float = 0,
    ) -> messages.ClaimReply:
        return messages.ClaimReply(
            verdict=verdict,
            roster_epoch=self._roster.epoch,
            entry=entry,
            retry_after_s=retry_after_s,
        )

    def _is_latest(self, term_id: TermId) -> bool:
        generations = self._roster.slots[term_id.slot]
        return generations[0].epoch == term_id.epoch

    def _close_lost(
        self,
        number: int,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        # Nobody need ask to seal what was declared lost, and its claims would
        # be missing where it is granted still.
        lost = [one.epoch for one in generations if one.lost_at]
        self._sealed.update(
            TermId(number, one.epoch)
            for one in generations
            if lost and one.epoch < max(lost)
        )

    def _forget_others(self, listed: set[TermId]) -> None:
        for term_id in set(self._terms) - listed:
            self._terms.pop(term_id)
        self._sealed &= listed

    def _begin(
        self,
        number: int,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        term_id = TermId(number, generations[0].epoch)
        if term_id in self._terms or term_id in self._since:
            return
        is_cut = len(self._roster.slots[number]) == const.MAX_GENERATIONS
        if len(generations) == 1 and is_cut:
            # What came before is no longer listed, so it cannot be taken over.
            return
        self._since[term_id] = self._clock()
        self.add_future(self._async_take_over(term_id, generations))

    async def _async_take_over(
        self,
        term_id: TermId,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        latest = generations[0]
        kept = slot.Slot(self._clock)
        refuse_until: float = 0
        for previous in generations[1:2]:
            for reply in await self._async_seals(term_id, previous, latest):
                kept.merge(reply.entries)
                refuse_until = max(refuse_until, reply.refuse_until)
        if latest.lost_at:
            self._count_event(const.COUNT_LOST)
            lost_until = latest.lost_at + const.RETENTION_S
            refuse_until = max(refuse_until, lost_until)
            _LOGGER.warning('claims lost', slot=term_id.slot)
        self._count_event(const.COUNT_HANDOVERS)
        self._since.pop(term_id, None)
        self._terms[term_id] = _Term(kept, refuse_until)

    async def _async_seals(
        self,
        term_id: TermId,
        previous: roster.Generation,
        latest: roster.Generation,
    ) -> list[messages.SealReply]:
        """Seal the previous generation; return once enough have answered."""
        needed = roster.read_quorum(len(previous.replicas))
        if latest.lost_at:
            # Whoever is left is asked; more than that is not to be had.
            needed = 0
        seal = messages.Seal(term_id.slot, previous.epoch, latest.epoch)
        while True:
            replies = await self._async_seal_all(previous, seal)
            if len(replies) >= needed:
                return replies
            await asyncio.sleep(const.HANDOVER_PAUSE_S)

    async def _async_seal_all(
        self,
        previous: roster.Generation,
        seal: messages.Seal,
    ) -> list[messages.SealReply]:
        replies = await asyncio.gather(
            *(
                self._async_seal_one(replica, seal)
                for replica in previous.replicas
            ),
        )
        return [reply for reply in replies if reply is not None]

    async def _async_seal_one(
        self,
        replica: roster.Replica,
        seal: messages.Seal,
    ) -> messages.SealReply | None:
        if replica == self._own:
            reply = await self.async_seal(seal)
        else:
            try:
                reply = await self._ask(
                    replica.endpoint,
                    seal,
                    const.ASK_TIMEOUT_S,
                )
            except exceptions.KumquatportError:
                return None
        if not isinstance(reply, messages.SealReply):
            return None
        is_same = reply.incarnation == replica.incarnation
        return reply if reply.is_complete and is_same else None
