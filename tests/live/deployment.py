"""Deployment of real processes with a stand-in for the platform's store."""

import asyncio
import json
import pathlib
import tempfile
import time
import typing
import urllib.error
import urllib.request
import zlib
from collections import abc

import aiohttp

from kumquatport.platform import calls
from tests import network, processes
from tests.emulator import backend_server, client, wire
from tests.live import real_network

PEER_PORT = 7720
ENTRY_PORT = client.CLIENT_PORT
READY_PORT = 9101
CONTROL_PORT = 9102
OUTBOUND_PORT = 9103
APP_PORT = 8000
METRICS_PORT = 9464
DOMAINS = ('a', 'b', 'c')
STANDINS = ('store', 'faults')
PROBE_INTERVAL_S = 0.5
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
FAULT_PROXY_PORT = 9300
# Links to the store for machines that are added later.
SPARE_LINKS = 100
SPARE_LINKS_RATIO = 4
ROUTER_HOST = 251
ROUTES = {
    ('198.18.0.1', 443): 'store',
    ('198.18.0.1', 80): 'store',
    ('198.18.0.2', 443): 'manuals',
}
SETTINGS = """
NodeName = "{name}"
Ip = "{address}"
Zone = "{domain}"
Region = "r"
InternalPorts = [{peer}, {last}]
Seeds = []
Bootstrap = {first}
HeartbeatMs = 800
{extra}
[Listen]
DatagramAddr = "{address}:{entry}"
Ready = "{address}:{ready}"
{listen}
[Bounds]
WarmupFactor = 1.5
WarmupSlack = 5
ReorderMs = 2000
FlowTtlS = 60
GraceS = 6
DrainMs = 3000
ConfigApplyMs = 3000
EvacMs = 5000
[platform]
Address = "{store}"
HistoryS = 20
"""


class Machine(typing.NamedTuple):
    """A machine with one instance.

    Attributes:
        name: Name of the instance.
        address: Its IPv4 address.
        domain: Its failure domain.
        service: Service of its backend server; empty for a balancer.
        link: Number of its link to the store at the fault proxy.
    """

    name: str
    address: str
    domain: str
    service: str
    link: int


class LiveDeployment:
    """Processes, backend servers, clients, a router and an operator.

    Attributes:
        addresses: Addresses of the instances by name.
        rotation: Balancers to which the router sends packets.
        dropped_routes: Removed routes, with the time of their removal.
        last_fault_at: End of the last fault by address.
        draining_since: Time at which an agent learned that its backend server
            drains, by name.
        machines: Machines by the name of their instance.
        routes: Service of each route of the configurations.
        closes_when_draining: Whether backend servers close their flows, one
            after the other, once they drain.
        on_taken: Called with flow, time of sending and balancer's address for
            each packet that the router sends to a balancer.
        on_leave_acknowledged: Called with a backend server when its agent
            has accepted that it is draining or gone.
    """

    def __init__(
        self,
        seed: int,
        balancers: int = 2,
        stores: int = 3,
        manuals: int = 2,
        source: pathlib.Path = processes.ROOT,
    ) -> None:
        """Prepare a deployment without starting it.

        Args:
            seed: Seed of the clients and backend servers.
            balancers: Number of balancers.
            stores: Number of agents of the service ``store``.
            manuals: Number of agents of the service ``manuals``.
            source: Checkout whose programs are run.
        """
        self.net = network.Network()
        self.sim = real_network.RealNetwork(seed)
        self.folder = tempfile.TemporaryDirectory(prefix='kumquatport-live-')
        self.processes: dict[str, processes.Process] = {}
        self.addresses: dict[str, str] = {}
        self.backend_servers: dict[str, backend_server.BackendServer] = {}
        self.clients: list[client.Client] = []
        self.rotation: list[str] = []
        self.version = 1
        self.dropped_routes: dict[tuple[str, int], float] = {}
        self.last_fault_at: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.machines: dict[str, Machine] = {}
        self.routes = dict(ROUTES)
        self.closes_when_draining = False
        self.on_taken: abc.Callable[[bytes, float, str], None] = _ignore
        self.on_leave_acknowledged: abc.Callable[
            [backend_server.BackendServer], None
        ] = _ignore
        self._source = source
        self._is_stopping = False
        self._pool = network.AddressPool()
        self._receivers: dict[str, backend_server.BackendServer] = {}
        self._links = 0
        self._probe_failures: dict[str, int] = {}
        self._started_ms: dict[tuple[str, int], int] = {}
        self._services = ['store'] * stores + ['manuals'] * manuals
        self._balancers = balancers
        self._max_machines = SPARE_LINKS + (
            SPARE_LINKS_RATIO * (balancers + len(self._services))
        )
        self._tasks: list[asyncio.Task] = []
        self._session: aiohttp.ClientSession | None = None
        router = f'{self.net.prefix}.{ROUTER_HOST}'
        self._send_from_router = self.sim.listen(router, 0, lambda *_: None)

    @property
    def store_url(self) -> str:
        return 'http://{}:{}'.format(*self.net.platform)

    async def async_start(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Start the store and all processes; wait until the balancers are ready.

        Args:
            timeout_s: Seconds that the balancers have to become ready.
        """
        self._start_store()
        self._start_fault_proxy()
        self.put_configuration()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        for number in range(self._balancers):
            self.add_machine(f'front-{number}', number, '')
        for number, service in enumerate(self._services):
            name = f'side-{number}'
            self.add_machine(name, number, service)
            server = self.add_backend_server(name)
            server.start()
            server.started_at -= backend_server.COLD_S
        for process in self.processes.values():
            process.start()
        self._tasks.append(asyncio.create_task(self._async_probe()))
        async with asyncio.timeout(timeout_s):
            while len(self.rotation) < self._balancers:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        for machine in self.machines.values():
            self._write_settings(machine, is_first_start=False)

    async def async_stop(self) -> dict[str, int | None]:
        """Stop all processes and return their exit codes by name."""
        # A call that times out as it is cancelled loses the cancellation.
        self._is_stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        instances = [
            one for name, one in self.processes.items() if name not in STANDINS
        ]
        standins = [self.processes[name] for name in STANDINS]
        await asyncio.to_thread(processes.end_all, instances, STOP_TIMEOUT_S)
        await asyncio.to_thread(processes.end_all, standins, STOP_TIMEOUT_S)
        codes = {name: one.exit_code for name, one in self.processes.items()}
        self.sim.close()
        self._pool.close()
        self.net.close()
        return codes

    def add_clients(
        self, long: int, short: int, work_s: float = 0.03, pause_s: float = 0.2
    ) -> None:
        """Start clients with flows of many requests, and of one request.

        Args:
            long: Number of clients whose flows carry many requests.
            short: Number of clients with a flow for each request.
            work_s: Mean seconds of work of a request.
            pause_s: Mean seconds between the requests of a client.
        """
        for number in range(long + short):
            is_long = number < long
            route = ('198.18.0.1', 443)
            if not is_long:
                routes = (('198.18.0.1', 80), ('198.18.0.2', 443))
                route = routes[number % 2]
            self.add_client(route, work_s, pause_s, is_long=is_long)

    def add_client(
        self,
        route: tuple[str, int],
        work_s: float,
        pause_s: float,
        *,
        is_long: bool,
    ) -> None:
        """Start a client of a route; see ``client.Client``."""
        one = client.Client(
            self.sim,
            self._pool.take(),
            route,
            lambda flow, datagram: self._send_from_client(flow, datagram),
            is_long=is_long,
            work_s=work_s,
            pause_s=pause_s,
        )
        self.clients.append(one)
        one.start()

    def put_configuration(self) -> None:
        """Write the routes as an operator does."""
        rows = [
            {
                'Name': f'r{index}',
                'Host': address,
                'PathPrefix': f'/{port}/',
                'Service': service,
            }
            for index, ((address, port), service) in enumerate(
                self.routes.items()
            )
            if (address, port) not in self.dropped_routes
        ]
        services = [
            {'Name': name, 'HealthPath': '/h', 'WarmupPerS': 4.0}
            for name in ('store', 'manuals')
        ]
        spec = {
            'Version': self.version,
            'Routes': rows,
            'Services': services,
            'Limits': {'IdleTimeoutMs': 15000},
        }
        self.version += 3
        self._write('config', 'main', spec)

    def set_domain_out(self, domain: str, is_out: bool) -> None:
        if is_out:
            self._write('evacuations', domain, {})
            return
        url = f'{calls.kind_url(self.store_url, "evacuations")}/{domain}'
        self._send('DELETE', url, None)

    def control_store(self, order: dict) -> None:
        """Send an order to the stand-in for the store."""
        self._send('POST', f'{self.store_url}/control', order)

    def metrics(self, name: str) -> str:
        url = f'http://{self.addresses[name]}:{METRICS_PORT}/metrics'
        with urllib.request.urlopen(url, timeout=5) as answer:
            return answer.read().decode()

    def _write(self, kind: str, name: str, spec: object) -> None:
        body = {'meta': {'Name': name}, 'spec': spec}
        url = str(calls.kind_url(self.store_url, kind))
        try:
            self._send('PUT', f'{url}/{name}', body)
        except urllib.error.HTTPError:
            self._send('POST', url, body)

    def _send(self, method: str, url: str, body: object) -> None:
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(url, data, method=method)
        request.add_header('Content-Type', 'application/json')
        urllib.request.urlopen(request, timeout=5).close()

    def _start_store(self) -> None:
        address, port = self.net.platform
        process = processes.Process(
            'store',
            'tests.standins.platform',
            ['--listen', f'{address}:{port}'],
            self._log_path('store'),
        )
        process.start()
        self.processes['store'] = process
        until = self.sim.time + START_TIMEOUT_S
        while self.sim.time < until:
            try:
                self.control_store({})
            except OSError:
                continue
            return
        raise processes.NotReadyError('store')

    def _start_fault_proxy(self) -> None:
        """Start the proxy through which the instances reach the store."""
        process = processes.Process(
            'faults',
            'tests.standins.fault_proxy',
            ['--control', f'{self.net.faults}:{FAULT_PROXY_PORT}'],
            self._log_path('faults'),
        )
        process.start()
        self.processes['faults'] = process
        links = {
            str(number): {
                'protocol': 'tcp',
                'listen': self._link_address(number),
                'target': '{}:{}'.format(*self.net.platform),
            }
            for number in range(self._max_machines)
        }
        until = self.sim.time + START_TIMEOUT_S
        while self.sim.time < until:
            try:
                self.control_fault_proxy({'links': links})
            except OSError:
                continue
            return
        raise processes.NotReadyError('faults')

    def control_fault_proxy(self, order: dict) -> None:
        """Send an order to the proxy in front of the store."""
        url = f'http://{self.net.faults}:{FAULT_PROXY_PORT}/control'
        self._send('POST', url, order)

    def _log_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self.folder.name) / f'{name}.log'

    def add_machine(
        self, name: str, number: int, service: str, address: str = ''
    ) -> Machine:
        """Add a machine without starting its instance.

        Args:
            name: Name of the instance, never used before.
            number: Number that determines its failure domain.
            service: Service of its backend server; empty for a balancer.
            address: Its address; by default one that nobody had.
        """
        machine = Machine(
            name,
            address or self._pool.take(),
            DOMAINS[number % len(DOMAINS)],
            service,
            self._links,
        )
        self._links += 1
        path = self._write_settings(machine, is_first_start=not self.rotation)
        options = ['agent' if service else 'balancer', '--settings', str(path)]
        options += ['--metrics', str(METRICS_PORT)]
        self.machines[name] = machine
        self.addresses[name] = machine.address
        self.processes[name] = processes.Process(
            name,
            'kumquatport.platform',
            options,
            self._log_path(name),
            self._source,
        )
        return machine

    def add_backend_server(self, name: str) -> backend_server.BackendServer:
        """Add the backend server of a machine, which is to be started."""
        machine = self.machines[name]
        address = machine.address
        server = backend_server.BackendServer(
            self.sim, address, machine.service, machine.domain
        )
        server.closes_when_draining = self.closes_when_draining
        server.on_up_changed = self.sim.create_port_switch(address, APP_PORT)
        self.backend_servers[name] = server
        if address not in self._receivers:
            self._listen_for_backend_servers(address)
        self._receivers[address] = server
        self._tasks.append(
            asyncio.create_task(self._async_send_heartbeats(name, server))
        )
        return server

    def remove_machine(self, name: str) -> None:
        """Forget a machine whose instance and backend server have ended."""
        self.machines.pop(name)
        self.addresses.pop(name)
        self.backend_servers.pop(name, None)

    def _link_address(self, link: int) -> str:
        return f'{self.net.faults}:{FAULT_PROXY_PORT + 1 + link}'

    def _write_settings(
        self, machine: Machine, *, is_first_start: bool
    ) -> pathlib.Path:
        path = pathlib.Path(self.folder.name) / f'{machine.name}.toml'
        address = machine.address
        extra, listen = '', ''
        if machine.service:
            extra = (
                f'app = "{address}:{APP_PORT}"\nService = "{machine.service}"'
            )
            listen = (
                f'outbound = "{address}:{OUTBOUND_PORT}"\n'
                f'Control = "{address}:{CONTROL_PORT}"'
            )
        path.write_text(
            SETTINGS.format(
                name=machine.name,
                address=address,
                domain=machine.domain,
                peer=PEER_PORT,
                last=PEER_PORT + 15,
                first=str(is_first_start).lower(),
                extra=extra,
                listen=listen,
                entry=ENTRY_PORT,
                ready=READY_PORT,
                store=self._link_address(machine.link),
            )
        )
        return path

    def _listen_for_backend_servers(self, address: str) -> None:
        outbound = (address, OUTBOUND_PORT)
        send = self.sim.listen(
            address,
            APP_PORT,
            lambda datagram, _: self._deliver(
                self._receivers[address], datagram, answer
            ),
        )

        def answer(sent: bytes) -> None:
            send(sent, outbound)

    def _deliver(
        self,
        server: backend_server.BackendServer,
        datagram: bytes,
        answer: abc.Callable,
    ) -> None:
        backend_server.record_delivery(
            self.backend_servers.values(), server, datagram
        )
        server.receive(datagram, answer)

    def _send_from_client(self, flow: bytes, datagram: bytes) -> None:
        if not self.rotation:
            return
        index = zlib.crc32(flow) % len(self.rotation)
        target = self.addresses.get(self.rotation[index])
        if target is None:
            return
        self.on_taken(flow, wire.parse(datagram).client_sent_at, target)
        self._send_from_router(datagram, (target, ENTRY_PORT))

    async def _async_probe(self) -> None:
        """Probe the readiness of the balancers, as the platform does."""
        while not self._is_stopping:
            names = [one for one in self.addresses if one.startswith('front')]
            answers = await asyncio.gather(
                *[self._async_is_ready(one) for one in names]
            )
            for name, is_ready in zip(names, answers, strict=True):
                misses = (
                    0 if is_ready else self._probe_failures.get(name, 1) + 1
                )
                self._probe_failures[name] = misses
            self.rotation = [
                one for one in names if self._probe_failures[one] < 2
            ]
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _async_is_ready(self, name: str) -> bool:
        url = f'http://{self.addresses[name]}:{READY_PORT}/ready'
        return await self._async_call('GET', url, None)

    async def _async_call(self, method: str, url: str, body: object) -> bool:
        assert self._session is not None
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._session.request(
                method, url, json=body, timeout=limit
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _async_send_heartbeats(
        self, name: str, server: backend_server.BackendServer
    ) -> None:
        while (
            self.backend_servers.get(name) is server and not self._is_stopping
        ):
            if server.is_up:
                await self.async_heartbeat(name)
            await asyncio.sleep(backend_server.HEARTBEAT_S)

    async def async_heartbeat(self, name: str) -> bool:
        """Send a backend server's heartbeat; return whether it was accepted."""
        server = self.backend_servers[name]
        if not server.is_up:
            return False
        server.heartbeat_count += 1
        body = self.heartbeat_body(name)
        incarnation = server.incarnation
        is_accepted = await self.async_send_heartbeat(
            server.address, server.identifier, body
        )
        if (
            is_accepted
            and body['State'] == 'draining'
            and server.incarnation == incarnation
        ):
            self.on_leave_acknowledged(server)
        return is_accepted

    def heartbeat_body(self, name: str) -> dict:
        """Return what a backend server says of itself."""
        server = self.backend_servers[name]
        # Computed once, because the start time of an incarnation is constant.
        age_ms = int((self.sim.time - server.started_at) * 1000)
        born_ms = self._started_ms.setdefault(
            (name, server.incarnation), _unix_ms() - age_ms
        )
        return {
            'Service': server.service,
            'Address': f'{server.address}:{APP_PORT}',
            'Zone': server.domain,
            'Version': 'v1',
            'Concurrency': backend_server.SLOTS,
            'State': 'draining' if server.is_draining else 'ready',
            'WarmupLeftMs': int(server.cold_left_s() * 1000),
            'Sequence': server.heartbeat_count,
            'born': born_ms,
        }

    async def async_send_heartbeat(
        self, address: str, identifier: str, body: object
    ) -> bool:
        """Send a heartbeat to the agent at an address."""
        url = _instance_url(address, identifier)
        return await self._async_call('PUT', url, body)

    async def async_report_exit(self, name: str) -> bool:
        """Report that a backend server exits; return whether it was accepted."""
        server = self.backend_servers[name]
        incarnation = server.incarnation
        is_accepted = await self.async_send_exit(
            server.address, server.identifier
        )
        if is_accepted and server.incarnation == incarnation:
            self.on_leave_acknowledged(server)
        return is_accepted

    async def async_send_exit(self, address: str, identifier: str) -> bool:
        """Send an exit notice to the agent at an address."""
        return await self._async_call(
            'DELETE', _instance_url(address, identifier), None
        )


def _instance_url(address: str, identifier: str) -> str:
    return f'http://{address}:{CONTROL_PORT}/instances/{identifier}'


def _ignore(*_: object) -> None:
    """Do nothing."""


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000
