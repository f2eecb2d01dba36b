"""Documents: pushed down trees, fetched from whoever has a newer one."""

import asyncio
import collections
import typing

import mode
import structlog

from kumquatport import exceptions
from kumquatport.connection.control import server
from kumquatport.version.replication import (
    const,
    delta,
    messages,
    process_context,
    push,
    ranking,
    update_cache,
)

_LOGGER = structlog.get_logger(__name__)


class DocumentReplicator(mode.Service):
    """Passes documents on and answers those who ask for one."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
    ) -> None:
        """Answer pushes and fetches.

        Args:
            context: Of this process.
            control: Where the handlers are added.
        """
        super().__init__()
        self._context = context
        self._updates = update_cache.UpdateCache()
        self._relayed: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._fetching: set[str] = set()
        self._rejected = 0
        self._incoming = (0, b'')
        context.current.subscribe(self._updates.add_document)
        control.handle(messages.DocumentFetch, self._async_on_fetch)
        control.handle(messages.DocumentPush, self._async_on_push)

    async def async_distribute(self, version: int, encoded: bytes) -> None:
        """Bring in a document that came from the platform.

        It is passed on before it comes into force here, so that no process
        ever holds a version that dies with it.

        Args:
            version: Version of the platform's object.
            encoded: The object's bytes.
        """
        held = self._context.current.snapshot
        if version <= max(held.version, self._rejected):
            return
        update = self._updates.get_update(held.version, version, encoded)
        self._incoming = (version, encoded)
        passed = self._relay(self._context.instance, update)
        if passed:
            await asyncio.wait(passed, timeout=const.RELAY_WAIT_S)
        self._offer(version, encoded)

    async def async_fetch(self, endpoint: str) -> messages.DocumentAnswer:
        """Ask a peer for its document and take it if it is newer.

        Args:
            endpoint: Control endpoint of the peer.

        Returns:
            The peer's answer, already applied.

        Raises:
            PeerUnavailableError: There was no answer.
        """
        answer = await self._async_ask_fetch(
            endpoint, self._context.current.version
        )
        if answer.update is None or self._take(answer.update):
            return answer
        again = await self._async_ask_fetch(endpoint, 0)
        if again.update is not None:
            self._take(again.update)
        return again

    def schedule_fetch(self, endpoint: str) -> None:
        """Fetch from a peer in the background, once at a time."""
        if endpoint in self._fetching or self.should_stop:
            return
        self._fetching.add(endpoint)
        self.add_future(self._async_fetch_quietly(endpoint))

    def should_fetch(self, version: int) -> bool:
        """Tell whether a version that a peer holds should be fetched."""
        return version > max(self._context.current.version, self._rejected)

    async def _async_ask_fetch(
        self,
        endpoint: str,
        version: int,
    ) -> messages.DocumentAnswer:
        answer = await self._context.client.async_ask(
            endpoint,
            messages.DocumentFetch(version),
            const.FETCH_TIMEOUT_S,
        )
        return typing.cast(messages.DocumentAnswer, answer)

    async def _async_fetch_quietly(self, endpoint: str) -> None:
        try:
            await self.async_fetch(endpoint)
        except exceptions.PeerUnavailableError as error:
            _LOGGER.debug('document not fetched', error=str(error))
        finally:
            self._fetching.discard(endpoint)

    async def _async_on_fetch(
        self,
        message: messages.DocumentFetch,
    ) -> messages.DocumentAnswer:
        held = self._context.current.snapshot
        version, encoded = max(self._incoming, (held.version, held.encoded))
        fresh = self._context.freshness.is_fresh()
        update = None
        if message.version < version:
            update = self._updates.get_update(message.version, version, encoded)
        return messages.DocumentAnswer(version, fresh, update)

    async def _async_on_push(
        self,
        message: messages.DocumentPush,
    ) -> messages.KnownVersion:
        self._relay(message.origin, message.update)
        taken = self._take(message.update)
        if (
            not taken
            and message.sender
            and self.should_fetch(message.update.version)
        ):
            self.schedule_fetch(message.sender)
        return messages.KnownVersion(
            self._context.current.version,
            self._context.freshness.is_fresh(),
        )

    def _take(self, update: delta.Update) -> bool:
        """Apply an update; tell whether its version is now held or refused."""
        if not self.should_fetch(update.version):
            return True
        base = self._context.current.snapshot
        if update.base not in (0, base.version):
            return False
        encoded = delta.apply(update, base.encoded)
        if encoded is None:
            return False
        self._offer(update.version, encoded)
        return True

    def _offer(self, version: int, encoded: bytes) -> None:
        try:
            self._context.current.update(version, encoded)
        except exceptions.DocumentRejectedError as error:
            self._rejected = version
            _LOGGER.error(
                'document refused here',
                version=version,
                code=error.code,
                error=str(error),
            )

    def _relay(
        self,
        origin: str,
        update: delta.Update,
    ) -> list[asyncio.Future[None]]:
        """Pass an update on down the tree of its origin, once."""
        mark = (origin, update.version)
        if mark in self._relayed or not self._context.is_balancer:
            return []
        self._relayed[mark] = None
        while len(self._relayed) > const.KEPT_RELAYS:
            self._relayed.popitem(last=False)
        names = ranking.broadcast_tree(origin, self._context.balancer_names())
        message = messages.DocumentPush(origin, self._context.endpoint, update)
        return [
            self.add_future(
                push.async_push(self._context, child, names, message)
            )
            for child in push.own_children(self._context, names)
        ]
