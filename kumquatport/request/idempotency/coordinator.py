"""Claiming a key for one attempt at a request that must not run twice."""

import asyncio
import collections
import hashlib
import secrets
import types
import typing
from collections import abc

import msgspec

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.request import claims, errors
from kumquatport.request import const as request_const
from kumquatport.request import messages as request_messages
from kumquatport.request.idempotency import (
    const,
    messages,
    replica,
    roster,
    roster_manager,
)

_ANSWER_DECODER = msgspec.msgpack.Decoder(claims.Answer)
_STATE_OF_OUTCOME = types.MappingProxyType(
    {
        claims.SETTLED_NOT_RUN: const.STATE_RELEASED,
        claims.SETTLED_ANSWERED: const.STATE_ANSWERED,
        claims.SETTLED_UNKNOWN: const.STATE_UNKNOWN,
    },
)


class ClaimsUnavailableError(errors.RequestRefusedError):
    """Too few replicas answered to be sure that the request is the first."""

    code = 'KQ-5031'


class KeyInUseError(errors.RequestLostError):
    """An earlier attempt with the same key runs, or may have run."""

    code = 'KQ-5032'
    status = 409


class KeyReusedError(errors.RequestRefusedError):
    """The key was used for another request."""

    code = 'KQ-5033'
    status = 422


class ClaimsLostError(errors.RequestLostError):
    """An earlier attempt may have run; its claim was lost with its replicas."""

    code = 'KQ-5034'


class _ClaimRound(typing.NamedTuple):
    """One round of asking the replicas of a slot."""

    claim: messages.Claim
    generation: roster.Generation
    replies: tuple[messages.ClaimReply | None, ...]
    started: float

    def count(self, verdict: str) -> int:
        """Return how many replicas gave a verdict."""
        return sum(
            reply is not None and reply.verdict == verdict
            for reply in self.replies
        )

    def is_granted(self) -> bool:
        """Tell whether enough replicas granted the key."""
        needed = roster.write_quorum(len(self.generation.replicas))
        return self.count(const.GRANTED) >= needed


class Coordinator:
    """Claims keys on behalf of the requests of this agent."""

    def __init__(
        self,
        service: str,
        manager: roster_manager.RosterManager,
        local: replica.Replica,
        call_peer: replica.CallPeer,
        count_event: abc.Callable[[str], None],
    ) -> None:
        """Prepare.

        Args:
            service: Name of the service.
            manager: Knows who keeps which claims.
            local: The replica in this process.
            call_peer: Sends a control message to an endpoint.
            count_event: Counts an event by name.
        """
        self._service = service
        self._roster_manager = manager
        self._local = local
        self._call_peer = call_peer
        self._count_event = count_event
        self._release_tasks: set[asyncio.Task[bool]] = set()

    async def async_claim(
        self,
        head: request_messages.RequestHead,
        deadline_at: float,
    ) -> claims.Verdict:
        """Claim the key of a request, if it has one.

        Args:
            head: Head of the request.
            deadline_at: Monotonic seconds of the event loop.

        Returns:
            A verdict to run, or the answer of the attempt that ran before.

        Raises:
            ClaimsUnavailableError: It did not run; too few replicas answered.
            KeyInUseError: An earlier attempt runs or may have run.
            KeyReusedError: The key was used for another request.
            ClaimsLostError: An earlier attempt may have run.
        """
        headers = dict(head.headers)
        text = headers.get(request_const.HEADER_IDEMPOTENCY_KEY, '')
        if not text:
            # A repeat could not be recognised; this attempt runs once.
            return await claims.async_grant_unclaimed(head, deadline_at)
        client_account = headers.get(request_const.HEADER_CLIENT_ACCOUNT, '')
        key = _digest(self._service, client_account, text)
        request = _digest(head.method, head.path)
        return await self._async_claim_key(key, request, deadline_at)

    async def _async_claim_key(
        self,
        key: bytes,
        request: bytes,
        deadline_at: float,
    ) -> claims.Verdict:
        loop = asyncio.get_running_loop()
        for attempt in range(const.MAX_CLAIM_ROUNDS):
            if attempt:
                await asyncio.sleep(const.CLAIM_RETRY_DELAY_S)
            if loop.time() >= deadline_at:
                break
            asked = await self._async_run_round(key, request)
            if asked is None:
                continue
            verdict = await self._async_evaluate(asked)
            if verdict is not None:
                return verdict
        self._count_event(f'{const.COUNT_REFUSED_PREFIX}unavailable')
        raise ClaimsUnavailableError('too few replicas of the key answered')

    async def _async_evaluate(
        self, asked: _ClaimRound
    ) -> claims.Verdict | None:
        """Return what a round has decided, nothing if it must be repeated."""
        if asked.is_granted() and not _took_too_long(asked):
            self._count_event(const.COUNT_CLAIMS)
            return claims.Verdict(None, self._make_settle(asked))
        await self._async_settle(asked, const.STATE_RELEASED, b'')
        self._raise_if_lost(asked)
        holder = _find_holder(asked)
        if holder is not None:
            return self._verdict_for_repeat(holder, asked.claim.request)
        await self._async_update_roster(asked)
        return None

    async def _async_run_round(
        self,
        key: bytes,
        request: bytes,
    ) -> _ClaimRound | None:
        # Each round is an attempt of its own: what one round has released
        # must not be taken for the next one's.
        claimant = messages.Claimant(
            self._local.replica_id.instance,
            self._local.replica_id.endpoint,
            secrets.token_bytes(const.ATTEMPT_BYTES),
        )
        started = clock.now()
        known = self._roster_manager.current
        if not known.slots:
            return None
        number = roster.slot_of(key, len(known.slots))
        generation = known.slots[number][0]
        claim = messages.Claim(
            number,
            generation.epoch,
            key,
            request,
            claimant,
        )
        try:
            replies = await asyncio.gather(
                *(
                    self._async_claim_at(one, claim)
                    for one in generation.replicas
                ),
            )
        except asyncio.CancelledError:
            self._release_later(claim)
            raise
        return _ClaimRound(claim, generation, tuple(replies), started)

    def _release_later(self, claim: messages.Claim) -> None:
        # The request has not been sent; the key must not seem in use.
        released = self._async_send_settlement(claim, const.STATE_RELEASED, b'')
        task = asyncio.create_task(released)
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def _async_claim_at(
        self,
        one: roster.ReplicaId,
        claim: messages.Claim,
    ) -> messages.ClaimReply | None:
        if one == self._local.replica_id:
            return await self._local.async_claim(claim)
        reply = await self._async_call_peer(one.endpoint, claim)
        return reply if isinstance(reply, messages.ClaimReply) else None

    async def _async_call_peer(
        self, endpoint: str, message: typing.Any
    ) -> typing.Any:
        try:
            return await self._call_peer(
                endpoint, message, const.PEER_TIMEOUT_S
            )
        except exceptions.KumquatportError:
            return None

    def _raise_if_lost(self, asked: _ClaimRound) -> None:
        waits = [
            reply.retry_after_s
            for reply in asked.replies
            if reply is not None and reply.verdict == const.LOST
        ]
        if waits:
            self._count_event(f'{const.COUNT_REFUSED_PREFIX}lost')
            raise ClaimsLostError('earlier claims were lost', max(waits))

    def _verdict_for_repeat(
        self,
        holder: messages.Entry,
        request: bytes,
    ) -> claims.Verdict:
        self._count_event(const.COUNT_REPEATS)
        if holder.request != request:
            raise KeyReusedError('the key was used for another request')
        if holder.state == const.STATE_ANSWERED and holder.answer:
            kept = _ANSWER_DECODER.decode(holder.answer)
            return claims.Verdict(kept, _async_ignore_settlement)
        if holder.state == const.STATE_ANSWERED:
            raise KeyInUseError('it ran; its answer was too large to keep')
        if holder.state == const.STATE_UNKNOWN:
            raise KeyInUseError('an earlier attempt may have run')
        raise KeyInUseError('an earlier attempt has not been answered yet')

    async def _async_update_roster(self, asked: _ClaimRound) -> None:
        """Ask for the roster of a replica that knows a higher one."""
        known = self._roster_manager.current.epoch
        pairs = zip(asked.generation.replicas, asked.replies, strict=True)
        for one, reply in pairs:
            if reply is not None and reply.roster_epoch > known:
                await self._roster_manager.async_query(one.endpoint)
                return

    def _make_settle(
        self,
        asked: _ClaimRound,
    ) -> abc.Callable[[claims.Settlement], abc.Awaitable[None]]:
        async def async_settle(settlement: claims.Settlement) -> None:
            encoded = b''
            if settlement.answer is not None:
                encoded = msgspec.msgpack.encode(settlement.answer)
            state = _STATE_OF_OUTCOME[settlement.outcome]
            await self._async_settle(asked, state, encoded)

        return async_settle

    async def _async_settle(
        self,
        asked: _ClaimRound,
        state: str,
        answer: bytes,
    ) -> None:
        for _ in range(const.MAX_CLAIM_ROUNDS):
            noted = await self._async_send_settlement(
                asked.claim, state, answer
            )
            if noted or state == const.STATE_RELEASED:
                return
            # The slot was handed over meanwhile: tell its next generation.
            await asyncio.sleep(const.CLAIM_RETRY_DELAY_S)

    async def _async_send_settlement(
        self,
        claim: messages.Claim,
        state: str,
        answer: bytes,
    ) -> bool:
        generation = self._roster_manager.current.slots[claim.slot][0]
        told = messages.Settle(
            claim.slot,
            generation.epoch,
            claim.key,
            claim.claimant.attempt,
            state,
            answer,
        )
        replies = await asyncio.gather(
            *(self._async_settle_at(one, told) for one in generation.replicas),
        )
        return sum(replies) >= roster.write_quorum(len(generation.replicas))

    async def _async_settle_at(
        self,
        one: roster.ReplicaId,
        told: messages.Settle,
    ) -> bool:
        if one == self._local.replica_id:
            reply = await self._local.async_settle(told)
        else:
            reply = await self._async_call_peer(one.endpoint, told)
        return isinstance(reply, messages.SettleReply) and reply.is_recorded


def _took_too_long(asked: _ClaimRound) -> bool:
    """Tell whether this process stood still: the key may soon be forgotten."""
    return clock.now() - asked.started > const.MAX_ROUND_S


def _find_holder(asked: _ClaimRound) -> messages.Entry | None:
    """Return the entry that holds the key, the most telling one."""
    held = collections.defaultdict(list)
    for reply in asked.replies:
        if reply is not None and reply.entry is not None:
            held[reply.entry.state].append(reply.entry)
    for state in (
        const.STATE_ANSWERED,
        const.STATE_UNKNOWN,
        const.STATE_CLAIMED,
    ):
        if held[state]:
            return held[state][0]
    return None


def _digest(*texts: str) -> bytes:
    joined = '\0'.join(texts).encode()
    digest = hashlib.blake2s(joined, digest_size=const.KEY_BYTES)
    return digest.digest()


async def _async_ignore_settlement(settlement: claims.Settlement) -> None:
    """Settle nothing: the answer is that of an earlier attempt."""
