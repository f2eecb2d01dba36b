"""Sockets, heartbeat rounds and route transfers of a mesh."""

import asyncio
import functools
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import backoff
from kumquatport.process.packets import (
    const,
    datagrams,
    known_configuration,
    mesh,
    models,
    peers,
    routes_fetch,
)
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)


class PeerLink(mode.Service):
    """Connects a mesh to its peers while the service runs."""

    def __init__(
        self,
        settings: models.Settings,
        configuration: known_configuration.KnownConfiguration,
        peer_mesh: mesh.Mesh,
    ) -> None:
        """Initialize; nothing is bound yet.

        Args:
            settings: Settings of this process.
            configuration: Known configuration, whose routes peers may fetch.
            peer_mesh: Mesh that sends and receives through this link.
        """
        super().__init__()
        self._address = (settings.address, settings.peer_port)
        self._configuration = configuration
        self._mesh = peer_mesh
        self._fetches_allowed = asyncio.Event()
        self._close_callbacks: list[abc.Callable[[], None]] = []

    async def on_start(self) -> None:
        """Bind the sockets and start to send heartbeats.

        Raises:
            StartError: The address or port cannot be bound.
        """
        bound, close = datagrams.listen(self._address, self._mesh.on_datagram)
        self._close_callbacks.append(close)
        loop = asyncio.get_running_loop()
        self._mesh.connect(
            peers.Transport(
                functools.partial(datagrams.send, bound),
                loop.call_soon,
                self._start_fetch,
                loop.call_later,
            )
        )
        server = await routes_fetch.async_serve(
            self._address, lambda: self._configuration.encoded_routes
        )
        self._close_callbacks.append(server.close)
        self.add_future(self._async_send_heartbeats())
        self.add_future(self._async_detect_pauses())

    async def on_stop(self) -> None:
        """Close the sockets."""
        self._mesh.disconnect()
        while self._close_callbacks:
            self._close_callbacks.pop()()

    def allow_fetches(self) -> None:
        """Allow fetches of routes, including those already pending.

        A process that opens a connection while another thread imports modules
        may crash with an illegal instruction (docs/design/platform.md,
        question 6).
        """
        self._fetches_allowed.set()

    async def _async_detect_pauses(self) -> None:
        """Detect pauses, and repeat the confirmation request until answered."""
        while not self.should_stop:
            if self._mesh.pause_recovery.is_unconfirmed():
                self._mesh.pause_recovery.request_confirmation()
            await asyncio.sleep(const.PAUSE_CHECK_S)

    async def _async_send_heartbeats(self) -> None:
        round_number = 0
        while not self.should_stop:
            self._mesh.send_heartbeats(round_number)
            round_number += 1
            await self.sleep(backoff.jittered(self._mesh.round_s))

    def _start_fetch(
        self,
        record: members.InstanceRecord,
        finish: abc.Callable[[bytes | None], None],
    ) -> None:
        self.add_future(self._async_fetch(record, finish))

    async def _async_fetch(
        self,
        record: members.InstanceRecord,
        finish: abc.Callable[[bytes | None], None],
    ) -> None:
        await self._fetches_allowed.wait()
        encoded = None
        try:
            encoded = await routes_fetch.async_fetch(
                (record.address, record.control_port)
            )
        except exceptions.PeerUnavailableError as error:
            _LOGGER.warning(
                'routes not fetched', peer=record.instance, error=error
            )
            await self.sleep(const.FETCH_RETRY_S)
        finish(encoded)
