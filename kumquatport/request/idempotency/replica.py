"""Keeps the claims of the hash slots that the roster assigns to this agent."""

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
    """One generation of a hash slot.

    Attributes:
        slot: Number of the hash slot.
        epoch: Version of the roster that introduced the generation.
    """

    slot: int
    epoch: int


class _GenerationClaims(typing.NamedTuple):
    """What this replica keeps for one generation of a hash slot.

    Attributes:
        claims: Claims of the hash slot.
        refuse_until: Unix seconds until which requests are refused because
            earlier claims were lost; 0 if none were.
    """

    claims: slot_claims.SlotClaims
    refuse_until: float


class Replica(mode.Service):
    """Grants keys in the generations that list this process."""

    def __init__(
        self,
        replica_id: roster.ReplicaId,
        call_peer: CallPeer,
        count_event: abc.Callable[[str], None],
        clock: abc.Callable[[], float] = clocks.now,
    ) -> None:
        """Start without hash slots.

        Args:
            replica_id: This process as listed in rosters.
            call_peer: Sends a control message to an endpoint and returns the
                reply.
            count_event: Counts an event by name.
            clock: Returns monotonic seconds, including time suspended.
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
        """Seconds since a replica last sealed a generation kept here."""
        return self._clock() - self._last_sealed_at

    @property
    def is_suspended(self) -> bool:
        """Whether this process was suspended and must confirm its roster."""
        if self._clock() - self._last_tick_at > const.MAX_TICK_GAP_S:
            self._is_suspended = True
        return self._is_suspended

    @property
    def replica_id(self) -> roster.ReplicaId:
        """This process as listed in rosters."""
        return self._replica_id

    @property
    def is_taking_over(self) -> bool:
        """Whether a handover of claims to this process is in progress."""
        return bool(self._handovers_since)

    @property
    def stalled_slots(self) -> frozenset[int]:
        """Hash slots whose handover has taken ``HANDOVER_STALLED_S`` or more."""
        due = self._clock() - const.HANDOVER_STALLED_S
        return frozenset(
            generation_id.slot
            for generation_id, since in self._handovers_since.items()
            if since <= due and self._is_latest(generation_id)
        )

    def adopt(self, newer: roster.Roster) -> None:
        """Adopt a newer roster and take over the hash slots assigned here.

        Generations that are no longer the latest are taken over too, because
        the latest one may be waiting for their claims.
        """
        self._roster = newer
        listed: set[GenerationId] = set()
        for slot, generations in enumerate(newer.slots):
            listed.update(
                GenerationId(slot, generation.epoch)
                for generation in generations
            )
            for index, generation in enumerate(generations):
                if self._replica_id in generation.replicas:
                    self._start_handover(slot, generations[index:])
            self._seal_lost(slot, generations)
        self._drop_unlisted(listed)

    def confirm_roster(self) -> None:
        """Note that the roster has been confirmed with the platform."""
        self._last_tick_at = self._clock()
        self._is_suspended = False

    async def async_claim(self, claim: messages.Claim) -> messages.ClaimReply:
        """Grant a key or return the entry that holds it."""
        generation_id = GenerationId(claim.slot, claim.epoch)
        generation = self._generations.get(generation_id)
        if (
            generation is None
            or generation_id in self._sealed
            or self.is_suspended
        ):
            return self._reply(const.STALE)
        retry_after_s = generation.refuse_until - time.time()
        if retry_after_s > 0:
            return self._reply(const.LOST, retry_after_s=retry_after_s)
        is_full = len(generation.claims) >= const.MAX_ENTRIES_PER_SLOT
        if is_full and claim.key not in generation.claims:
            return self._reply(const.FULL)
        holder = generation.claims.claim(claim)
        if holder is None:
            return self._reply(const.GRANTED)
        return self._reply(const.HELD, entry=holder)

    async def async_settle(
        self,
        settle: messages.Settle,
    ) -> messages.SettleReply:
        """Record the outcome of an attempt.

        A sealed generation refuses it, because its claims may have been
        handed over already; the claimant then settles in the next generation.
        """
        generation_id = GenerationId(settle.slot, settle.epoch)
        generation = self._generations.get(generation_id)
        if generation is None or generation_id in self._sealed:
            return messages.SettleReply(is_recorded=False)
        return messages.SettleReply(
            is_recorded=generation.claims.settle(settle)
        )

    async def async_seal(self, seal: messages.Seal) -> messages.SealReply:
        """Stop granting keys in a generation and hand over its claims."""
        generation_id = GenerationId(seal.slot, seal.epoch)
        generation = self._generations.get(generation_id)
        if generation is None:
            return messages.SealReply(
                is_complete=False,
                incarnation=self._replica_id.incarnation,
                entries=(),
            )
        self._sealed.add(generation_id)
        self._last_sealed_at = self._clock()
        return messages.SealReply(
            is_complete=True,
            incarnation=self._replica_id.incarnation,
            entries=generation.claims.entries(),
            refuse_until=generation.refuse_until,
        )

    @mode.Service.task
    async def _async_tick(self) -> None:
        while not self.should_stop:
            if not self.is_suspended:
                self._last_tick_at = self._clock()
            for generation in self._generations.values():
                generation.claims.expire()
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

    def _is_latest(self, generation_id: GenerationId) -> bool:
        generations = self._roster.slots[generation_id.slot]
        return generations[0].epoch == generation_id.epoch

    def _seal_lost(
        self,
        slot: int,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        # A generation that was declared lost may never be sealed by a
        # successor. Keys that it still granted would be unknown to later ones.
        lost = [
            generation.epoch for generation in generations if generation.lost_at
        ]
        self._sealed.update(
            GenerationId(slot, generation.epoch)
            for generation in generations
            if lost and generation.epoch < max(lost)
        )

    def _drop_unlisted(self, listed: set[GenerationId]) -> None:
        for generation_id in set(self._generations) - listed:
            self._generations.pop(generation_id)
        self._sealed &= listed

    def _start_handover(
        self,
        slot: int,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        generation_id = GenerationId(slot, generations[0].epoch)
        if (
            generation_id in self._generations
            or generation_id in self._handovers_since
        ):
            return
        is_truncated = len(self._roster.slots[slot]) == const.MAX_GENERATIONS
        if len(generations) == 1 and is_truncated:
            # Its predecessor is no longer listed, so nothing can be taken over.
            return
        self._handovers_since[generation_id] = self._clock()
        self.add_future(self._async_take_over(generation_id, generations))

    async def _async_take_over(
        self,
        generation_id: GenerationId,
        generations: tuple[roster.Generation, ...],
    ) -> None:
        latest = generations[0]
        claims = slot_claims.SlotClaims(self._clock)
        refuse_until: float = 0
        for previous in generations[1:2]:
            for reply in await self._async_seal_quorum(
                generation_id, previous, latest
            ):
                claims.merge(reply.entries)
                refuse_until = max(refuse_until, reply.refuse_until)
        if latest.lost_at:
            self._count_event(const.COUNT_LOST)
            lost_until = latest.lost_at + const.CLAIM_RETENTION_S
            refuse_until = max(refuse_until, lost_until)
            _LOGGER.warning('claims lost', slot=generation_id.slot)
        self._count_event(const.COUNT_HANDOVERS)
        self._handovers_since.pop(generation_id, None)
        self._generations[generation_id] = _GenerationClaims(
            claims, refuse_until
        )

    async def _async_seal_quorum(
        self,
        generation_id: GenerationId,
        previous: roster.Generation,
        latest: roster.Generation,
    ) -> list[messages.SealReply]:
        """Seal the previous generation at a read quorum of its replicas."""
        needed = roster.read_quorum(len(previous.replicas))
        if latest.lost_at:
            # The quorum is gone: use the replies of the replicas that are left.
            needed = 0
        seal = messages.Seal(generation_id.slot, previous.epoch, latest.epoch)
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
                self._async_seal_one(replica_id, seal)
                for replica_id in previous.replicas
            ),
        )
        return [reply for reply in replies if reply is not None]

    async def _async_seal_one(
        self,
        replica_id: roster.ReplicaId,
        seal: messages.Seal,
    ) -> messages.SealReply | None:
        if replica_id == self._replica_id:
            reply = await self.async_seal(seal)
        else:
            try:
                reply = await self._call_peer(
                    replica_id.endpoint,
                    seal,
                    const.PEER_TIMEOUT_S,
                )
            except exceptions.KumquatportError:
                return None
        if not isinstance(reply, messages.SealReply):
            return None
        is_same_process = reply.incarnation == replica_id.incarnation
        return reply if reply.is_complete and is_same_process else None
