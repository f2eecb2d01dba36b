"""The agent beside a backend server."""

import asyncio

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import backoff, clock
from kumquatport.process.packets import (
    carrier,
    const,
    datagrams,
    discovery,
    models,
    node,
    outside,
    presence,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)


class Agent(node.Node):
    """Carries the packets of one backend server."""

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        load: outside.Load,
    ) -> None:
        """Build the parts; nothing runs yet.

        Args:
            settings: Of this process.
            codec: Format of the packets.
            load: Loads what needs HTTP; called in a thread.

        Raises:
            StartError: The settings are not those of an agent.
        """
        target = settings.backend_server
        if not settings.outbound or not settings.heartbeats or not target:
            raise exceptions.StartError('settings are not those of an agent')
        super().__init__(settings, members.KIND_AGENT, load)
        self._outbound = settings.outbound
        self._heartbeats = settings.heartbeats
        self._target = target
        self._carrier = carrier.Carrier(
            settings, codec, self._beliefs, self._mesh, self._deliver
        )
        self._mesh.on_frame = self._carrier.on_frame
        self._mesh.on_return = self._carrier.on_return
        self._mesh.load = self._carrier.load
        self._mesh.on_told_draining = self._carrier.backend_server.told_draining
        self._discovery: discovery.Discovery | None = None

    async def on_start(self) -> None:
        """Bind the sockets and take heartbeats.

        Raises:
            StartError: An address or port cannot be had.
        """
        bound, close = datagrams.listen(
            self._outbound, self._carrier.on_outbound
        )
        self._socket = bound
        self._undo.append(close)
        self.add_future(self._async_sweep())
        self.add_future(self._async_register())

    async def on_started(self) -> None:
        """Tell the others that this agent takes flows, then take heartbeats.

        Raises:
            StartError: An address or port cannot be had.
        """
        self._mesh.own.update(members_const.STATE_READY, None)
        loaded = await self._async_load(self._carrier)
        heartbeats = loaded.heartbeats(self._take_report, self._take_exit)
        self._servers.append(
            await loaded.async_serve(heartbeats, self._heartbeats)
        )
        ready = loaded.ready(lambda: not self._carrier.is_leaving)
        self._servers.append(
            await loaded.async_serve(ready, self._settings.ready)
        )
        self.add_future(self._async_watch_backend_server())
        self._carrier.measure(loaded.figures.observer('service_time'))
        self._discovery = await self._async_discover(loaded)

    async def async_drain(self) -> None:
        """Leave at a moment without requests in progress, soon.

        A store that does not answer is given up in time to end before the
        platform ends the process by force. The registrars are told which flows are open here, so that they are
        found again when this agent is back.
        """
        ends_at = clock.now() + self._settings.bounds.grace_s - const.EXIT_S
        self._carrier.is_leaving = True
        self._note_presence()
        self._carrier.register(is_last=True)
        if not self._carrier.backend_server.is_gone:
            await self._async_look()
        is_gone = self._carrier.backend_server.is_gone
        await asyncio.sleep(const.AGENT_LEAVE_MIN_S)
        limit = clock.now() + const.AGENT_LEAVE_MAX_S
        while self._carrier.busy and clock.now() < limit and not is_gone:
            await asyncio.sleep(const.AGENT_LEAVE_POLL_S)
        self._carrier.register(is_last=True)
        if is_gone:
            self._carrier.has_left = True
            self._note_presence()
            await self._async_withdraw_until(ends_at)

    async def _async_withdraw_until(self, ends_at: float) -> None:
        """Delete this instance's record, or leave it to the others."""
        if self._discovery is None:
            return
        try:
            async with asyncio.timeout(ends_at - clock.now()):
                await self._discovery.async_withdraw()
        except TimeoutError as error:
            _LOGGER.warning('record left in the store', error=error)

    def apply_settings(self, settings: models.Settings) -> None:
        """Take over settings that changed while running."""
        self._settings = settings
        self._mesh.apply_settings(settings)
        self._carrier.apply_settings(settings)

    def _deliver(self, datagram: bytes) -> None:
        datagrams.send(self._socket, datagram, self._target)

    def _take_report(self, report: models.BackendServerReport) -> None:
        if not self._carrier.take_report(report):
            return
        self._note_presence()
        if self._discovery is not None:
            self.add_future(self._discovery.async_restore())

    def _take_exit(self, identifier: str) -> None:
        if self._carrier.backend_server.leave(identifier):
            self._mesh.tell_soon()
            loop = asyncio.get_running_loop()
            loop.call_later(carrier.GONE_RESET_S, self._on_gone)
            if self._discovery is not None:
                self.add_future(self._discovery.async_withdraw())

    def _on_gone(self) -> None:
        self._carrier.reset_if_gone()
        self._note_presence()

    async def _async_watch_backend_server(self) -> None:
        while not self.should_stop:
            if self._carrier.backend_server.should_look():
                await self._async_look()
            await self.sleep(const.LOOK_POLL_S)

    async def _async_look(self) -> None:
        """Find out whether the backend server's process is there."""
        looked_at = clock.now()
        if not await presence.async_is_absent(self._target):
            return
        if self._carrier.found_absent(looked_at):
            self._note_presence()

    def _note_presence(self) -> None:
        """Tell the others now, and whether flows may be here at all."""
        self._mesh.own.update(self._carrier.state, None)
        self._mesh.tell_soon()

    async def _async_register(self) -> None:
        while not self.should_stop:
            await self.sleep(backoff.jittered(const.REGISTER_S))
            self._carrier.register()

    async def _async_sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(const.SWEEP_S)
            self._carrier.expire()
