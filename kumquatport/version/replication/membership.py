"""Membership of one process: records, document, freshness in one service."""

import asyncio
import typing
from collections import abc

import mode

from kumquatport import objects
from kumquatport.connection.control import client, frame, server, traffic
from kumquatport.helpers import clock
from kumquatport.version import current as currents
from kumquatport.version import members, table
from kumquatport.version.members import const as members_const
from kumquatport.version.replication import (
    announcer,
    confirmer,
    const,
    document_replicator,
    document_watcher,
    freshness,
    observer,
    peers,
    process_context,
    record_broadcaster,
    repair,
    snapshots,
)


class Membership(mode.Service):
    """What a balancer or an agent knows of the others and of the document.

    Attributes:
        registry: Records known.
        current: Document in force.
        tables: Tables by registry and document.
        freshness: Whether the document may be acted on.
        traffic: Counts of the control messages.
        server: Answers control messages; takes further handlers.
        announcer: This instance's own record.
    """

    def __init__(
        self,
        own: members.InstanceRecord,
        seeds: abc.Iterable[str],
        key: bytes,
        platform: objects.ObjectStore,
        parse: currents.Parser,
        listen_address: str = '',
    ) -> None:
        """Put the parts together; nothing is sent before the start.

        Args:
            own: First record of this process, from ``own_record.first_record``.
            seeds: ``address:port`` of some control endpoints.
            key: The shared key.
            platform: Client of the platform, started by the caller.
            parse: Turns the document's bytes into a document.
            listen_address: Where control messages are taken; empty for the
                record's address.
        """
        super().__init__()
        self.registry = members.Registry(clock.now)
        self.current = currents.CurrentDocument(parse)
        self.tables = table.TableCache(self.registry)
        self.freshness = freshness.Freshness()
        self._ever_confirmed = False
        self.traffic = traffic.Traffic()
        control_key = frame.control_key(key)
        self.server = server.ControlServer(
            listen_address or own.address,
            own.control_port,
            control_key,
            self.traffic,
        )
        self._client = client.ControlClient(control_key, self.traffic)
        self._context = process_context.create_context(
            own,
            seeds,
            process_context.ReplicatedState(
                self.registry, self.current, self.freshness
            ),
            self._client,
        )
        self._peers = peers.Peers(self._context)
        self._add_parts(own, platform)
        self.current.subscribe(self._apply)

    @property
    def reported_version(self) -> int | None:
        """Return the version to show others, ``None`` until confirmed once."""
        self._ever_confirmed = (
            self._ever_confirmed or self.freshness.ever_confirmed
        )
        return self.current.version if self._ever_confirmed else None

    async def async_ask(
        self,
        endpoint: str,
        message: frame.Message,
        timeout: float,
    ) -> typing.Any:
        """Ask another process; see ``ControlClient.async_ask``."""
        return await self._client.async_ask(endpoint, message, timeout)

    async def async_wait_ready(self, timeout: float) -> bool:
        """Wait until the document is confirmed and the records compared.

        Args:
            timeout: Longest wait, in seconds.

        Returns:
            Whether a document is held and fresh.
        """
        deadline = clock.now() + timeout
        while not self._is_ready() and clock.now() < deadline:
            await asyncio.sleep(const.TICK_S)
        return bool(self.current.version) and self.freshness.is_fresh()

    async def async_leave(self) -> None:
        """Announce that this instance is leaving."""
        self.announcer.update(state=members_const.STATE_LEAVING)
        await self.announcer.async_announce()

    async def on_stop(self) -> None:
        """Announce that this instance is gone, while it still can."""
        await self.announcer.stop()
        await self._records.async_flush()

    def _add_parts(
        self,
        own: members.InstanceRecord,
        platform: objects.ObjectStore,
    ) -> None:
        state = self._context
        fetcher = document_replicator.DocumentReplicator(state, self.server)
        self._records = record_broadcaster.RecordBroadcaster(state, self.server)
        self._repair = repair.Repair(
            state, self.server, fetcher, self._records, self._peers
        )
        watch = document_watcher.DocumentWatcher(state, platform, fetcher)
        self._document_watcher = watch
        self._confirmer = confirmer.Confirmer(
            state, self._peers, fetcher, watch
        )
        self.observer = observer.Observer(state, self.server, fetcher)
        self.announcer = announcer.Announcer(own, state, self._peers, fetcher)
        self.snapshots = snapshots.Snapshots(
            state, own.incarnation, platform, self._peers
        )
        for part in (
            self._client,
            self.server,
            fetcher,
            self._records,
            self.observer,
            self.announcer,
            self._confirmer,
            self._repair,
            watch,
            self.snapshots,
        ):
            self.add_dependency(part)

    def _is_ready(self) -> bool:
        if not self.current.version or not self.freshness.is_fresh():
            return False
        alone = not self._context.other_balancers()
        agent = not self._context.is_balancer
        return alone or agent or self._repair.compared.is_set()

    def _apply(self, held: currents.VersionedDocument) -> None:
        self.tables.apply(held.document)
