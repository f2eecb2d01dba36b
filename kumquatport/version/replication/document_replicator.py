"""Replicates documents by pushes down broadcast trees and by fetches."""

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
    """Relays new documents and answers requests for the document."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        control: server.ControlServer,
    ) -> None:
        """Initialize and register the message handlers.

        Args:
            context: Context of this process.
            control: Server to register the handlers with.
        """
        super().__init__()
        self._context = context
        self._update_cache = update_cache.UpdateCache()
        self._relayed: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._fetching: set[str] = set()
        self._rejected_version = 0
        self._incoming = (0, b'')
        context.current.subscribe(self._update_cache.add_document)
        control.handle(messages.DocumentFetch, self._async_on_fetch)
        control.handle(messages.DocumentPush, self._async_on_push)

    async def async_distribute(self, version: int, encoded: bytes) -> None:
        """Distribute a document from the platform and put it in force here.

        It is relayed before it comes into force here. Otherwise this process
        could crash as the only one that holds this version.

        Args:
            version: Version of the platform's object.
            encoded: Bytes of the platform's object.
        """
        held = self._context.current.snapshot
        if version <= max(held.version, self._rejected_version):
            return
        update = self._update_cache.get_update(held.version, version, encoded)
        self._incoming = (version, encoded)
        pushes = self._relay(self._context.instance, update)
        if pushes:
            await asyncio.wait(pushes, timeout=const.RELAY_WAIT_S)
        self._put_in_force(version, encoded)

    async def async_fetch(self, endpoint: str) -> messages.DocumentAnswer:
        """Fetch the document of a peer and apply it if it is newer.

        Args:
            endpoint: Control endpoint of the peer.

        Returns:
            The peer's answer, already applied.

        Raises:
            PeerUnavailableError: The peer did not answer.
        """
        answer = await self._async_request(
            endpoint, self._context.current.version
        )
        if answer.update is None or self._apply_update(answer.update):
            return answer
        full_answer = await self._async_request(endpoint, 0)
        if full_answer.update is not None:
            self._apply_update(full_answer.update)
        return full_answer

    def schedule_fetch(self, endpoint: str) -> None:
        """Fetch in the background, with one fetch at a time for each peer."""
        if endpoint in self._fetching or self.should_stop:
            return
        self._fetching.add(endpoint)
        self.add_future(self._async_fetch_in_background(endpoint))

    def should_fetch(self, version: int) -> bool:
        """Return whether a version that a peer holds should be fetched."""
        return version > max(
            self._context.current.version, self._rejected_version
        )

    async def _async_request(
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

    async def _async_fetch_in_background(self, endpoint: str) -> None:
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
            update = self._update_cache.get_update(
                message.version, version, encoded
            )
        return messages.DocumentAnswer(version, fresh, update)

    async def _async_on_push(
        self,
        message: messages.DocumentPush,
    ) -> messages.KnownVersion:
        self._relay(message.origin, message.update)
        is_settled = self._apply_update(message.update)
        if (
            not is_settled
            and message.sender
            and self.should_fetch(message.update.version)
        ):
            self.schedule_fetch(message.sender)
        return messages.KnownVersion(
            self._context.current.version,
            self._context.freshness.is_fresh(),
        )

    def _apply_update(self, update: delta.Update) -> bool:
        """Apply an update.

        Returns:
            Whether the version needs no fetch: it is now in force, rejected or
            outdated. ``False`` if the base does not match.
        """
        if not self.should_fetch(update.version):
            return True
        base = self._context.current.snapshot
        if update.base not in (0, base.version):
            return False
        encoded = delta.apply(update, base.encoded)
        if encoded is None:
            return False
        self._put_in_force(update.version, encoded)
        return True

    def _put_in_force(self, version: int, encoded: bytes) -> None:
        try:
            self._context.current.update(version, encoded)
        except exceptions.DocumentRejectedError as error:
            self._rejected_version = version
            _LOGGER.error(
                'document rejected',
                version=version,
                code=error.code,
                error=str(error),
            )

    def _relay(
        self,
        origin: str,
        update: delta.Update,
    ) -> list[asyncio.Future[None]]:
        """Relay an update once to the children in its origin's tree."""
        key = (origin, update.version)
        if key in self._relayed or not self._context.is_balancer:
            return []
        self._relayed[key] = None
        while len(self._relayed) > const.KEPT_RELAYS:
            self._relayed.popitem(last=False)
        tree = ranking.broadcast_tree(origin, self._context.balancer_names())
        message = messages.DocumentPush(origin, self._context.endpoint, update)
        return [
            self.add_future(
                push.async_push(self._context, child, tree, message)
            )
            for child in push.own_children(self._context, tree)
        ]
