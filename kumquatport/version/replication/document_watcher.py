"""Watches the document on the platform, in a few balancers."""

import asyncio

import mode
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.replication import (
    const,
    document_replicator,
    process_context,
    ranking,
)

_LOGGER = structlog.get_logger(__name__)


class DocumentWatcher(mode.Service):
    """Watches the platform's document while this balancer is a watcher.

    The watchers are the first few balancers of a ranking that is the same in
    all of them. If the platform has not answered any process for a while,
    possibly because only the links of these few are down, more balancers watch
    for a limited time.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        platform: objects.ObjectStore,
        replicator: document_replicator.DocumentReplicator,
    ) -> None:
        """Initialize the watcher.

        Args:
            context: Context of this process.
            platform: Client of the platform.
            replicator: Distributes new documents.
        """
        super().__init__()
        self._context = context
        self._platform = platform
        self._replicator = replicator
        self._ranking_changed = asyncio.Event()
        self._watches_until: float = 0
        context.registry.subscribe(self._on_record)

    @property
    def is_watcher(self) -> bool:
        """Return whether this balancer should watch the document."""
        if not self._context.is_balancer:
            return False
        names = ranking.rank(const.KEY_DOCUMENT, self._context.balancer_names())
        position = names.index(self._context.instance)
        return position < const.WATCHERS or self._watches_additionally(position)

    async def on_start(self) -> None:
        """Start to watch whenever this balancer is a watcher."""
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def async_read(self, timeout: float) -> bool:
        """Read the document once.

        Args:
            timeout: Maximum wait in seconds.

        Returns:
            Whether the platform answered.
        """
        try:
            async with asyncio.timeout(timeout):
                stored = await self._platform.async_get(const.KEY_DOCUMENT)
        except exceptions.ObjectMissingError:
            self._context.contact.record_answer()
            return True
        except (exceptions.KumquatportError, TimeoutError):
            return False
        self._context.contact.record_answer()
        await self._async_distribute(stored)
        return True

    def _watches_additionally(self, position: int) -> bool:
        """Return whether to watch in addition to the first balancers.

        Args:
            position: Position of this balancer in the ranking.
        """
        now = clock.now()
        groups = int(self._context.contact.age // const.EXTRA_WATCHERS_AFTER_S)
        if position < min(const.WATCHERS * (groups + 1), const.MAX_WATCHERS):
            self._watches_until = now + const.EXTRA_WATCHER_S
        return now < self._watches_until

    async def _async_run(self) -> None:
        while not self.should_stop:
            self._ranking_changed.clear()
            if self.is_watcher:
                await self._async_watch()
            else:
                await self.wait_first(
                    self._ranking_changed.wait(),
                    timeout=const.WATCHER_POLL_S,
                )

    async def _async_watch(self) -> None:
        """List, then watch until an error or until others are the watchers."""
        try:
            listing = await self._platform.async_list(const.KEY_DOCUMENT)
            await self._async_distribute_all(listing)
            while self.is_watcher and not self.should_stop:
                listing = await self._async_watch_once(listing.revision)
        except exceptions.KumquatportError as error:
            _LOGGER.debug('document not watched', error=str(error))
            await self.sleep(const.WATCH_RETRY_S)

    async def _async_watch_once(self, revision: int) -> objects.Listing:
        listing = await self._platform.async_watch(
            const.KEY_DOCUMENT,
            revision,
            const.WATCH_TIMEOUT_S,
        )
        await self._async_distribute_all(listing)
        return listing

    async def _async_distribute_all(self, listing: objects.Listing) -> None:
        self._context.contact.record_answer()
        for stored in listing.objects:
            if stored.key == const.KEY_DOCUMENT:
                await self._async_distribute(stored)

    async def _async_distribute(self, stored: objects.StoredObject) -> None:
        if stored.deleted:
            _LOGGER.error('document deleted on the platform; still in force')
            return
        await self._replicator.async_distribute(stored.version, stored.value)

    def _on_record(
        self,
        record: members.InstanceRecord,
        _previous: members.InstanceRecord | None,
    ) -> None:
        if record.kind == members.KIND_BALANCER:
            self._ranking_changed.set()
