"""Deployment of real processes with a stand-in for the platform's store."""

import asyncio
import json
import pathlib
import tempfile
import time
import urllib.error
import urllib.request
import zlib
from collections import abc

import aiohttp

from kumquatport.platform import calls
from tests import network, processes
from tests.emulator import backend_server, client
from tests.live import real_network

PEER_PORT = 7720
ENTRY_PORT = client.CLIENT_PORT
READY_PORT = 9101
CONTROL_PORT = 9102
OUTBOUND_PORT = 9103
APP_PORT = 8000
METRICS_PORT = 9464
DOMAINS = ('a', 'b', 'c')
PROBE_INTERVAL_S = 0.5
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
FAULT_PROXY_PORT = 9300
FIRST_CLIENT_HOST = 200
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
[platform]
Address = "{store}"
HistoryS = 20
"""


class LiveDeployment:
    """Processes, backend servers, clients, a router and an operator.

    Attributes:
        addresses: Addresses of the instances by name.
        rotation: Balancers to which the router sends packets.
        dropped_routes: Removed routes, with the time of their removal.
        last_fault_at: End of the last fault by address.
        draining_since: Time at which an agent learned that its backend server
            drains, by name.
    """

    def __init__(
        self, seed: int, balancers: int = 2, stores: int = 3, manuals: int = 2
    ) -> None:
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
        self._probe_failures: dict[str, int] = {}
        self._started_ms: dict[str, int] = {}
        self._services = ['store'] * stores + ['manuals'] * manuals
        self._balancers = balancers
        self._tasks: list[asyncio.Task] = []
        self._session: aiohttp.ClientSession | None = None
        router = f'{self.net.prefix}.{ROUTER_HOST}'
        self._send_from_router = self.sim.listen(router, 0, lambda *_: None)

    @property
    def store_url(self) -> str:
        return 'http://{}:{}'.format(*self.net.platform)

    async def async_start(self) -> None:
        """Start the store and all processes; wait until the balancers are ready."""
        self._start_store()
        self._start_fault_proxy()
        self.put_configuration()
        for number in range(self._balancers):
            self._add_process(
                f'front-{number}', self.net.balancer(number), number, ''
            )
        for number, service in enumerate(self._services):
            address = self.net.agent(number)
            name = f'side-{number}'
            self._add_process(name, address, number, service)
            self._add_backend_server(name, address, service, number)
        for process in self.processes.values():
            process.start()
        self._session = aiohttp.ClientSession()
        self._tasks.append(asyncio.create_task(self._async_probe()))
        self._tasks.append(asyncio.create_task(self._async_send_heartbeats()))
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.rotation) < self._balancers:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def async_stop(self) -> dict[str, int | None]:
        """Stop all processes and return their exit codes by name."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        instances = [
            one
            for name, one in self.processes.items()
            if name in self.addresses
        ]
        standins = [self.processes['store'], self.processes['faults']]
        await asyncio.to_thread(processes.end_all, instances, STOP_TIMEOUT_S)
        await asyncio.to_thread(processes.end_all, standins, STOP_TIMEOUT_S)
        codes = {name: one.exit_code for name, one in self.processes.items()}
        self.sim.close()
        self.net.close()
        return codes

    def add_clients(self, long: int, short: int) -> None:
        for number in range(long + short):
            address = f'{self.net.prefix}.{FIRST_CLIENT_HOST + number}'
            is_long = number < long
            route = ('198.18.0.1', 443)
            if not is_long:
                routes = (('198.18.0.1', 80), ('198.18.0.2', 443))
                route = routes[number % 2]
            one = client.Client(
                self.sim,
                address,
                route,
                lambda flow, datagram: self._send_from_client(flow, datagram),
                is_long=is_long,
                work_s=0.03,
                pause_s=0.2,
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
            for index, ((address, port), service) in enumerate(ROUTES.items())
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
        count = self._balancers + len(self._services)
        links = {
            str(number): {
                'protocol': 'tcp',
                'listen': f'{self.net.faults}:{FAULT_PROXY_PORT + 1 + number}',
                'target': '{}:{}'.format(*self.net.platform),
            }
            for number in range(count)
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

    def _add_process(
        self, name: str, address: str, number: int, service: str
    ) -> None:
        path = pathlib.Path(self.folder.name) / f'{name}.toml'
        link = len(self.addresses)
        extra, listen = '', ''
        if service:
            extra = f'app = "{address}:{APP_PORT}"\nService = "{service}"'
            listen = (
                f'outbound = "{address}:{OUTBOUND_PORT}"\n'
                f'Control = "{address}:{CONTROL_PORT}"'
            )
        path.write_text(
            SETTINGS.format(
                name=name,
                address=address,
                domain=DOMAINS[number % len(DOMAINS)],
                peer=PEER_PORT,
                last=PEER_PORT + 15,
                first='true',
                extra=extra,
                listen=listen,
                entry=ENTRY_PORT,
                ready=READY_PORT,
                store=f'{self.net.faults}:{FAULT_PROXY_PORT + 1 + link}',
            )
        )
        role = 'agent' if service else 'balancer'
        options = [role, '--settings', str(path)]
        options += ['--metrics', str(METRICS_PORT)]
        self.addresses[name] = address
        self.processes[name] = processes.Process(
            name, 'kumquatport.platform', options, self._log_path(name)
        )

    def _add_backend_server(
        self, name: str, address: str, service: str, number: int
    ) -> None:
        domain = DOMAINS[number % len(DOMAINS)]
        server = backend_server.BackendServer(
            self.sim, address, service, domain
        )
        server.on_up_changed = self.sim.create_port_switch(address, APP_PORT)
        server.start()
        server.started_at -= backend_server.COLD_S
        self.backend_servers[name] = server
        outbound = (address, OUTBOUND_PORT)
        send = self.sim.listen(
            address,
            APP_PORT,
            lambda datagram, _: self._deliver(server, datagram, answer),
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
        target = self.addresses[self.rotation[index]]
        self._send_from_router(datagram, (target, ENTRY_PORT))

    async def _async_probe(self) -> None:
        """Probe the readiness of the balancers, as the platform does."""
        while True:
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

    async def _async_send_heartbeats(self) -> None:
        while True:
            await asyncio.gather(
                *[self.async_heartbeat(one) for one in self.backend_servers]
            )
            await asyncio.sleep(backend_server.HEARTBEAT_S)

    async def async_heartbeat(self, name: str) -> bool:
        """Send a backend server's heartbeat; return whether it was accepted."""
        server = self.backend_servers[name]
        if not server.is_up:
            return False
        server.heartbeat_count += 1
        # Computed once, because the start time of an incarnation is constant.
        age_ms = int((self.sim.time - server.started_at) * 1000)
        born_ms = self._started_ms.setdefault(
            server.identifier, _unix_ms() - age_ms
        )
        body = {
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
        return await self._async_call('PUT', self._heartbeat_url(server), body)

    async def async_report_exit(self, name: str) -> bool:
        """Report that a backend server exits; return whether it was accepted."""
        return await self._async_call(
            'DELETE', self._heartbeat_url(self.backend_servers[name]), None
        )

    def _heartbeat_url(self, server: backend_server.BackendServer) -> str:
        base_url = f'http://{server.address}:{CONTROL_PORT}'
        return f'{base_url}/instances/{server.identifier}'


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000
