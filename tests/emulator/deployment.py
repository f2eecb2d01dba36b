"""Balancers, agents, backend servers and an operator in one world."""

import ipaddress
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
    store_watch,
)
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const
from tests.builders import packets
from tests.emulator import backend, client, wire, world

PEER_PORT = 7000
ENTRY_PORT = 9000
APP_PORT = 8000
PROBE_S = 0.5
STORE_S = 0.004
IDLE_S = 15.0
COLD_PER_S = 4.0
COLD_FACTOR = 1.5
COLD_SLACK = 5
DRAIN_S = 3.0
BOUNDS = models.Bounds(
    cold_factor=COLD_FACTOR,
    cold_slack=COLD_SLACK,
    reorder_s=2.0,
    flow_ttl_s=60.0,
    grace_s=6.0,
    drain_s=DRAIN_S,
)
ROUTE_LONG = ('198.18.0.1', 443)
ROUTE_SHORT = ('198.18.0.1', 80)
ROUTE_OTHER = ('198.18.0.2', 443)
ROUTE_SPARE = ('198.18.0.3', 443)


class Plan(typing.NamedTuple):
    """Sizes of a deployment."""

    domains: tuple[str, ...] = ('a', 'b', 'c')
    balancers: int = 3
    store_agents: int = 5
    manual_agents: int = 2
    long_clients: int = 18
    short_clients: int = 6
    pause_s: float = 0.4
    work_s: float = 0.05


class Store:
    """What operators wrote, and who is registered."""

    def __init__(self) -> None:
        self.is_up = True
        self.refused: set[str] = set()
        self.revision = 1
        self.version = 1
        self.routes: set[tuple[str, int]] = {
            ROUTE_LONG,
            ROUTE_SHORT,
            ROUTE_OTHER,
        }
        self.out: set[str] = set()
        self.members: dict[str, members.InstanceRecord] = {}

    def table(self) -> routes.RouteTable:
        rows = {}
        for address, port in self.routes:
            service = 'manuals' if (address, port) == ROUTE_OTHER else 'store'
            number = int(ipaddress.IPv4Address(address))
            share = routes.WeightedService(service, 1.0)
            rows[number, port] = routes.Route(number, port, (share,))
        rules = {
            name: routes.ServiceConfig(name, COLD_PER_S, '/')
            for name in ('store', 'manuals')
        }
        return routes.RouteTable(self.version, rows, rules, IDLE_S)


class Process(typing.NamedTuple):
    """One running process of the product."""

    mesh: mesh.Mesh
    beliefs: known_configuration.KnownConfiguration
    forwarder: forwarder.Forwarder | None
    carrier: agent_datapath.AgentDatapath | None


class Deployment:
    """Everything, with the orders that a history gives."""

    def __init__(self, sim: world.World, plan: Plan) -> None:
        self.sim = sim
        self.plan = plan
        self.store = Store()
        self.processes: dict[str, Process] = {}
        self.backends: dict[str, backend.Backend] = {}
        self.drained: dict[str, float] = {}
        self.disturbed: dict[str, float] = {}
        self.rotation: list[str] = []
        self.misses: dict[str, int] = {}
        self.clients: list[client.Client] = []
        self._settings: dict[str, models.Settings] = {}
        for number in range(plan.balancers):
            self._add_balancer(number)
        agents = ['store'] * plan.store_agents
        agents += ['manuals'] * plan.manual_agents
        for number, service in enumerate(agents):
            self._add_agent(number, service)

    def start(self) -> None:
        """Start all processes, then the clients two seconds later."""
        for server in self.backends.values():
            server.start()
            server.born -= backend.COLD_S
        for address in self._settings:
            self.start_process(address)
        self.sim.every(self.sim.node('router'), PROBE_S, self._probe)
        self.sim.run(self.sim.time + 2.0)
        for number in range(self.plan.long_clients):
            self._add_client(number, ROUTE_LONG, is_long=True)
        for number in range(self.plan.short_clients):
            route = ROUTE_OTHER if number % 3 == 0 else ROUTE_SHORT
            self._add_client(100 + number, route, is_long=False)
        for one in self.clients:
            one.start()

    def balancers(self) -> list[str]:
        return [one for one in self._settings if self._settings[one].entry]

    def agents(self) -> list[str]:
        return [one for one in self._settings if not self._settings[one].entry]

    def start_process(self, address: str) -> None:
        """Start a process; it finds the others as Discovery has it."""
        node = self.sim.start(address)
        settings = self._settings[address]
        kind = members.KIND_AGENT
        if settings.entry:
            kind = members.KIND_BALANCER
        held = known_configuration.KnownConfiguration(settings.instance)
        peers = mesh.Mesh(settings, kind, held)
        process = Process(peers, held, None, None)
        if settings.entry:
            process = process._replace(
                forwarder=forwarder.Forwarder(
                    settings,
                    wire.CODEC,
                    held,
                    peers,
                )
            )
            self._listen_balancer(address, process)
        else:
            process = process._replace(
                carrier=agent_datapath.AgentDatapath(
                    settings,
                    wire.CODEC,
                    held,
                    peers,
                    lambda datagram: self._deliver(address, datagram),
                )
            )
            self._listen_agent(address, process)
        self.processes[address] = process
        self.sim.listen(address, PEER_PORT, peers.on_datagram)
        peers.connect(self._outside(address))
        peers.own_record.update(members_const.STATE_READY, None)
        self._discover(address)
        ticks = iter(range(1 << 30))
        self.sim.every(
            node, const.HEARTBEAT_S, lambda: peers.send_heartbeats(next(ticks))
        )
        self.sim.every(node, 1.0, lambda: _expire(process))
        if settings.entry:
            self.sim.every(node, 0.2, lambda: self._sync(address))
        if process.carrier is not None:
            self.sim.every(
                node, const.REGISTER_INTERVAL_S, process.carrier.register_flows
            )
            carry = process.carrier
            self.sim.every(
                node, const.PRESENCE_POLL_S, lambda: self._look(address, carry)
            )

    def kill(self, address: str) -> None:
        self.disturbed[address] = self.sim.time
        self.sim.kill(address)
        self.processes.pop(address, None)

    def kill_for(self, address: str, seconds: float) -> None:
        if self.sim.node(address).is_up:
            self.kill(address)
            self.sim.after(seconds, lambda: self._restart(address))

    def term(self, address: str, down_s: float) -> None:
        """Stop a process as SIGTERM does, and start it again."""
        process = self.processes.get(address)
        if process is None:
            return
        process.mesh.own_record.update(members_const.STATE_LEAVING, None)
        wait_s = const.BALANCER_DRAIN_S
        if process.carrier is not None:
            process.carrier.is_leaving = True
            process.carrier.register_flows(is_last=True)
            wait_s = const.AGENT_DRAIN_MIN_S
        self.sim.after(wait_s, lambda: self.kill_for(address, down_s))

    def crash_backend(self, address: str, seconds: float) -> None:
        server = self.backends[address]
        if server.is_up:
            server.crash()
            # What starts next is another incarnation, which does not drain.
            self.drained.pop(address, None)
            self.sim.after(seconds, server.start)

    def drain_backend(self, address: str) -> None:
        """Have a backend server drain, exit and be replaced."""
        server = self.backends[address]
        if not server.is_up or server.is_draining:
            return
        server.is_draining = True
        self._heartbeat(address)

        def leave() -> None:
            process = self.processes.get(address)
            if process is not None and process.carrier is not None:
                if process.carrier.backend_server.note_exit(server.identifier):
                    process.mesh.schedule_heartbeats()
                    self.sim.after(
                        agent_datapath.EXIT_RESET_DELAY_S,
                        lambda: self._on_gone(address),
                    )
            self.drained.pop(address, None)
            server.crash()
            self.sim.after(1.0, server.start)

        self.sim.after(DRAIN_S + 1.0, leave)

    def set_out(self, domain: str, is_out: bool) -> None:
        self.store.revision += 1
        change = self.store.out.add if is_out else self.store.out.discard
        change(domain)
        self._wake_watchers()

    def set_route(self, route: tuple[str, int], is_there: bool) -> None:
        self.store.revision += 1
        self.store.version += 3
        change = (
            self.store.routes.add if is_there else self.store.routes.discard
        )
        change(route)
        self._wake_watchers()

    def when_up(self, write: abc.Callable[[], None]) -> None:
        """Have an operator write as soon as the store takes it."""
        if self.store.is_up:
            write()
        else:
            self.sim.after(0.2, lambda: self.when_up(write))

    def enter(self, flow: bytes, datagram: bytes, source: str) -> None:
        """Hand a client's packet to the balancer that the router picks."""
        if not self.rotation:
            return
        place = zlib.crc32(flow) % len(self.rotation)
        self.sim.send(datagram, source, (self.rotation[place], ENTRY_PORT))

    def _look(self, address: str, carry: agent_datapath.AgentDatapath) -> None:
        """Have an agent look for its backend server's process, in doubt."""
        looks = carry.backend_server.should_check_presence()
        is_absent = looks and not self.backends[address].is_up
        if is_absent and carry.note_absent(self.sim.time):
            self._note_presence(address)

    def _on_gone(self, address: str) -> None:
        process = self.processes.get(address)
        if process is not None and process.carrier is not None:
            process.carrier.reset_flows_if_gone()
            self._note_presence(address)

    def _note_presence(self, address: str) -> None:
        process = self.processes.get(address)
        if process is not None and process.carrier is not None:
            process.mesh.own_record.update(process.carrier.state, None)
            process.mesh.schedule_heartbeats()

    def _restart(self, address: str) -> None:
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
        self.backends[address] = backend.Backend(
            self.sim, address, service, domain
        )
        node = self.sim.node(f'backend {address}')
        self.sim.every(
            node, backend.HEARTBEAT_S, lambda: self._heartbeat(address)
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
                lambda flow, datagram: self.enter(flow, datagram, address),
                is_long=is_long,
                work_s=self.plan.work_s,
                pause_s=self.plan.pause_s,
            )
        )

    def _heartbeat(self, address: str) -> None:
        server = self.backends[address]
        process = self.processes.get(address)
        if not server.is_up or process is None or process.carrier is None:
            return
        if self.sim.node(address).frozen_until > self.sim.time:
            return
        server.beats += 1
        is_news = process.carrier.handle_report(
            models.BackendServerReport(
                identifier=server.identifier,
                service=server.service,
                endpoint=models.Endpoint(address, APP_PORT),
                slots=backend.SLOTS,
                is_draining=server.is_draining,
                cold_left_s=server.cold_left_s(),
                sequence=server.beats,
                born_ms=int(world.EPOCH_MS + server.born * 1000),
            )
        )
        if server.is_draining:
            self.drained.setdefault(address, self.sim.time)
        if is_news:
            self._note_presence(address)

    def _listen_balancer(self, address: str, process: Process) -> None:
        forward = process.forwarder
        assert forward is not None
        process.mesh.on_frame = forward.on_frame
        process.mesh.on_peer_started = forward.on_peer_started
        self.sim.listen(address, ENTRY_PORT, forward.on_client)

    def _listen_agent(self, address: str, process: Process) -> None:
        carry = process.carrier
        assert carry is not None
        process.mesh.on_frame = carry.on_frame
        process.mesh.on_peer_started = carry.on_peer_started
        process.mesh.load = carry.load
        process.mesh.on_draining_reported = (
            carry.backend_server.note_reported_draining
        )

    def _deliver(self, address: str, datagram: bytes) -> None:
        """Take a packet from an agent to the backend server beside it."""
        server = self.backends[address]
        backend.note_arrival(self.backends.values(), server, datagram)

        def answer(sent: bytes) -> None:
            self.sim.after(0.0001, lambda: self._outbound(address, sent))

        self.sim.after(0.0001, lambda: server.take(datagram, answer))

    def _outbound(self, address: str, datagram: bytes) -> None:
        process = self.processes.get(address)
        if process is None or process.carrier is None:
            return
        frozen_s = self.sim.node(address).frozen_until - self.sim.time
        if frozen_s > 0:
            self.sim.after(frozen_s, lambda: self._outbound(address, datagram))
            return
        process.carrier.on_outbound(datagram, (address, APP_PORT))

    def _outside(self, address: str) -> peers.Transport:
        node = self.sim.node(address)
        return peers.Transport(
            send=lambda datagram, target: self.sim.send(
                datagram, address, target
            ),
            call_soon=lambda call: self.sim.on(node, 0.0, call),
            fetch_routes=lambda record, take: self._fetch(
                address, record, take
            ),
        )

    def _fetch(
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
            is_cut = bool(pairs & self.sim.cuts)
            if peer is None or is_cut:
                self.sim.on(node, const.FETCH_TIMEOUT_S, lambda: take(None))
            else:
                take(peer.beliefs.encoded_routes)

        self.sim.on(node, 0.003, read)

    def _is_served(self, address: str) -> bool:
        return self.store.is_up and address not in self.store.refused

    def _discover(self, address: str) -> None:
        node = self.sim.node(address)
        process = self.processes[address]

        def find() -> None:
            if not self._is_served(address):
                self.sim.on(node, const.STORE_RETRY_MAX_S, find)
                return
            own = process.mesh.own_record.current
            self.store.members[own.instance] = own
            for record in tuple(self.store.members.values()):
                if record.instance != own.instance:
                    process.mesh.learn_record(record)

        self.sim.on(node, STORE_S, find)

    def _sync(self, address: str) -> None:
        """Read the store as StoreWatch does, if it is this one's turn."""
        process = self.processes.get(address)
        if process is None:
            return
        names = process.mesh.live_balancers()
        own = self._settings[address].instance
        rank = names.index(own) if own in names else len(names)
        if not store_watch.should_watch(rank, process.beliefs.age_s):
            return
        if not self._is_served(address):
            return
        self._read_store(process)

    def _read_store(self, process: Process) -> None:
        table = self.store.table()
        process.beliefs.update_routes(routes.encode(table), 'store')
        is_known = process.beliefs.has_domains
        if not is_known or self.store.out != process.beliefs.domains_out:
            process.beliefs.update_domains(
                self.store.revision, self.store.out, 'store'
            )
        process.beliefs.confirm()

    def _wake_watchers(self) -> None:
        for address in self.balancers():
            node = self.sim.node(address)
            self.sim.on(node, STORE_S, lambda at=address: self._sync(at))

    def _probe(self) -> None:
        """Ask each balancer whether it is ready, as the platform does."""
        for address in self.balancers():
            process = self.processes.get(address)
            node = self.sim.node(address)
            is_ready = (
                process is not None
                and node.frozen_until <= self.sim.time
                and process.mesh.own_record.current.state
                == members_const.STATE_READY
                and process.beliefs.routes is not None
                and bool(process.mesh.registry.services())
            )
            misses = 0 if is_ready else self.misses.get(address, 0) + 1
            self.misses[address] = misses
        found = [one for one in self.balancers() if self.misses[one] < 2]
        self.rotation = found or self.balancers()


def _expire(process: Process) -> None:
    if process.carrier is not None:
        process.carrier.expire()
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
        heartbeat_s=backend.HEARTBEAT_S,
        is_first_start=True,
        bounds=BOUNDS,
    )
