"""Simulated deployment of balancers, agents, backend servers and clients."""

import ipaddress
import itertools
import typing
import zlib
from collections import abc

from kumquatport.process.packets import (
    agent_datapath,
    const,
    forwarder,
    known_configuration,
    mesh,
    models,
    peers,
    udp_sockets,
    watch_timing,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import packets
from tests.emulator import backend_server, client, simulation, wire

PEER_PORT = 7000
ENTRY_PORT = 9000
APP_PORT = 8000
PROBE_INTERVAL_S = 0.5
STORE_LATENCY_S = 0.004
IDLE_TIMEOUT_S = 15.0
COLD_FLOWS_PER_S = 4.0
COLD_FACTOR = 1.5
COLD_SLACK = 5
DRAIN_S = 3.0
# Seconds for which a backend server serves open flows after its exit notice,
# in turn.
SERVE_ON_S = (2.0, 0.0)
BOUNDS = models.Bounds(
    cold_factor=COLD_FACTOR,
    cold_slack=COLD_SLACK,
    reorder_s=2.0,
    flow_ttl_s=60.0,
    grace_s=6.0,
    drain_s=DRAIN_S,
    apply_s=3.0,
    evacuate_s=5.0,
)
ROUTE_LONG = ('198.18.0.1', 443)
ROUTE_SHORT = ('198.18.0.1', 80)
ROUTE_MANUALS = ('198.18.0.2', 443)
ROUTE_SPARE = ('198.18.0.3', 443)


class Plan(typing.NamedTuple):
    """Sizes and load of a deployment."""

    domains: tuple[str, ...] = ('a', 'b', 'c')
    balancers: int = 3
    store_agents: int = 5
    manual_agents: int = 2
    long_clients: int = 18
    short_clients: int = 6
    pause_s: float = 0.4
    work_s: float = 0.05


class Store:
    """The platform's store: configuration and registered members."""

    def __init__(self) -> None:
        self.is_up = True
        self.refused_addresses: set[str] = set()
        self.revision = 1
        self.version = 1
        self.routes: set[tuple[str, int]] = {
            ROUTE_LONG,
            ROUTE_SHORT,
            ROUTE_MANUALS,
        }
        self.domains_out: set[str] = set()
        self.members: dict[str, members.InstanceRecord] = {}

    def route_table(self) -> routes.RouteTable:
        rows = {}
        for address, port in self.routes:
            service = 'manuals' if (address, port) == ROUTE_MANUALS else 'store'
            number = int(ipaddress.IPv4Address(address))
            share = routes.WeightedService(service, 1.0)
            rows[number, port] = routes.Route(number, port, (share,))
        rules = {
            name: routes.ServiceConfig(name, COLD_FLOWS_PER_S, '/')
            for name in ('store', 'manuals')
        }
        return routes.RouteTable(self.version, rows, rules, IDLE_TIMEOUT_S)


class Process(typing.NamedTuple):
    """A running balancer or agent."""

    mesh: mesh.Mesh
    configuration: known_configuration.KnownConfiguration
    forwarder: forwarder.Forwarder | None
    datapath: agent_datapath.AgentDatapath | None


class Deployment:
    """The whole deployment, and the faults that a history injects.

    Attributes:
        draining_since: Time at which an agent learned that its backend server
            drains, by address.
        last_fault_at: End of the last fault by address; for a kill, its start.
        rotation: Balancers to which the router sends packets.
        probe_failures: Consecutive failed probes by balancer.
    """

    def __init__(self, sim: simulation.Simulation, plan: Plan) -> None:
        self.sim = sim
        self.plan = plan
        self.store = Store()
        self.processes: dict[str, Process] = {}
        self.backend_servers: dict[str, backend_server.BackendServer] = {}
        self.draining_since: dict[str, float] = {}
        self.last_fault_at: dict[str, float] = {}
        self.rotation: list[str] = []
        self.probe_failures: dict[str, int] = {}
        self.clients: list[client.Client] = []
        self._settings: dict[str, models.Settings] = {}
        self._serve_on_s = itertools.cycle(SERVE_ON_S)
        for number in range(plan.balancers):
            self._add_balancer(number)
        agents = ['store'] * plan.store_agents
        agents += ['manuals'] * plan.manual_agents
        for number, service in enumerate(agents):
            self._add_agent(number, service)

    def start(self) -> None:
        """Start all processes, then the clients two seconds later."""
        for server in self.backend_servers.values():
            server.start()
            server.started_at -= backend_server.COLD_S
        for address in self._settings:
            self.start_process(address)
        self.sim.call_every(
            self.sim.node('router'), PROBE_INTERVAL_S, self._probe
        )
        self.sim.run(self.sim.time + 2.0)
        for number in range(self.plan.long_clients):
            self._add_client(number, ROUTE_LONG, is_long=True)
        for number in range(self.plan.short_clients):
            route = ROUTE_MANUALS if number % 3 == 0 else ROUTE_SHORT
            self._add_client(100 + number, route, is_long=False)
        for one in self.clients:
            one.start()

    def balancers(self) -> list[str]:
        return [one for one in self._settings if self._settings[one].entry]

    def agents(self) -> list[str]:
        return [one for one in self._settings if not self._settings[one].entry]

    def start_process(self, address: str) -> None:
        """Start a process, which finds its peers as ``Discovery`` does."""
        node = self.sim.start(address)
        settings = self._settings[address]
        kind = members.KIND_AGENT
        if settings.entry:
            kind = members.KIND_BALANCER
        configuration = known_configuration.KnownConfiguration(
            settings.instance
        )
        peers = mesh.Mesh(settings, kind, configuration)
        process = Process(peers, configuration, None, None)
        if settings.entry:
            process = process._replace(
                forwarder=forwarder.Forwarder(
                    settings,
                    wire.CODEC,
                    configuration,
                    peers,
                )
            )
            self._listen_balancer(address, process)
        else:
            process = process._replace(
                datapath=agent_datapath.AgentDatapath(
                    settings,
                    wire.CODEC,
                    configuration,
                    peers,
                    lambda datagram: self._deliver(address, datagram),
                )
            )
            self._listen_agent(address, process)
        self.processes[address] = process
        self.sim.listen(address, PEER_PORT, peers.on_datagram)
        peers.connect(self._transport(address))
        peers.own_record.update(members_const.STATE_READY, None)
        self._discover(address)
        ticks = iter(range(1 << 30))
        self.sim.call_every(
            node, const.HEARTBEAT_S, lambda: peers.send_heartbeats(next(ticks))
        )
        self.sim.call_every(node, 1.0, lambda: _expire(process))
        if settings.entry:
            self.sim.call_every(node, 0.2, lambda: self._poll_store(address))
        if process.datapath is not None:
            self.sim.call_every(
                node, const.REGISTER_INTERVAL_S, process.datapath.register_flows
            )
            datapath = process.datapath
            self.sim.call_every(
                node,
                const.PRESENCE_POLL_S,
                lambda: self._check_presence(address, datapath),
            )

    def kill(self, address: str) -> None:
        self.last_fault_at[address] = self.sim.time
        self.sim.kill(address)
        self.processes.pop(address, None)

    def kill_and_restart(self, address: str, seconds: float) -> None:
        if self.sim.node(address).is_up:
            self.kill(address)
            self.sim.call_later(seconds, lambda: self._start_if_down(address))

    def terminate(self, address: str, down_s: float) -> None:
        """Stop a process gracefully, as on SIGTERM, and restart it."""
        process = self.processes.get(address)
        if process is None:
            return
        process.mesh.own_record.update(members_const.STATE_LEAVING, None)
        wait_s = const.BALANCER_DRAIN_S
        if process.datapath is not None:
            process.datapath.is_leaving = True
            process.datapath.register_flows(is_last=True)
            wait_s = const.AGENT_DRAIN_MIN_S
        self.sim.call_later(
            wait_s, lambda: self.kill_and_restart(address, down_s)
        )

    def crash_backend_server(self, address: str, seconds: float) -> None:
        server = self.backend_servers[address]
        if server.is_up:
            server.crash()
            # The next incarnation does not drain.
            self.draining_since.pop(address, None)
            self.sim.call_later(seconds, server.start)

    def drain_backend_server(self, address: str) -> None:
        """Drain a backend server, stop it and start a new incarnation."""
        server = self.backend_servers[address]
        if not server.is_up or server.is_draining:
            return
        server.is_draining = True
        self._report_heartbeat(address)

        def exit_process() -> None:
            process = self.processes.get(address)
            if process is not None and process.datapath is not None:
                if process.datapath.backend_server.note_exit(server.identifier):
                    process.mesh.schedule_heartbeats()
                    self.sim.call_later(
                        agent_datapath.EXIT_CHECK_INTERVAL_S,
                        lambda: self._confirm_exit(address),
                    )
            server.is_listening = False
            incarnation = server.incarnation
            self.sim.call_later(
                next(self._serve_on_s), lambda: end_process(incarnation)
            )

        def end_process(incarnation: int) -> None:
            if server.is_up and server.incarnation == incarnation:
                self.draining_since.pop(address, None)
                server.crash()
                self.sim.call_later(1.0, server.start)

        self.sim.call_later(DRAIN_S + 1.0, exit_process)

    def set_domain_out(self, domain: str, is_out: bool) -> None:
        self.store.revision += 1
        change = (
            self.store.domains_out.add
            if is_out
            else self.store.domains_out.discard
        )
        change(domain)
        self._notify_balancers()

    def set_route(self, route: tuple[str, int], is_there: bool) -> None:
        self.store.revision += 1
        self.store.version += 3
        change = (
            self.store.routes.add if is_there else self.store.routes.discard
        )
        change(route)
        self._notify_balancers()

    def write_when_store_up(self, write: abc.Callable[[], None]) -> None:
        """Write as an operator, retrying until the store is available."""
        if self.store.is_up:
            write()
        else:
            self.sim.call_later(0.2, lambda: self.write_when_store_up(write))

    def send_from_client(
        self, flow: bytes, datagram: bytes, source: str
    ) -> None:
        """Send a client's packet to the balancer that the router selects."""
        if not self.rotation:
            return
        index = zlib.crc32(flow) % len(self.rotation)
        self.sim.send(datagram, source, (self.rotation[index], ENTRY_PORT))

    def _check_presence(
        self, address: str, datapath: agent_datapath.AgentDatapath
    ) -> None:
        """Check whether the backend server runs, if its agent is in doubt."""
        is_in_doubt = datapath.backend_server.should_check_presence()
        if is_in_doubt:
            self._check_listener(address, datapath)

    def _check_listener(
        self, address: str, datapath: agent_datapath.AgentDatapath
    ) -> None:
        """Check whether the backend server's port refuses connections."""
        server = self.backend_servers[address]
        if server.is_listening:
            datapath.backend_server.note_listening()
            return
        state = udp_sockets.SocketState(server.is_up, has_unread=False)
        if datapath.note_absent(self.sim.time, state):
            self._announce_state(address)

    def _confirm_exit(self, address: str) -> None:
        process = self.processes.get(address)
        if process is not None and process.datapath is not None:
            self._check_listener(address, process.datapath)

    def _announce_state(self, address: str) -> None:
        process = self.processes.get(address)
        if process is not None and process.datapath is not None:
            process.mesh.own_record.update(process.datapath.state, None)
            process.mesh.schedule_heartbeats()

    def _start_if_down(self, address: str) -> None:
        if not self.sim.node(address).is_up:
            self.start_process(address)

    def _add_balancer(self, number: int) -> None:
        domain = self.plan.domains[number % len(self.plan.domains)]
        address = f'10.0.0.{number + 1}'
        self._settings[address] = _settings(f'front-{number}', address, domain)

    def _add_agent(self, number: int, service: str) -> None:
        domain = self.plan.domains[number % len(self.plan.domains)]
        address = f'10.0.1.{number + 1}'
        self._settings[address] = _settings(
            f'side-{number}', address, domain, service
        )
        self.backend_servers[address] = backend_server.BackendServer(
            self.sim, address, service, domain
        )
        node = self.sim.node(f'backend {address}')
        self.sim.call_every(
            node,
            backend_server.HEARTBEAT_S,
            lambda: self._report_heartbeat(address),
        )

    def _add_client(
        self, number: int, route: tuple[str, int], *, is_long: bool
    ) -> None:
        address = f'100.64.0.{number + 1}'
        self.clients.append(
            client.Client(
                self.sim,
                address,
                route,
                lambda flow, datagram: self.send_from_client(
                    flow, datagram, address
                ),
                is_long=is_long,
                work_s=self.plan.work_s,
                pause_s=self.plan.pause_s,
            )
        )

    def _report_heartbeat(self, address: str) -> None:
        server = self.backend_servers[address]
        process = self.processes.get(address)
        if process is None or process.datapath is None:
            return
        if not server.is_listening:
            # It sends no heartbeats after its exit notice.
            return
        if self.sim.node(address).frozen_until > self.sim.time:
            return
        server.heartbeat_count += 1
        is_changed = process.datapath.handle_report(
            models.BackendServerReport(
                identifier=server.identifier,
                service=server.service,
                endpoint=models.Endpoint(address, APP_PORT),
                failure_domain=server.domain,
                slots=backend_server.SLOTS,
                is_draining=server.is_draining,
                cold_left_s=server.cold_left_s(),
                sequence=server.heartbeat_count,
                born_ms=int(simulation.EPOCH_MS + server.started_at * 1000),
            )
        )
        if server.is_draining:
            self.draining_since.setdefault(address, self.sim.time)
        if is_changed:
            self._announce_state(address)

    def _listen_balancer(self, address: str, process: Process) -> None:
        forward = process.forwarder
        assert forward is not None
        process.mesh.on_frame = forward.on_frame
        process.mesh.on_peer_started = forward.on_peer_started
        self.sim.listen(address, ENTRY_PORT, forward.on_client)

    def _listen_agent(self, address: str, process: Process) -> None:
        datapath = process.datapath
        assert datapath is not None
        process.mesh.on_frame = datapath.on_frame
        process.mesh.on_peer_started = datapath.on_peer_started
        process.mesh.load = datapath.load
        process.mesh.on_draining_reported = datapath.note_reported_draining

    def _deliver(self, address: str, datagram: bytes) -> None:
        """Deliver a packet from an agent to its local backend server."""
        server = self.backend_servers[address]
        backend_server.record_delivery(
            self.backend_servers.values(), server, datagram
        )

        def answer(sent: bytes) -> None:
            self.sim.call_later(
                0.0001, lambda: self._send_outbound(address, sent)
            )

        self.sim.call_later(0.0001, lambda: server.receive(datagram, answer))

    def _send_outbound(self, address: str, datagram: bytes) -> None:
        process = self.processes.get(address)
        if process is None or process.datapath is None:
            return
        frozen_s = self.sim.node(address).frozen_until - self.sim.time
        if frozen_s > 0:
            self.sim.call_later(
                frozen_s, lambda: self._send_outbound(address, datagram)
            )
            return
        process.datapath.on_outbound(datagram, (address, APP_PORT))

    def _transport(self, address: str) -> peers.Transport:
        node = self.sim.node(address)
        return peers.Transport(
            send=lambda datagram, target: self.sim.send(
                datagram, address, target
            ),
            call_soon=lambda call: self.sim.call_later_on(node, 0.0, call),
            fetch_routes=lambda record, take: self._fetch_routes(
                address, record, take
            ),
            call_later=lambda delay_s, call: self.sim.call_later_on(
                node, delay_s, call
            ),
        )

    def _fetch_routes(
        self,
        address: str,
        record: members.InstanceRecord,
        take: abc.Callable[[bytes | None], None],
    ) -> None:
        node = self.sim.node(address)

        def read() -> None:
            peer = self.processes.get(record.address)
            pairs = {
                (address, record.address),
                (record.address, address),
            }
            is_blocked = bool(pairs & self.sim.blocked_links)
            if peer is None or is_blocked:
                self.sim.call_later_on(
                    node, const.FETCH_TIMEOUT_S, lambda: take(None)
                )
            else:
                take(peer.configuration.encoded_routes)

        self.sim.call_later_on(node, 0.003, read)

    def _can_reach_store(self, address: str) -> bool:
        return self.store.is_up and address not in self.store.refused_addresses

    def _discover(self, address: str) -> None:
        node = self.sim.node(address)
        process = self.processes[address]

        def discover() -> None:
            if not self._can_reach_store(address):
                self.sim.call_later_on(node, const.STORE_RETRY_MAX_S, discover)
                return
            own = process.mesh.own_record.current
            self.store.members[own.instance] = own
            for record in tuple(self.store.members.values()):
                if record.instance != own.instance:
                    process.mesh.learn_record(record)
            process.mesh.note_members_listed(self.store.members)

        self.sim.call_later_on(node, STORE_LATENCY_S, discover)

    def _poll_store(self, address: str) -> None:
        """Read the store as ``StoreWatch`` does, if this balancer should."""
        process = self.processes.get(address)
        if process is None:
            return
        names = watch_timing.watch_order(process.mesh.live_balancer_domains())
        own = self._settings[address].instance
        rank = names.index(own) if own in names else len(names)
        timing = watch_timing.from_bound(BOUNDS.configuration_s)
        if not timing.should_watch(
            rank, len(names), process.configuration.age_s
        ):
            return
        if not self._can_reach_store(address):
            return
        self._read_store(process)

    def _read_store(self, process: Process) -> None:
        table = self.store.route_table()
        process.configuration.update_routes(routes.encode(table), 'store')
        is_known = process.configuration.has_domains
        if (
            not is_known
            or self.store.domains_out != process.configuration.domains_out
        ):
            process.configuration.update_domains(
                self.store.revision, self.store.domains_out, 'store'
            )
        process.configuration.confirm()

    def _notify_balancers(self) -> None:
        for address in self.balancers():
            node = self.sim.node(address)
            self.sim.call_later_on(
                node, STORE_LATENCY_S, lambda at=address: self._poll_store(at)
            )

    def _probe(self) -> None:
        """Probe the readiness of each balancer, as the platform does."""
        for address in self.balancers():
            process = self.processes.get(address)
            node = self.sim.node(address)
            is_ready = (
                process is not None
                and node.frozen_until <= self.sim.time
                and process.mesh.own_record.current.state
                == members_const.STATE_READY
                and process.configuration.routes is not None
                and bool(process.mesh.registry.services())
            )
            misses = 0 if is_ready else self.probe_failures.get(address, 0) + 1
            self.probe_failures[address] = misses
        found = [
            one for one in self.balancers() if self.probe_failures[one] < 2
        ]
        self.rotation = found or self.balancers()


def _expire(process: Process) -> None:
    if process.datapath is not None:
        process.datapath.expire()
    if process.forwarder is not None:
        process.forwarder.expire()


def _settings(
    name: str, address: str, domain: str, service: str = ''
) -> models.Settings:
    is_agent = bool(service)
    return packets.settings(
        instance=name,
        failure_domain=domain,
        address=address,
        peer_port=PEER_PORT,
        entry=None if is_agent else models.Endpoint(address, ENTRY_PORT),
        client_port=client.CLIENT_PORT,
        service=service,
        backend_server=models.Endpoint(address, APP_PORT),
        heartbeat_s=backend_server.HEARTBEAT_S,
        is_first_start=True,
        bounds=BOUNDS,
    )
