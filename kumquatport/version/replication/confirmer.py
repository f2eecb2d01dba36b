"""Confirms the document after a start, suspension or loss of contact."""

import asyncio
import random

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.version.replication import (
    const,
    document_replicator,
    document_watcher,
    messages,
    peers,
    process_context,
)

_LOGGER = structlog.get_logger(__name__)

Answers = list[messages.DocumentAnswer]


class Confirmer(mode.Service):
    """Ticks the freshness and confirms the document before it expires.

    The platform or any fresh peer confirms the document. If no peer is fresh
    and the platform does not answer, either all processes were suspended or
    the platform has been down for long. The highest version among the peers is
    then the highest available and counts as confirmed after
    ``PEERS_ONLY_AFTER_S``.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        selector: peers.PeerSelector,
        replicator: document_replicator.DocumentReplicator,
        watcher: document_watcher.DocumentWatcher,
    ) -> None:
        """Initialize the confirmer.

        Args:
            context: Context of this process.
            selector: Selects the peers to ask.
            replicator: Fetches newer documents.
            watcher: Reads the platform's document.
        """
        super().__init__()
        self._context = context
        self._peer_selector = selector
        self._replicator = replicator
        self._document_watcher = watcher
        self._stale_since: float = 0

    async def on_start(self) -> None:
        """Start the ticks and confirmations."""
        self.add_future(self._async_tick())
        self.add_future(self._async_run())

    async def _async_tick(self) -> None:
        while not self.should_stop:
            self._context.freshness.tick()
            await self.sleep(const.TICK_S)

    async def _async_run(self) -> None:
        while not self.should_stop:
            if self._is_due():
                await self._async_confirm()
            else:
                self._stale_since = 0
            await self.sleep(const.CONFIRM_INTERVAL_S)

    def _is_due(self) -> bool:
        # Ask shortly before freshness expires, so that a process that gets no
        # other confirmations stays fresh.
        margin = const.CONFIRM_INTERVAL_S + const.CONFIRM_TIMEOUT_S
        return self._context.freshness.age > const.FRESHNESS_S - margin

    async def _async_confirm(self) -> None:
        asked_at = self._context.freshness.tick()
        self._stale_since = self._stale_since or asked_at
        answers, platform_answered = await asyncio.gather(
            self._async_ask_peers(),
            self._async_ask_platform(),
        )
        if platform_answered or any(answer.fresh for answer in answers):
            self._context.freshness.confirm(asked_at)
        elif self._may_trust_peers_alone(answers):
            _LOGGER.warning(
                'document confirmed by peers that are not fresh',
                version=self._context.current.version,
            )
            self._context.freshness.confirm(asked_at)

    def _may_trust_peers_alone(self, answers: Answers) -> bool:
        stale_for_s = clock.now() - self._stale_since
        if not answers or not self._context.current.version:
            return False
        return stale_for_s >= const.PEERS_ONLY_AFTER_S

    async def _async_ask_peers(self) -> Answers:
        """Fetch newer documents from some peers; return the usable answers."""
        answers = await asyncio.gather(
            *(
                self._async_fetch(endpoint)
                for endpoint in self._peer_selector.confirmers()
            ),
        )
        return [
            answer
            for answer in answers
            if answer is not None
            and not self._replicator.should_fetch(answer.version)
        ]

    async def _async_fetch(
        self,
        endpoint: str,
    ) -> messages.DocumentAnswer | None:
        try:
            return await asyncio.wait_for(
                self._replicator.async_fetch(endpoint),
                const.CONFIRM_TIMEOUT_S,
            )
        except (exceptions.PeerUnavailableError, TimeoutError):
            return None

    async def _async_ask_platform(self) -> bool:
        """Read the platform's document at random; return whether it answered.

        The probability is such that of all balancers about
        ``CONFIRM_PLATFORM_READERS`` read at a time.
        """
        if not self._context.is_balancer:
            return False
        readers = const.CONFIRM_PLATFORM_READERS
        probability = readers / max(
            len(self._context.other_balancers()), readers
        )
        if random.random() > probability:
            return False
        return await self._document_watcher.async_read(const.CONFIRM_TIMEOUT_S)
