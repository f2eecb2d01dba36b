"""Confirmation of the document after a start, a pause or a silence."""

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
    """Ticks the freshness and asks round whenever it is lost.

    Confirmed is what a fresh peer or the platform holds. When none of the
    peers is fresh and the platform does not answer, all were paused or the
    platform was down for long: what they agree on is then the highest there
    is, and is confirmed after a while.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        known: peers.Peers,
        fetcher: document_replicator.DocumentReplicator,
        platform: document_watcher.DocumentWatcher,
    ) -> None:
        """Set up.

        Args:
            context: Of this process.
            known: Whom to ask.
            fetcher: Fetches newer documents.
            platform: Reads the platform's document.
        """
        super().__init__()
        self._context = context
        self._peers = known
        self._documents = fetcher
        self._platform = platform
        self._stale_since: float = 0

    async def on_start(self) -> None:
        """Begin to tick and to confirm."""
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
        # Ask a little before the bound, so that a quiet node stays fresh.
        margin = const.CONFIRM_INTERVAL_S + const.CONFIRM_TIMEOUT_S
        return self._context.freshness.age > const.FRESH_S - margin

    async def _async_confirm(self) -> None:
        asked_at = self._context.freshness.tick()
        self._stale_since = self._stale_since or asked_at
        answers, read = await asyncio.gather(
            self._async_ask_peers(),
            self._async_ask_platform(),
        )
        if read or any(answer.fresh for answer in answers):
            self._context.freshness.confirm(asked_at)
        elif self._may_fall_back(answers):
            _LOGGER.warning(
                'document taken as confirmed by peers alone',
                version=self._context.current.version,
            )
            self._context.freshness.confirm(asked_at)

    def _may_fall_back(self, answers: Answers) -> bool:
        waited = clock.now() - self._stale_since
        if not answers or not self._context.current.version:
            return False
        return waited >= const.PEERS_ONLY_AFTER_S

    async def _async_ask_peers(self) -> Answers:
        """Ask some peers and take what is newer; return the answers."""
        answers = await asyncio.gather(
            *(
                self._async_fetch(endpoint)
                for endpoint in self._peers.confirmers()
            ),
        )
        return [
            answer
            for answer in answers
            if answer is not None
            and not self._documents.should_fetch(answer.version)
        ]

    async def _async_fetch(
        self,
        endpoint: str,
    ) -> messages.DocumentAnswer | None:
        try:
            return await asyncio.wait_for(
                self._documents.async_fetch(endpoint),
                const.CONFIRM_TIMEOUT_S,
            )
        except (exceptions.PeerUnavailableError, TimeoutError):
            return None

    async def _async_ask_platform(self) -> bool:
        """Read the platform, if it is this one's turn; tell if it answered."""
        if not self._context.is_balancer:
            return False
        readers = const.CONFIRM_PLATFORM_READERS
        turn = readers / max(len(self._context.other_balancers()), readers)
        if random.random() > turn:
            return False
        return await self._platform.async_read(const.CONFIRM_TIMEOUT_S)
