"""The sockets of a mesh, its rounds of heartbeats, and routes over TCP."""

import asyncio
import functools
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.helpers import backoff
from kumquatport.process.packets import (
    beliefs,
    const,
    datagrams,
    fetch,
    mesh,
    models,
    peers,
)
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)


class PeerLink(mode.Service):
    """Connects a mesh to the other processes while it runs."""

    def __init__(
        self,
        settings: models.Settings,
        held: beliefs.Beliefs,
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
        self._beliefs = held
        self._mesh = connected
        self._may_fetch = asyncio.Event()
        self._undo: list[abc.Callable[[], None]] = []

    async def on_start(self) -> None:
        """Bind the sockets and begin to tell others.

        Raises:
            StartError: The address or port cannot be had.
        """
        bound, close = datagrams.listen(self._address, self._mesh.on_datagram)
        self._undo.append(close)
        self._mesh.connect(
            peers.Outside(
                functools.partial(datagrams.send, bound),
                asyncio.get_running_loop().call_soon,
                self._start_fetch,
            )
        )
        server = await fetch.async_serve(
            self._address, lambda: self._beliefs.encoded_routes
        )
        self._undo.append(server.close)
        self.add_future(self._async_beat())
        self.add_future(self._async_turn())

    async def on_stop(self) -> None:
        """Close the sockets."""
        self._mesh.disconnect()
        while self._undo:
            self._undo.pop()()

    def allow_fetches(self) -> None:
        """Fetch routes from now on, also those that were due before.

        A process that connects while another of its threads loads modules may
        end with an illegal instruction (docs/design/platform.md, question 6).
        """
        self._may_fetch.set()

    async def _async_turn(self) -> None:
        """Notice pauses, and ask again until one is confirmed."""
        while not self.should_stop:
            if self._mesh.catching_up.is_doubtful():
                self._mesh.catching_up.ask()
            await asyncio.sleep(const.TURN_S)

    async def _async_beat(self) -> None:
        tick = 0
        while not self.should_stop:
            self._mesh.beat(tick)
            tick += 1
            await self.sleep(backoff.jittered(self._mesh.tick_s))

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
        await self._may_fetch.wait()
        encoded = None
        try:
            encoded = await fetch.async_fetch(
                (record.address, record.control_port)
            )
        except exceptions.PeerUnavailableError as error:
            _LOGGER.warning(
                'routes not fetched', peer=record.instance, error=error
            )
            await self.sleep(const.FETCH_RETRY_S)
        take(encoded)
