"""Balancer process."""

import asyncio
import functools
from collections import abc

from kumquatport import exceptions
from kumquatport.connection.packets import packet as packets
from kumquatport.process.packets import (
    const,
    datagrams,
    discovery,
    forwarder,
    http_services,
    models,
    node,
    placement_view,
    store_watch,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const


class Balancer(node.Node):
    """Forwards the packets of clients to agents."""

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        operator_objects: store_watch.OperatorObjects,
        load: http_services.Loader,
    ) -> None:
        """Create the components; nothing runs yet.

        Args:
            settings: Settings of this process.
            codec: Packet codec.
            operator_objects: Objects that operators write to the store.
            load: Imports and creates the HTTP services; called in a thread.

        Raises:
            StartError: The settings lack an entry or are those of an agent.
        """
        if settings.entry is None or settings.outbound is not None:
            raise exceptions.StartError(
                'a balancer needs an entry and has no outbound'
            )
        super().__init__(settings, members.KIND_BALANCER, load)
        self._entry = settings.entry
        self._operator_objects = operator_objects
        self._forwarder = forwarder.Forwarder(
            settings, codec, self._configuration, self._mesh
        )
        self._store_watch: store_watch.StoreWatch | None = None
        self._forwarder.on_queued = self._schedule_retry
        self._is_retry_scheduled = False
        self._mesh.on_frame = self._forwarder.on_frame
        self._mesh.on_peer_started = self._forwarder.on_peer_started
        self._is_leaving = False
        self._query_handlers[placement_view.PATH] = self._view_placement

    async def on_start(self) -> None:
        """Bind the socket for client packets and start the periodic task.

        Raises:
            StartError: The address or port cannot be bound.
        """
        self._forwarder.link.call_later = asyncio.get_running_loop().call_later
        _, close = datagrams.listen(self._entry, self._forwarder.on_client)
        self._close_callbacks.append(close)
        self.add_future(self._async_expire())

    async def on_started(self) -> None:
        """Announce the ready state, then watch the store and join the others.

        Raises:
            StartError: An address or port cannot be bound.
        """
        self._mesh.own_record.update(members_const.STATE_READY, None)
        services = await self._async_load(self._forwarder)
        self._store_watch = store_watch.StoreWatch(
            self._operator_objects,
            services.store,
            self._configuration,
            self._mesh,
            self._settings.bounds,
        )
        await self.add_runtime_dependency(self._store_watch)
        peer_discovery = await self._async_discover(services)
        self._mesh.on_peer_expired = functools.partial(
            self._remove_expired, peer_discovery
        )
        self._servers.append(
            await services.async_serve(
                services.ready(self._is_ready), self._settings.ready
            )
        )

    async def async_drain(self) -> None:
        """Report not ready, and forward until the platform has noticed.

        Meanwhile the flows registered here are handed over to other balancers.
        """
        self._is_leaving = True
        self._mesh.own_record.update(members_const.STATE_LEAVING, None)
        self._forwarder.leave()
        until_kill_s = self._settings.bounds.grace_s - const.SHUTDOWN_RESERVE_S
        await asyncio.sleep(min(const.BALANCER_DRAIN_S, max(until_kill_s, 0)))

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings
        self._configuration.apply_bounds(settings.bounds)
        self._mesh.apply_settings(settings)
        self._forwarder.apply_settings(settings)
        if self._store_watch is not None:
            self._store_watch.apply_bounds(settings.bounds)

    def _remove_expired(
        self,
        peer_discovery: discovery.Discovery,
        record: members.InstanceRecord,
    ) -> None:
        """Delete an expired record if this is the first live balancer."""
        if self._mesh.live_balancers()[0] == self._settings.instance:
            self.add_future(peer_discovery.async_remove_expired(record))

    def _view_placement(
        self, query: abc.Mapping[str, str]
    ) -> placement_view.PlacementView:
        return self._forwarder.view_placement(
            query.get(placement_view.FIELD_FLOW, '')
        )

    def _schedule_retry(self) -> None:
        """Schedule a retry of the queued packets."""
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(const.QUEUE_RETRY_S, self._retry)

    def _retry(self) -> None:
        self._is_retry_scheduled = False
        if self._forwarder.retry_queued():
            self._schedule_retry()

    def _is_ready(self) -> bool:
        return (
            not self._is_leaving
            and self._configuration.routes is not None
            and bool(self._mesh.registry.services())
        )

    async def _async_expire(self) -> None:
        while not self.should_stop:
            await self.sleep(const.EXPIRE_INTERVAL_S)
            self._forwarder.expire()
