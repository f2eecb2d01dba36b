"""Root service of the balancer."""

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
    """Forwards packets to agents and takes part in the membership."""

    def __init__(self, settings: models.BalancerSettings) -> None:
        """Build all services; start nothing.

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
        """Return the services that start and stop with this one."""
        return self._common_services.services

    async def on_started(self) -> None:
        """Bind the sockets and subscribe to the document in force.

        Raises:
            StartError: A socket cannot be bound.
        """
        self._cleanup_callbacks.append(self._entry_sockets.async_setup())
        self._cleanup_callbacks.append(
            self._membership.current.subscribe(self._apply_document)
        )
        self._cleanup_callbacks.append(
            self._membership.registry.subscribe(self._on_record_changed)
        )
        snapshot = self._membership.current.snapshot
        if snapshot.version:
            self._apply_document(snapshot)
        self.add_future(self._async_announce_ready())

    async def on_stop(self) -> None:
        """Close the sockets and end the subscriptions."""
        while self._cleanup_callbacks:
            self._cleanup_callbacks.pop()()

    async def async_drain(self) -> None:
        """Announce that this balancer is leaving, and keep forwarding briefly.

        A balancer has no flows to drain; the delay gives the fabric time to
        send packets to other balancers.
        """
        await self._membership.async_leave()
        await asyncio.sleep(const.DRAIN_DELAY_S)

    async def _async_announce_ready(self) -> None:
        while not self.should_stop:
            if await self._membership.async_wait_ready(const.READY_WAIT_S):
                break
            _LOGGER.info('waiting for a confirmed document')
        self._membership.announcer.update(state=members_const.STATE_READY)
        _LOGGER.info('ready', version=self._membership.current.version)

    def _apply_document(self, snapshot: current.VersionedDocument) -> None:
        if not self._entry_sockets.apply(snapshot.document):
            loop = asyncio.get_running_loop()
            loop.call_later(
                const.ENTRY_RETRY_DELAY_S, self._retry_apply_document, snapshot
            )

    def _retry_apply_document(
        self, snapshot: current.VersionedDocument
    ) -> None:
        is_current = snapshot.version == self._membership.current.version
        if is_current and not self.should_stop:
            self._apply_document(snapshot)

    def _on_record_changed(
        self,
        record: members.InstanceRecord,
        previous: members.InstanceRecord | None,
    ) -> None:
        """Stop avoiding an agent once a new process of it has started."""
        is_new_process = (
            previous is None or record.incarnation > previous.incarnation
        )
        if is_new_process and record.kind == members_const.KIND_AGENT:
            self._entry_sockets.refused_endpoints.remove(
                (record.address, record.data_port)
            )
