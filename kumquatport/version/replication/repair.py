"""Comparison with a random peer, which mends what the trees missed."""

import asyncio
import random

import mode
import structlog

from kumquatport import exceptions
from kumquatport.connection.control import server
from kumquatport.version import members
from kumquatport.version.replication import (
    const,
    document_replicator,
    messages,
    peers,
    process_context,
    record_broadcaster,
)

_LOGGER = structlog.get_logger(__name__)


class Repair(mode.Service):
    """Compares digests and exchanges the records of buckets that differ.

    Attributes:
        compared: Set once a peer has been compared with in full.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
        fetcher: document_replicator.DocumentReplicator,
        spread: record_broadcaster.RecordBroadcaster,
        known: peers.Peers,
    ) -> None:
        """Answer comparisons.

        Args:
            context: Of this process.
            control: Where the handlers are added.
            fetcher: Fetches newer documents.
            spread: Merges what was repaired.
            known: Whom to ask.
        """
        super().__init__()
        self.compared = asyncio.Event()
        self._context = context
        self._documents = fetcher
        self._spread = spread
        self._peers = known
        self._rounds = 0
        control.handle(messages.Compare, self._async_on_compare)
        control.handle(messages.Exchange, self._async_on_exchange)

    async def on_start(self) -> None:
        """Begin to compare, in a balancer."""
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def _async_run(self) -> None:
        while not self.should_stop:
            self._context.registry.expire()
            endpoint = self._pick()
            if endpoint is not None:
                await self._async_repair(endpoint)
            await self.sleep(const.REPAIR_INTERVAL_S)

    def _pick(self) -> str | None:
        """Pick a peer, now and then one that seems to be gone.

        Two sides that lapsed each other while they were parted would else
        never ask each other again.
        """
        self._rounds += 1
        near = [record.endpoint for record in self._context.other_balancers()]
        if not near or self._rounds % const.PARTITION_CHECK_ROUNDS == 0:
            distant = self._peers.partition_candidates()
            return random.choice(distant or near or [None])
        return random.choice(near)

    async def _async_repair(self, endpoint: str) -> None:
        try:
            for _ in range(const.MAX_EXCHANGES):
                if not await self._async_compare(endpoint):
                    self.compared.set()
                    return
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('comparison not answered', error=str(error))

    async def _async_compare(self, endpoint: str) -> bool:
        """Compare once; tell whether anything came to be the same."""
        registry = self._context.registry
        asked_at = self._context.freshness.tick()
        answer = await self._context.client.async_ask(
            endpoint,
            messages.Compare(
                self._context.endpoint,
                self._context.current.version,
                registry.total_digest(),
            ),
            const.REPAIR_TIMEOUT_S,
        )
        if self._documents.should_fetch(answer.version):
            await self._documents.async_fetch(endpoint)
        elif answer.fresh:
            self._context.freshness.extend(asked_at)
        if not answer.digests:
            return False
        return await self._async_exchange(endpoint, answer.digests)

    async def _async_exchange(
        self,
        endpoint: str,
        digests: tuple[int, ...],
    ) -> bool:
        own = self._context.registry.digests()
        buckets = tuple(
            number
            for number, pair in enumerate(zip(own, digests))
            if pair[0] != pair[1]
        )[: const.MAX_EXCHANGE_BUCKETS]
        if not buckets:
            return False
        answer = await self._context.client.async_ask(
            endpoint,
            messages.Exchange(buckets, self._held(buckets)),
            const.REPAIR_TIMEOUT_S,
        )
        self._spread.merge_without_broadcast(answer.records)
        return True

    def _held(self, buckets: tuple[int, ...]) -> messages.Records:
        held: list[members.InstanceRecord] = []
        for number in buckets:
            held.extend(self._context.registry.bucket(number))
        return tuple(held)

    async def _async_on_compare(
        self,
        message: messages.Compare,
    ) -> messages.CompareAnswer:
        if self._documents.should_fetch(message.version):
            self._documents.schedule_fetch(message.endpoint)
        registry = self._context.registry
        same = registry.total_digest() == message.digest
        return messages.CompareAnswer(
            self._context.current.version,
            self._context.freshness.is_fresh(),
            () if same else registry.digests(),
        )

    async def _async_on_exchange(
        self,
        message: messages.Exchange,
    ) -> messages.ExchangeAnswer:
        valid = [
            number
            for number in message.buckets
            if 0 <= number < len(self._context.registry.digests())
        ]
        held = self._held(tuple(valid))
        self._spread.merge_without_broadcast(message.records)
        return messages.ExchangeAnswer(held)
