"""A replica: keeps claims of the slots that the roster gives to this agent."""

import asyncio
import time
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock as clocks
from kumquatport.request.idempotency import const, messages, roster, slot_claims

_LOGGER = structlog.get_logger(__name__)

CallPeer = abc.Callable[[str, typing.Any, float], abc.Awaitable[typing.Any]]


class GenerationId(typing.NamedTuple):
    """One slot in one generation.

    Attributes:
        slot: Number of the slot.
        epoch: Version of the roster that brought the generation.
    """

    slot: int
    epoch: int


class _GenerationClaims(typing.NamedTuple):
    """What this replica keeps for one slot in one generation."""

    claims: slot_claims.SlotClaims
    refuse_until: float


class Replica(mode.Service):
    """Grants keys in the generations that list this very process."""

    def __init__(
        self,
        replica_id: roster.ReplicaId,
        call_peer: CallPeer,
        count_event: abc.Callable[[str], None],
        clock: abc.Callable[[], float] = clocks.now,
    ) -> None:
        """Start without slots.

        Args:
            replica_id: This process, as rosters list it.
            call_peer: Sends a control message to an endpoint.
            count_event: Counts an event by name.
            clock: Monotonic seconds that go on while suspended.
        """
        super().__init__()
        self._replica_id = replica_id
        self._call_peer = call_peer
        self._count_event = count_event
        self._clock = clock
        self._roster = roster.NO_ROSTER
        self._generations: dict[GenerationId, _GenerationClaims] = {}
        self._sealed: set[GenerationId] = set()
        self._handovers_since: dict[GenerationId, float] = {}
        self._last_tick_at = clock()
        self._is_suspended = False
        self._last_sealed_at = clock()

    @property
    def since_sealed_s(self) -> float:
        """Seconds since another replica last asked for claims kept here."""
        return self._clock() - self._last_sealed_at

    @property
    def is_suspended(self) -> bool:
        """Whether this process was paused and must confirm its roster."""
        if self._clock() - self._last_tick_at > const.MAX_TICK_GAP_S:
            self._is_suspended = True
        return self._is_suspended

    @property
    def replica_id(self) -> roster.ReplicaId:
        """This process, as rosters list it."""
        return self._replica_id

    @property
    def is_taking_over(self) -> bool:
        """Whether claims of any slot are still being taken over."""
        return bool(self._handovers_since)

    @property
    def stalled_slots(self) -> frozenset[int]:
        """Slots whose claims could not be taken over for a long time."""
        due = self._clock() - const.HANDOVER_STALLED_S
        return frozenset(
            term_id.slot
            for term_id, since in self._handovers_since.items()
            if since <= due and self._is_latest(term_id)
        )

    def adopt(self, newer: roster.Roster) -> None:
        """Follow a newer roster: take over what it gives to this process.

        Generations that are no longer the latest are taken over too: the
        latest one may be waiting for them.
        """
        self._roster = newer
        listed: set[GenerationId] = set()
        for number, generations in enumerate(newer.slots):
            listed.update(
                GenerationId(number, one.epoch) for one in generations
            )
            for place, one in enumerate(generations):
                if self._replica_id in one.replicas:
                    self._start_handover(number, generations[place:])
            self._seal_lost(number, generations)
        self._drop_unlisted(listed)

    def confirm_roster(self) -> None:
        """Note that the platform has confirmed the roster after a pause."""
        self._last_tick_at = self._clock()
        self._is_suspended = False

    async def async_claim(self, asked: messages.Claim) -> messages.ClaimReply:
        """Grant a key, or say who holds it."""
        term_id = GenerationId(asked.slot, asked.epoch)
        term = self._generations.get(term_id)
        if term is None or term_id in self._sealed or self.is_suspended:
            return self._reply(const.STALE)
        wait_s = term.refuse_until - time.time()
        if wait_s > 0:
            return self._reply(const.LOST, retry_after_s=wait_s)
        is_full = len(term.claims) >= const.MAX_ENTRIES_PER_SLOT
        if is_full and asked.key not in term.claims:
            return self._reply(const.FULL)
        holder = term.claims.claim(asked)
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
        term_id = GenerationId(told.slot, told.epoch)
        term = self._generations.get(term_id)
        if term is None or term_id in self._sealed:
            return messages.SettleReply(is_recorded=False)
        return messages.SettleReply(is_recorded=term.claims.settle(told))

    async def async_seal(self, asked: messages.Seal) -> messages.SealReply:
        """Grant no more in a generation, and hand its claims over."""
        term_id = GenerationId(asked.slot, asked.epoch)
        term = self._generations.get(term_id)
        if term is None:
            return messages.SealReply(
                is_complete=False,
                incarnation=self._replica_id.incarnation,
                entries=(),
            )
        self._sealed.add(term_id)
        self._last_sealed_at = self._clock()
        return messages.SealReply(
            is_complete=True,
            incarnation=self._replica_id.incarnation,
            entries=term.claims.entries(),
            refuse_until=term.refuse_until,
        )

    @mode.Service.task
    async def _async_tick(self) -> None:
        while not self.should_stop:
            if not self.is_suspended:
                self._last_tick_at = self._clock()
            for term in self._generations.values():
                term.claims.expire()
            await self.sleep(const.TICK_INTERVAL_S)

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

    def _is_latest(self, term_id: GenerationId) -> bool:
        generations = self._roster.slots[term_id.slot]
        return generations[0].epoch == term_id.epoch

    def _seal_lost(
        self,
        number: int,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        # Nobody need ask to seal what was declared lost, and its claims would
        # be missing where it is granted still.
        lost = [one.epoch for one in generations if one.lost_at]
        self._sealed.update(
            GenerationId(number, one.epoch)
            for one in generations
            if lost and one.epoch < max(lost)
        )

    def _drop_unlisted(self, listed: set[GenerationId]) -> None:
        for term_id in set(self._generations) - listed:
            self._generations.pop(term_id)
        self._sealed &= listed

    def _start_handover(
        self,
        number: int,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        term_id = GenerationId(number, generations[0].epoch)
        if term_id in self._generations or term_id in self._handovers_since:
            return
        is_cut = len(self._roster.slots[number]) == const.MAX_GENERATIONS
        if len(generations) == 1 and is_cut:
            # What came before is no longer listed, so it cannot be taken over.
            return
        self._handovers_since[term_id] = self._clock()
        self.add_future(self._async_take_over(term_id, generations))

    async def _async_take_over(
        self,
        term_id: GenerationId,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        latest = generations[0]
        kept = slot_claims.SlotClaims(self._clock)
        refuse_until: float = 0
        for previous in generations[1:2]:
            for reply in await self._async_seal_quorum(
                term_id, previous, latest
            ):
                kept.merge(reply.entries)
                refuse_until = max(refuse_until, reply.refuse_until)
        if latest.lost_at:
            self._count_event(const.COUNT_LOST)
            lost_until = latest.lost_at + const.CLAIM_RETENTION_S
            refuse_until = max(refuse_until, lost_until)
            _LOGGER.warning('claims lost', slot=term_id.slot)
        self._count_event(const.COUNT_HANDOVERS)
        self._handovers_since.pop(term_id, None)
        self._generations[term_id] = _GenerationClaims(kept, refuse_until)

    async def _async_seal_quorum(
        self,
        term_id: GenerationId,
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
            await asyncio.sleep(const.HANDOVER_RETRY_DELAY_S)

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
        replica: roster.ReplicaId,
        seal: messages.Seal,
    ) -> messages.SealReply | None:
        if replica == self._replica_id:
            reply = await self.async_seal(seal)
        else:
            try:
                reply = await self._call_peer(
                    replica.endpoint,
                    seal,
                    const.PEER_TIMEOUT_S,
                )
            except exceptions.KumquatportError:
                return None
        if not isinstance(reply, messages.SealReply):
            return None
        is_same = reply.incarnation == replica.incarnation
        return reply if reply.is_complete and is_same else None
