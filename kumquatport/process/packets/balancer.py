"""The balancer."""

import asyncio
import functools

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
    store_watch,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const


class Balancer(node.Node):
    """Takes the packets of clients."""

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        operators: store_watch.OperatorObjects,
        load: http_services.Loader,
    ) -> None:
        """Build the parts; nothing runs yet.

        Args:
            settings: Of this process.
            codec: Format of the packets.
            operators: How operators write to the store.
            load: Loads what needs HTTP; called in a thread.

        Raises:
            StartError: The settings are not those of a balancer.
        """
        if settings.entry is None or settings.outbound is not None:
            raise exceptions.StartError('settings are not those of a balancer')
        super().__init__(settings, members.KIND_BALANCER, load)
        self._entry = settings.entry
        self._operator_objects = operators
        self._forwarder = forwarder.Forwarder(
            settings, codec, self._configuration, self._mesh
        )
        self._forwarder.on_queued = self._schedule_retry
        self._is_retry_scheduled = False
        self._mesh.on_frame = self._forwarder.on_frame
        self._mesh.on_peer_started = self._forwarder.on_peer_started
        self._is_leaving = False

    async def on_start(self) -> None:
        """Bind the sockets.

        Raises:
            StartError: An address or port cannot be had.
        """
        _, close = datagrams.listen(self._entry, self._forwarder.on_client)
        self._close_callbacks.append(close)
        self.add_future(self._async_expire())

    async def on_started(self) -> None:
        """Tell the others that this balancer takes packets; ask the store.

        Raises:
            StartError: An address or port cannot be had.
        """
        self._mesh.own_record.update(members_const.STATE_READY, None)
        loaded = await self._async_load(self._forwarder)
        await self.add_runtime_dependency(
            store_watch.StoreWatch(
                self._operator_objects,
                loaded.store,
                self._configuration,
                self._mesh,
            )
        )
        found = await self._async_discover(loaded)
        self._mesh.on_peer_expired = functools.partial(
            self._remove_expired, found
        )
        self._servers.append(
            await loaded.async_serve(
                loaded.ready(self._is_ready), self._settings.ready
            )
        )

    async def async_drain(self) -> None:
        """Refuse to be ready, and forward until the platform has seen it."""
        self._is_leaving = True
        self._mesh.own_record.update(members_const.STATE_LEAVING, None)
        await asyncio.sleep(const.BALANCER_DRAIN_S)

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self._mesh.apply_settings(settings)
        self._forwarder.apply_settings(settings)

    def _remove_expired(
        self, found: discovery.Discovery, record: members.InstanceRecord
    ) -> None:
        """Have the first of the live balancers delete a dead record."""
        if self._mesh.live_balancers()[0] == self._settings.instance:
            self.add_future(found.async_remove_expired(record))

    def _schedule_retry(self) -> None:
        """Try packets that wait again in a moment."""
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
