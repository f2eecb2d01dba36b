"""Agent process of a backend server."""

import asyncio

import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import backoff, clock
from kumquatport.process.packets import (
    agent_datapath,
    const,
    datagrams,
    discovery,
    http_services,
    models,
    node,
    presence,
    udp_sockets,
)
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)


class Agent(node.Node):
    """Connects one backend server to the balancers."""

    def __init__(
        self,
        settings: models.Settings,
        codec: packets.Codec,
        load: http_services.Loader,
    ) -> None:
        """Create the components; nothing runs yet.

        Args:
            settings: Settings of this process.
            codec: Packet codec.
            load: Imports and creates the HTTP services; called in a thread.

        Raises:
            StartError: The settings lack a value that an agent needs.
        """
        target = settings.backend_server
        if not settings.outbound or not settings.heartbeats or not target:
            raise exceptions.StartError(
                'an agent needs outbound, heartbeats and backend server'
            )
        super().__init__(settings, members.KIND_AGENT, load)
        self._outbound = settings.outbound
        self._heartbeats = settings.heartbeats
        self._target = target
        self._datapath = agent_datapath.AgentDatapath(
            settings, codec, self._configuration, self._mesh, self._deliver
        )
        self._mesh.on_frame = self._datapath.on_frame
        self._mesh.on_peer_started = self._datapath.on_peer_started
        self._mesh.load = self._datapath.load
        self._mesh.on_draining_reported = self._handle_draining_reported
        self._mesh.capacity = self._datapath.capacity
        self._discovery: discovery.Discovery | None = None

    async def on_start(self) -> None:
        """Bind the socket for outbound packets and start the periodic tasks.

        Raises:
            StartError: The address or port cannot be bound.
        """
        bound, close = datagrams.listen(
            self._outbound, self._datapath.on_outbound
        )
        self._socket = bound
        self._close_callbacks.append(close)
        self._datapath.openings.call_later = (
            asyncio.get_running_loop().call_later
        )
        self.add_future(self._async_expire())
        self.add_future(self._async_register_flows())

    async def on_started(self) -> None:
        """Announce the ready state, then serve heartbeats and join the others.

        Raises:
            StartError: An address or port cannot be bound.
        """
        self._mesh.own_record.update(members_const.STATE_READY, None)
        services = await self._async_load(self._datapath)
        heartbeats = services.heartbeats(self._handle_report, self._handle_exit)
        self._servers.append(
            await services.async_serve(heartbeats, self._heartbeats)
        )
        ready = services.ready(lambda: not self._datapath.is_leaving)
        self._servers.append(
            await services.async_serve(ready, self._settings.ready)
        )
        self.add_future(self._async_watch_backend_server())
        self._datapath.observe_service_times(
            services.metrics.observer('service_time')
        )
        self._datapath.openings.observe_wait = services.metrics.observer(
            'opening_wait'
        )
        services.metrics.add_source(
            'admissions', lambda: self._datapath.admissions
        )
        self._discovery = await self._async_discover(services)

    async def async_drain(self) -> None:
        """Stop at a moment without requests in progress, within a time limit.

        The registrars are told which flows are open here, so that balancers
        find them again when this agent is back. If the backend server is gone,
        the record in the store is deleted too. A store that does not answer is
        given up in time to exit before the platform kills the process.
        """
        deadline = (
            clock.now()
            + self._settings.bounds.grace_s
            - const.SHUTDOWN_RESERVE_S
        )
        self._datapath.is_leaving = True
        self._announce_state()
        self._datapath.register_flows(is_last=True)
        if not self._datapath.backend_server.is_gone:
            await self._async_check_presence()
        is_gone = self._datapath.backend_server.is_gone
        await asyncio.sleep(const.AGENT_DRAIN_MIN_S)
        drain_until = min(clock.now() + const.AGENT_DRAIN_MAX_S, deadline)
        while self._datapath.busy and clock.now() < drain_until and not is_gone:
            await asyncio.sleep(const.AGENT_DRAIN_POLL_S)
        await self._async_wait_for_end(deadline)
        self._datapath.register_flows(is_last=True)
        if self._datapath.backend_server.is_gone:
            self._datapath.has_left = True
            self._announce_state()
            await self._async_withdraw_before(deadline)

    async def _async_wait_for_end(self, deadline: float) -> None:
        """Wait until a backend server with a closed listener has ended.

        Meanwhile its open flows are served. The stop of this agent is no proof
        that they have ended: agents are also restarted on their own.

        Args:
            deadline: Monotonic seconds after which it is not awaited.
        """
        server = self._datapath.backend_server
        interval_s = agent_datapath.EXIT_CHECK_INTERVAL_S
        while server.is_listener_closed and clock.now() + interval_s < deadline:
            await asyncio.sleep(interval_s)
            await self._async_check_presence()

    async def _async_withdraw_before(self, deadline: float) -> None:
        """Delete this instance's record before a deadline.

        Otherwise balancers delete it after it has expired.

        Args:
            deadline: Monotonic seconds.
        """
        if self._discovery is None:
            return
        try:
            async with asyncio.timeout(deadline - clock.now()):
                await self._discovery.async_withdraw()
        except TimeoutError as error:
            _LOGGER.warning('record left in the store', error=error)

    def apply_settings(self, settings: models.Settings) -> None:
        """Apply settings that changed at run time."""
        self._settings = settings
        self._configuration.apply_bounds(settings.bounds)
        self._mesh.apply_settings(settings)
        self._datapath.apply_settings(settings)

    def _deliver(self, datagram: bytes) -> None:
        datagrams.send(self._socket, datagram, self._target)

    def _handle_report(self, report: models.BackendServerReport) -> bool:
        """Handle a heartbeat.

        Returns:
            Whether it, or a later one of the same incarnation, is in force.

        Raises:
            HeartbeatRejectedError: It is not of the backend server.
        """
        if self._datapath.handle_report(report):
            self._announce_state()
            if self._discovery is not None:
                self.add_future(self._discovery.async_restore())
        return self._datapath.backend_server.is_current(report)

    def _handle_draining_reported(self) -> None:
        if self._datapath.note_reported_draining():
            self._announce_state()

    def _handle_exit(self, identifier: str) -> None:
        server = self._datapath.backend_server
        if server.report is None:
            server.note_exit(identifier)
            self.add_future(self._async_confirm_exit())
        elif server.note_exit(identifier):
            self._announce_state()
            self.add_future(self._async_confirm_exit())

    async def _async_confirm_exit(self) -> None:
        """Check an exit notice that may be of an earlier incarnation.

        The checks end when the process is absent, or the notice is revoked by
        later heartbeats.
        """
        server = self._datapath.backend_server
        await self.sleep(agent_datapath.EXIT_CHECK_INTERVAL_S)
        await self._async_check_presence()
        while (
            server.is_exiting or server.is_listener_closed
        ) and not self.should_stop:
            await self.sleep(agent_datapath.EXIT_CHECK_INTERVAL_S)
            await self._async_check_presence()
        if server.is_gone and self._discovery:
            await self._discovery.async_withdraw()

    async def _async_watch_backend_server(self) -> None:
        while not self.should_stop:
            self._datapath.check_mass_restart()
            if self._datapath.backend_server.should_check_presence():
                await self._async_check_presence()
            await self.sleep(const.PRESENCE_POLL_S)

    async def _async_check_presence(self) -> None:
        """Check whether the backend server's process exists."""
        checked_at = clock.now()
        if not await presence.async_is_absent(self._target):
            self._datapath.backend_server.note_listening()
            return
        read_at = clock.now()
        udp_socket = udp_sockets.read_state(self._target, self._outbound)
        if udp_socket is not None and not udp_socket.is_bound:
            # All its packets were sent before the sockets were read.
            checked_at = read_at
        if self._datapath.note_absent(checked_at, udp_socket):
            self._announce_state()

    def _announce_state(self) -> None:
        """Announce the current state and load to all peers at once."""
        self._mesh.own_record.update(self._datapath.state, None)
        self._mesh.schedule_heartbeats()

    async def _async_register_flows(self) -> None:
        while not self.should_stop:
            await self.sleep(backoff.jittered(const.REGISTER_INTERVAL_S))
            self._datapath.register_flows()

    async def _async_expire(self) -> None:
        while not self.should_stop:
            await self.sleep(const.EXPIRE_INTERVAL_S)
            self._datapath.expire()
