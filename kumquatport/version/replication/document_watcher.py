"""The platform's document, read and watched by a few balancers."""

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
    """Watches the platform while this balancer is one of its watchers.

    The watchers are the first few in an order that all balancers share. When
    the platform has not answered anybody for a while, which may be due to the
    links of just those few, more join in for some time.
    """

    def __init__(
        self,
        context: process_context.ProcessContext,
        platform: objects.ObjectStore,
        fetcher: document_replicator.DocumentReplicator,
    ) -> None:
        """Set up.

        Args:
            context: Of this process.
            platform: Client of the platform.
            fetcher: Takes new documents and passes them on.
        """
        super().__init__()
        self._context = context
        self._platform = platform
        self._documents = fetcher
        self._rank_changed = asyncio.Event()
        self._watches_until: float = 0
        context.registry.subscribe(self._on_record)

    @property
    def is_watcher(self) -> bool:
        """Tell whether this balancer is one of those that watch."""
        if not self._context.is_balancer:
            return False
        names = ranking.rank(const.KEY_DOCUMENT, self._context.balancer_names())
        place = names.index(self._context.instance)
        return place < const.WATCHERS or self._watches_additionally(place)

    async def on_start(self) -> None:
        """Begin to watch when it is this balancer's turn."""
        if self._context.is_balancer:
            self.add_future(self._async_run())

    async def async_read(self, timeout: float) -> bool:
        """Read the document once.

        Args:
            timeout: Longest wait, in seconds.

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
        await self._async_take(stored)
        return True

    def _watches_additionally(self, place: int) -> bool:
        """Tell whether a balancer further down watches as well."""
        now = clock.now()
        groups = int(self._context.contact.age // const.EXTRA_WATCHERS_AFTER_S)
        if place < min(const.WATCHERS * (groups + 1), const.MAX_WATCHERS):
            self._watches_until = now + const.EXTRA_WATCHER_S
        return now < self._watches_until

    async def _async_run(self) -> None:
        while not self.should_stop:
            self._rank_changed.clear()
            if self.is_watcher:
                await self._async_watch()
            else:
                await self.wait_first(
                    self._rank_changed.wait(),
                    timeout=const.WATCHER_POLL_S,
                )

    async def _async_watch(self) -> None:
        """List, then watch until it fails or others are to watch."""
        try:
            listing = await self._platform.async_list(const.KEY_DOCUMENT)
            await self._async_take_all(listing)
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
        await self._async_take_all(listing)
        return listing

    async def _async_take_all(self, listing: objects.Listing) -> None:
        self._context.contact.record_answer()
        for stored in listing.objects:
            if stored.key == const.KEY_DOCUMENT:
                await self._async_take(stored)

    async def _async_take(self, stored: objects.StoredObject) -> None:
        if stored.deleted:
            _LOGGER.error('document deleted at the platform, kept in force')
            return
        await self._documents.async_distribute(stored.version, stored.value)

    def _on_record(
        self,
        record: members.InstanceRecord,
        _previous: members.InstanceRecord | None,
    ) -> None:
        if record.kind == members.KIND_BALANCER:
            self._rank_changed.set()
