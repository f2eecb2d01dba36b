"""The balancer's root service."""

import asyncio
import typing
from collections import abc

import mode
import structlog

from kumquatport.process.balancer import const, entry_sockets
from kumquatport.process.instance import common_services
from kumquatport.process.settings import models
from kumquatport.version import current, members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)


class Balancer(mode.Service):
    """Forwards packets, observes agents and spreads what changes."""

    def __init__(self, settings: models.BalancerSettings) -> None:
        """Build the parts; nothing runs yet.

        Args:
            settings: Settings of this process.
        """
        super().__init__()
        common = settings.common
        role = common_services.Role(members_const.KIND_BALANCER, '', 0)
        self._common_services = common_services.build(common, role)
        self._membership = self._common_services.membership
        self._entry_sockets = entry_sockets.EntrySockets(
            common.listen_address,
            common.shared_key,
            self._membership.tables,
            self._common_services.metrics.count,
            self._membership.freshness.is_fresh,
        )
        self._cleanup_callbacks: list[abc.Callable[[], None]] = []

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that run as long as this one."""
        return self._common_services.services

    async def on_started(self) -> None:
        """Bind the sockets and follow the document in force.

        Raises:
            StartError: The address cannot be had.
        """
        self._cleanup_callbacks.append(self._entry_sockets.async_setup())
        self._cleanup_callbacks.append(
            self._membership.current.subscribe(self._apply_document)
        )
        self._cleanup_callbacks.append(
            self._membership.registry.subscribe(self._on_record_changed)
        )
        held = self._membership.current.snapshot
        if held.version:
            self._apply_document(held)
        self.add_future(self._async_announce_ready())

    async def on_stop(self) -> None:
        """Close the sockets."""
        while self._cleanup_callbacks:
            self._cleanup_callbacks.pop()()

    async def async_drain(self) -> None:
        """Announce that this balancer leaves, and forward a moment longer.

        It holds no flow, so nothing has to end; the fabric needs the moment
        to send elsewhere.
        """
        await self._membership.async_leave()
        await asyncio.sleep(const.DRAIN_DELAY_S)

    async def _async_announce_ready(self) -> None:
        while not self.should_stop:
            if await self._membership.async_wait_ready(const.READY_WAIT_S):
                break
            _LOGGER.info('waiting for a document')
        self._membership.announcer.update(state=members_const.STATE_READY)
        _LOGGER.info('ready', version=self._membership.current.version)

    def _apply_document(self, held: current.VersionedDocument) -> None:
        if not self._entry_sockets.apply(held.document):
            loop = asyncio.get_running_loop()
            loop.call_later(
                const.ENTRY_RETRY_DELAY_S, self._retry_apply_document, held
            )

    def _retry_apply_document(self, held: current.VersionedDocument) -> None:
        is_current = held.version == self._membership.current.version
        if is_current and not self.should_stop:
            self._apply_document(held)

    def _on_record_changed(
        self,
        record: members.InstanceRecord,
        previous: members.InstanceRecord | None,
    ) -> None:
        is_new = previous is None or record.incarnation > previous.incarnation
        if is_new and record.kind == members_const.KIND_AGENT:
            self._entry_sockets.refused_endpoints.remove(
                (record.address, record.data_port)
            )
