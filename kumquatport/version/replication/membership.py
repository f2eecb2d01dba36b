"""Membership of one process, which runs all replication services."""

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
    """Replicated records and document of a balancer or an agent.

    Attributes:
        registry: Known instance records.
        current: Document in force.
        tables: Rendezvous tables built from the registry and the document.
        freshness: Whether the document is confirmed recently enough for use.
        traffic: Counts of the control messages.
        server: Answers control messages; accepts additional handlers.
        announcer: Announces this instance's own record.
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
        """Create the services; nothing is sent before the start.

        Args:
            own: First record of this process, from ``own_record.first_record``.
            seeds: ``address:port`` of some control endpoints.
            key: The shared key.
            platform: Client of the platform, started by the caller.
            parse: Parses the bytes of a document.
            listen_address: Address to bind for control messages; empty for the
                address of the record.
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
        self._peer_selector = peers.PeerSelector(self._context)
        self._add_services(own, platform)
        self.current.subscribe(self._apply)

    @property
    def reported_version(self) -> int | None:
        """Return the version to report, ``None`` until confirmed once."""
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
        """Send a request to a process; see ``ControlClient.async_ask``."""
        return await self._client.async_ask(endpoint, message, timeout)

    async def async_wait_ready(self, timeout: float) -> bool:
        """Wait until the document is confirmed and the records are compared.

        Args:
            timeout: Maximum wait in seconds.

        Returns:
            Whether there is a document and it is fresh.
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
        """Announce that this instance is gone before its connections close."""
        await self.announcer.stop()
        await self._record_broadcaster.async_flush()

    def _add_services(
        self,
        own: members.InstanceRecord,
        platform: objects.ObjectStore,
    ) -> None:
        context = self._context
        replicator = document_replicator.DocumentReplicator(
            context, self.server
        )
        self._record_broadcaster = record_broadcaster.RecordBroadcaster(
            context, self.server
        )
        self._repair = repair.Repair(
            context,
            self.server,
            replicator,
            self._record_broadcaster,
            self._peer_selector,
        )
        watcher = document_watcher.DocumentWatcher(
            context, platform, replicator
        )
        self._document_watcher = watcher
        self._confirmer = confirmer.Confirmer(
            context, self._peer_selector, replicator, watcher
        )
        self.observer = observer.Observer(context, self.server, replicator)
        self.announcer = announcer.Announcer(
            own, context, self._peer_selector, replicator
        )
        self.snapshots = snapshots.Snapshots(
            context, own.incarnation, platform, self._peer_selector
        )
        for service in (
            self._client,
            self.server,
            replicator,
            self._record_broadcaster,
            self.observer,
            self.announcer,
            self._confirmer,
            self._repair,
            watcher,
            self.snapshots,
        ):
            self.add_dependency(service)

    def _is_ready(self) -> bool:
        if not self.current.version or not self.freshness.is_fresh():
            return False
        has_no_peers = not self._context.other_balancers()
        is_agent = not self._context.is_balancer
        return has_no_peers or is_agent or self._repair.compared.is_set()

    def _apply(self, applied: currents.VersionedDocument) -> None:
        self.tables.apply(applied.document)
