"""Claims idempotency keys for requests that must not run twice."""

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
    """Too few replicas answered to rule out an earlier attempt."""

    code = 'KQ-5031'


class KeyInUseError(errors.RequestLostError):
    """An earlier attempt with the same key is running or may have run."""

    code = 'KQ-5032'
    status = 409


class KeyReusedError(errors.RequestRefusedError):
    """The key was used before for a different request."""

    code = 'KQ-5033'
    status = 422


class ClaimsLostError(errors.RequestLostError):
    """An earlier attempt may have run, but its claim was lost."""

    code = 'KQ-5034'


class _ClaimRound(typing.NamedTuple):
    """A claim sent to all replicas of a hash slot, and their replies.

    Attributes:
        claim: The claim that was sent.
        generation: The replicas that were asked.
        replies: Their replies in the same order, None for a failed call.
        started: When the round started, in monotonic seconds.
    """

    claim: messages.Claim
    generation: roster.Generation
    replies: tuple[messages.ClaimReply | None, ...]
    started: float

    def count(self, verdict: str) -> int:
        """Return how many replicas replied with a verdict."""
        return sum(
            reply is not None and reply.verdict == verdict
            for reply in self.replies
        )

    def is_granted(self) -> bool:
        """Return whether a write quorum of replicas granted the key."""
        needed = roster.write_quorum(len(self.generation.replicas))
        return self.count(const.GRANTED) >= needed


class Coordinator:
    """Claims idempotency keys for the requests of this agent."""

    def __init__(
        self,
        service: str,
        manager: roster_manager.RosterManager,
        local: replica.Replica,
        call_peer: replica.CallPeer,
        count_event: abc.Callable[[str], None],
    ) -> None:
        """Initialize without a claim.

        Args:
            service: Name of the service.
            manager: Holds the roster that assigns keys to replicas.
            local: The replica in this process.
            call_peer: Sends a control message to an endpoint and returns the
                reply.
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
            deadline_at: When to give up, in monotonic seconds of the event
                loop.

        Returns:
            A verdict that lets the request run, or one with the stored answer
            of an earlier attempt.

        Raises:
            ClaimsUnavailableError: Too few replicas answered; the request did
                not run.
            KeyInUseError: An earlier attempt is running or may have run.
            KeyReusedError: The key was used for a different request.
            ClaimsLostError: An earlier attempt may have run.
        """
        headers = dict(head.headers)
        text = headers.get(request_const.HEADER_IDEMPOTENCY_KEY, '')
        if not text:
            # Without a key a repeat can't be recognized, so the request runs.
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
        for number in range(const.MAX_CLAIM_ROUNDS):
            if number:
                await asyncio.sleep(const.CLAIM_RETRY_DELAY_S)
            if loop.time() >= deadline_at:
                break
            claim_round = await self._async_run_round(key, request)
            if claim_round is None:
                continue
            verdict = await self._async_evaluate(claim_round)
            if verdict is not None:
                return verdict
        self._count_event(f'{const.COUNT_REFUSED_PREFIX}unavailable')
        raise ClaimsUnavailableError(
            'too few replicas of the idempotency key answered'
        )

    async def _async_evaluate(
        self, claim_round: _ClaimRound
    ) -> claims.Verdict | None:
        """Return the verdict of a round, None if another round is needed."""
        if claim_round.is_granted() and not _took_too_long(claim_round):
            self._count_event(const.COUNT_CLAIMS)
            return claims.Verdict(None, self._make_settle(claim_round))
        await self._async_settle(claim_round, const.STATE_RELEASED, b'')
        self._raise_if_lost(claim_round)
        holder = _find_holder(claim_round)
        if holder is not None:
            return self._verdict_for_repeat(holder, claim_round.claim.request)
        await self._async_update_roster(claim_round)
        return None

    async def _async_run_round(
        self,
        key: bytes,
        request: bytes,
    ) -> _ClaimRound | None:
        # Each round uses a new attempt number, so that a late release of one
        # round cannot release the claim of the next.
        claimant = messages.Claimant(
            self._local.replica_id.instance,
            self._local.replica_id.endpoint,
            secrets.token_bytes(const.ATTEMPT_BYTES),
        )
        started = clock.now()
        current = self._roster_manager.current
        if not current.slots:
            return None
        slot = roster.slot_of(key, len(current.slots))
        generation = current.slots[slot][0]
        claim = messages.Claim(
            slot,
            generation.epoch,
            key,
            request,
            claimant,
        )
        try:
            replies = await asyncio.gather(
                *(
                    self._async_claim_at(replica_id, claim)
                    for replica_id in generation.replicas
                ),
            )
        except asyncio.CancelledError:
            self._release_later(claim)
            raise
        return _ClaimRound(claim, generation, tuple(replies), started)

    def _release_later(self, claim: messages.Claim) -> None:
        # The request was not sent, so its key must not stay claimed.
        release = self._async_send_settlement(claim, const.STATE_RELEASED, b'')
        task = asyncio.create_task(release)
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    async def _async_claim_at(
        self,
        replica_id: roster.ReplicaId,
        claim: messages.Claim,
    ) -> messages.ClaimReply | None:
        if replica_id == self._local.replica_id:
            return await self._local.async_claim(claim)
        reply = await self._async_call_peer(replica_id.endpoint, claim)
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

    def _raise_if_lost(self, claim_round: _ClaimRound) -> None:
        waits = [
            reply.retry_after_s
            for reply in claim_round.replies
            if reply is not None and reply.verdict == const.LOST
        ]
        if waits:
            self._count_event(f'{const.COUNT_REFUSED_PREFIX}lost')
            raise ClaimsLostError(
                'claims of earlier attempts were lost', max(waits)
            )

    def _verdict_for_repeat(
        self,
        holder: messages.Entry,
        request: bytes,
    ) -> claims.Verdict:
        self._count_event(const.COUNT_REPEATS)
        if holder.request != request:
            raise KeyReusedError(
                'the idempotency key was used for a different request'
            )
        if holder.state == const.STATE_ANSWERED and holder.answer:
            stored_answer = _ANSWER_DECODER.decode(holder.answer)
            return claims.Verdict(stored_answer, _async_ignore_settlement)
        if holder.state == const.STATE_ANSWERED:
            raise KeyInUseError(
                'an earlier attempt ran; its answer was too large to store'
            )
        if holder.state == const.STATE_UNKNOWN:
            raise KeyInUseError('an earlier attempt may have run')
        raise KeyInUseError('an earlier attempt is not settled yet')

    async def _async_update_roster(self, claim_round: _ClaimRound) -> None:
        """Fetch the roster from a replica that has a newer one."""
        current_epoch = self._roster_manager.current.epoch
        pairs = zip(
            claim_round.generation.replicas, claim_round.replies, strict=True
        )
        for replica_id, reply in pairs:
            if reply is not None and reply.roster_epoch > current_epoch:
                await self._roster_manager.async_query(replica_id.endpoint)
                return

    def _make_settle(
        self,
        claim_round: _ClaimRound,
    ) -> abc.Callable[[claims.Settlement], abc.Awaitable[None]]:
        async def async_settle(settlement: claims.Settlement) -> None:
            encoded = b''
            if settlement.answer is not None:
                encoded = msgspec.msgpack.encode(settlement.answer)
            state = _STATE_OF_OUTCOME[settlement.outcome]
            await self._async_settle(claim_round, state, encoded)

        return async_settle

    async def _async_settle(
        self,
        claim_round: _ClaimRound,
        state: str,
        answer: bytes,
    ) -> None:
        for _ in range(const.MAX_CLAIM_ROUNDS):
            is_recorded = await self._async_send_settlement(
                claim_round.claim, state, answer
            )
            if is_recorded or state == const.STATE_RELEASED:
                return
            # The hash slot may have been handed over: settle in its next
            # generation.
            await asyncio.sleep(const.CLAIM_RETRY_DELAY_S)

    async def _async_send_settlement(
        self,
        claim: messages.Claim,
        state: str,
        answer: bytes,
    ) -> bool:
        generation = self._roster_manager.current.slots[claim.slot][0]
        settle = messages.Settle(
            claim.slot,
            generation.epoch,
            claim.key,
            claim.claimant.attempt,
            state,
            answer,
        )
        replies = await asyncio.gather(
            *(
                self._async_settle_at(replica_id, settle)
                for replica_id in generation.replicas
            ),
        )
        return sum(replies) >= roster.write_quorum(len(generation.replicas))

    async def _async_settle_at(
        self,
        replica_id: roster.ReplicaId,
        settle: messages.Settle,
    ) -> bool:
        if replica_id == self._local.replica_id:
            reply = await self._local.async_settle(settle)
        else:
            reply = await self._async_call_peer(replica_id.endpoint, settle)
        return isinstance(reply, messages.SettleReply) and reply.is_recorded


def _took_too_long(claim_round: _ClaimRound) -> bool:
    """Return whether this process was suspended during the round.

    The replicas may then expire the claim while the request still runs.
    """
    return clock.now() - claim_round.started > const.MAX_ROUND_S


def _find_holder(claim_round: _ClaimRound) -> messages.Entry | None:
    """Return the most conclusive entry that holds the key, if any."""
    held = collections.defaultdict(list)
    for reply in claim_round.replies:
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
    """Ignore the settlement: the answer is that of an earlier attempt."""
