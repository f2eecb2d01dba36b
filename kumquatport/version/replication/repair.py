"""Anti-entropy: repairs records and documents that broadcasts missed."""

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
    """Compares digests with a random peer and exchanges differing buckets.

    Attributes:
        compared: Set after the first full comparison with a peer.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
        replicator: document_replicator.DocumentReplicator,
        broadcaster: record_broadcaster.RecordBroadcaster,
        selector: peers.PeerSelector,
    ) -> None:
        """Initialize and register the message handlers.

        Args:
            context: Context of this process.
            control: Server to register the handlers with.
            replicator: Fetches newer documents.
            broadcaster: Merges the repaired records.
            selector: Selects peers that may be partitioned.
        """
        super().__init__()
        self.compared = asyncio.Event()
        self._context = context
        self._replicator = replicator
        self._broadcaster = broadcaster
        self._peer_selector = selector
        self._rounds = 0
        control.handle(messages.Compare, self._async_on_compare)
        control.handle(messages.Exchange, self._async_on_exchange)

    async def on_start(self) -> None:
        """Start periodic comparisons if this process is a balancer."""
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def _async_run(self) -> None:
        while not self.should_stop:
            self._context.registry.expire()
            endpoint = self._choose_endpoint()
            if endpoint is not None:
                await self._async_repair(endpoint)
            await self.sleep(const.REPAIR_INTERVAL_S)

    def _choose_endpoint(self) -> str | None:
        """Choose a random peer, periodically one that seems to be gone.

        Both sides of a network partition mark each other as lapsed. Without
        this they would never contact each other again after it heals.
        """
        self._rounds += 1
        live = [record.endpoint for record in self._context.other_balancers()]
        if not live or self._rounds % const.PARTITION_CHECK_ROUNDS == 0:
            candidates = self._peer_selector.partition_candidates()
            return random.choice(candidates or live or [None])
        return random.choice(live)

    async def _async_repair(self, endpoint: str) -> None:
        try:
            for _ in range(const.MAX_EXCHANGES):
                if not await self._async_compare(endpoint):
                    self.compared.set()
                    return
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('comparison not answered', error=str(error))

    async def _async_compare(self, endpoint: str) -> bool:
        """Compare once; return whether differing buckets were exchanged."""
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
        if self._replicator.should_fetch(answer.version):
            await self._replicator.async_fetch(endpoint)
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
        own_digests = self._context.registry.digests()
        buckets = tuple(
            index
            for index, pair in enumerate(zip(own_digests, digests))
            if pair[0] != pair[1]
        )[: const.MAX_EXCHANGE_BUCKETS]
        if not buckets:
            return False
        answer = await self._context.client.async_ask(
            endpoint,
            messages.Exchange(buckets, self._records_in(buckets)),
            const.REPAIR_TIMEOUT_S,
        )
        self._broadcaster.merge_without_broadcast(answer.records)
        return True

    def _records_in(self, buckets: tuple[int, ...]) -> messages.Records:
        found: list[members.InstanceRecord] = []
        for number in buckets:
            found.extend(self._context.registry.bucket(number))
        return tuple(found)

    async def _async_on_compare(
        self,
        message: messages.Compare,
    ) -> messages.CompareAnswer:
        if self._replicator.should_fetch(message.version):
            self._replicator.schedule_fetch(message.endpoint)
        registry = self._context.registry
        is_equal = registry.total_digest() == message.digest
        return messages.CompareAnswer(
            self._context.current.version,
            self._context.freshness.is_fresh(),
            () if is_equal else registry.digests(),
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
        found = self._records_in(tuple(valid))
        self._broadcaster.merge_without_broadcast(message.records)
        return messages.ExchangeAnswer(found)
