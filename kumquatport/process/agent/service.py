"""Root service of the agent."""

import asyncio
import typing
from collections import abc

import mode
import structlog
from aioquic.quic import configuration as quic_configuration

from kumquatport import exceptions
from kumquatport.connection.connection_id import const as id_const
from kumquatport.connection.quic import connection_table, listener
from kumquatport.connection.quic import const as quic_const
from kumquatport.helpers import tags
from kumquatport.process.agent import (
    claim_service,
    const,
    opening_forwarder,
    weight_damper,
)
from kumquatport.process.instance import common_services
from kumquatport.process.metrics import const as metrics_const
from kumquatport.process.settings import models
from kumquatport.process.tls import material
from kumquatport.process.tls import watcher as tls_watcher
from kumquatport.request import const as request_const
from kumquatport.request import handler, messages
from kumquatport.version import current
from kumquatport.version import document as documents
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)


class Agent(mode.Service):
    """Terminates the flows of one backend server."""

    def __init__(self, settings: models.AgentSettings) -> None:
        """Build all services and the listener; start nothing.

        Args:
            settings: Settings of this process.
        """
        super().__init__()
        self._settings = settings
        common = settings.common
        self._common_services = common_services.build(
            common,
            common_services.Role(
                members_const.KIND_AGENT,
                settings.service,
                settings.data_port,
            ),
        )
        self._membership = self._common_services.membership
        self._is_leaving = False
        self._weight_damper = weight_damper.WeightDamper()
        self._claim_service = claim_service.ClaimService(
            settings.service,
            self._membership,
            self._common_services.platform,
            self._common_services.metrics.count,
        )
        self._handler = self._make_handler()
        own = (common.address, settings.data_port)
        self._opening_forwarder = opening_forwarder.OpeningForwarder(
            settings.service,
            own,
            common.shared_key,
            self._membership.tables,
            self._common_services.metrics.count,
            self._membership.freshness.is_fresh,
        )
        self._quic_config = _quic_configuration()
        self._tls_watcher = tls_watcher.Watcher(
            settings.tls,
            self._apply_tls_material,
            read_object=self._async_read_object,
        )
        self._listener = self._make_listener()
        self._cleanup_callbacks: list[abc.Callable[[], None]] = []

    def on_init_dependencies(self) -> abc.Iterable[typing.Any]:
        """Return the services that start and stop with this one."""
        return (
            *self._common_services.services,
            self._claim_service,
            self._tls_watcher,
            self._handler,
        )

    async def on_started(self) -> None:
        """Bind the sockets and subscribe to the document in force.

        Raises:
            StartError: A socket cannot be bound.
        """
        address = self._settings.common.listen_address
        self._cleanup_callbacks.append(
            self._opening_forwarder.async_setup(address)
        )
        self._cleanup_callbacks.append(self._listener.async_setup())
        self._cleanup_callbacks.append(
            self._membership.current.subscribe(self._apply_document)
        )
        snapshot = self._membership.current.snapshot
        if snapshot.version:
            self._apply_document(snapshot)
        self.add_future(self._async_announce())

    async def on_stop(self) -> None:
        """Close the sockets and all open connections."""
        while self._cleanup_callbacks:
            self._cleanup_callbacks.pop()()

    async def async_drain(self) -> None:
        """Accept no new flows and wait until this agent is no longer needed.

        Waits for the requests in progress, then for the handover of claims.
        The wait for requests is unbounded; a second signal to the process
        ends it.
        """
        self._is_leaving = True
        await self._membership.async_leave()
        self._listener.go_away()
        while any(
            session.requests_in_progress for session in self._listener.sessions
        ):
            await asyncio.sleep(const.DRAIN_POLL_INTERVAL_S)
        await self._handler.async_drain()
        await self._claim_service.async_leave()

    async def _async_read_object(self, key: str) -> bytes:
        stored = await self._common_services.platform.async_get(key)
        return stored.value

    def _make_handler(self) -> handler.RequestHandler:
        metrics = self._common_services.metrics
        return handler.RequestHandler(
            self._settings.backend_server,
            messages.Metrics(
                metrics.count, metrics.gauge, metrics.record_latency
            ),
            asyncio.get_running_loop().time,
            claim=self._claim_service.async_claim,
        )

    def _make_listener(self) -> listener.Listener:
        common = self._settings.common
        endpoint = listener.AgentEndpoint(
            common.address,
            self._settings.data_port,
            tags.service_tag(self._settings.service),
            tags.failure_domain_tag(common.failure_domain),
            common.listen_address,
        )
        hooks = listener.Hooks(
            may_open=self._may_open,
            pass_on=self._opening_forwarder.pass_on,
            handle=self._handler.async_handle,
            count_event=self._common_services.metrics.count,
            callbacks=connection_table.ConnectionCallbacks(
                self._on_connection_opened, self._on_connection_closed
            ),
        )
        return listener.Listener(
            endpoint, common.shared_key, self._quic_config, hooks
        )

    def _apply_tls_material(self, loaded: material.Material) -> None:
        # Read when a connection opens; open connections keep their own.
        self._quic_config.certificate = loaded.certificate
        self._quic_config.certificate_chain = list(loaded.chain)
        self._quic_config.private_key = loaded.private_key

    def _may_open(self) -> bool:
        if self._is_leaving or self._is_domain_out():
            return False
        return self._handler.readiness().accepts_flows

    def _is_domain_out(self) -> bool:
        domain = self._settings.common.failure_domain
        return domain in self._membership.tables.domains_out

    def _on_connection_opened(self) -> None:
        self._common_services.metrics.count(metrics_const.COUNT_FLOWS_OPENED)
        self._handler.connection_opened()

    def _on_connection_closed(self) -> None:
        self._common_services.metrics.count(metrics_const.COUNT_FLOWS_CLOSED)
        self._handler.connection_closed()

    def _apply_document(self, snapshot: current.VersionedDocument) -> None:
        name = self._settings.service
        try:
            service = documents.service(snapshot.document, name)
        except exceptions.NotInDocumentError:
            _LOGGER.warning('service not in the document', service=name)
            return
        self._handler.configure(service)

    async def _async_announce(self) -> None:
        """Announce readiness and weight whenever they change."""
        while not self.should_stop and not self._is_leaving:
            if await self._membership.async_wait_ready(const.READY_WAIT_S):
                break
            _LOGGER.info('waiting for a confirmed document')
        # The wait is bounded: without the platform there may be no roster for
        # a long time, and flows and requests without a key do not need it.
        await self._claim_service.async_wait_caught_up(const.CATCH_UP_TIMEOUT_S)
        while not self.should_stop and not self._is_leaving:
            self._update_announcement()
            await self.sleep(const.ANNOUNCE_INTERVAL_S)

    def _update_announcement(self) -> None:
        readiness = self._handler.readiness()
        own = self._membership.announcer.own
        self._common_services.metrics.gauge(
            metrics_const.GAUGE_FLOWS_OPEN,
            len(self._listener.sessions),
        )
        self._common_services.metrics.gauge(
            metrics_const.GAUGE_REQUESTS_IN_PROGRESS,
            self._handler.admission_control.in_progress,
        )
        state = members_const.STATE_READY
        if readiness.state == request_const.STATE_LEAVING:
            # The backend server is leaving; open flows are still served here.
            state = members_const.STATE_LEAVING
            self._listener.go_away()
        weight = self._weight_damper.weight_to_announce(readiness.weight)
        if own.state == state and weight is None:
            return
        self._common_services.metrics.count(const.COUNT_ANNOUNCEMENTS)
        self._membership.announcer.update(state=state, weight=weight)


def _quic_configuration() -> quic_configuration.QuicConfiguration:
    return quic_configuration.QuicConfiguration(
        is_client=False,
        alpn_protocols=list(const.ALPN),
        connection_id_length=id_const.CONNECTION_ID_BYTES,
        idle_timeout=quic_const.IDLE_TIMEOUT_S,
        max_data=quic_const.MAX_DATA_BYTES,
        max_stream_data=quic_const.MAX_STREAM_DATA_BYTES,
    )
