"""The sockets of a mesh, its rounds of heartbeats, and routes over TCP."""

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
    """Connects a mesh to the other processes while it runs."""

    def __init__(
        self,
        settings: models.Settings,
        held: known_configuration.KnownConfiguration,
        connected: mesh.Mesh,
    ) -> None:
        """Set up; nothing is bound yet.

        Args:
            settings: Of this process.
            held: Beliefs of this process, whose routes peers may fetch.
            connected: The mesh that sends and receives here.
        """
        super().__init__()
        self._address = (settings.address, settings.peer_port)
        self._configuration = held
        self._mesh = connected
        self._fetches_allowed = asyncio.Event()
        self._close_callbacks: list[abc.Callable[[], None]] = []

    async def on_start(self) -> None:
        """Bind the sockets and begin to tell others.

        Raises:
            StartError: The address or port cannot be had.
        """
        bound, close = datagrams.listen(self._address, self._mesh.on_datagram)
        self._close_callbacks.append(close)
        self._mesh.connect(
            peers.Transport(
                functools.partial(datagrams.send, bound),
                asyncio.get_running_loop().call_soon,
                self._start_fetch,
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
        """Fetch routes from now on, also those that were due before.

        A process that connects while another of its threads loads modules may
        end with an illegal instruction (docs/design/platform.md, question 6).
        """
        self._fetches_allowed.set()

    async def _async_detect_pauses(self) -> None:
        """Notice pauses, and ask again until one is confirmed."""
        while not self.should_stop:
            if self._mesh.pause_recovery.is_unconfirmed():
                self._mesh.pause_recovery.request_confirmation()
            await asyncio.sleep(const.PAUSE_CHECK_S)

    async def _async_send_heartbeats(self) -> None:
        tick = 0
        while not self.should_stop:
            self._mesh.send_heartbeats(tick)
            tick += 1
            await self.sleep(backoff.jittered(self._mesh.round_s))

    def _start_fetch(
        self,
        record: members.InstanceRecord,
        take: abc.Callable[[bytes | None], None],
    ) -> None:
        self.add_future(self._async_fetch(record, take))

    async def _async_fetch(
        self,
        record: members.InstanceRecord,
        take: abc.Callable[[bytes | None], None],
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
        take(encoded)
