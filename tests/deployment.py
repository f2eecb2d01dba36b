"""A whole deployment of real processes with its stand-ins."""

import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import typing
import urllib.request
from collections import abc

from tests import processes
from tests.builders import documents, settings

DEFAULT_BLOCK = '127.10'
BLOCK_VARIABLE = 'KUMQUATPORT_TEST_BLOCK'
CLAIM_PORT = 39000
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
SERVICE_PORT = 4433
BACKEND_PORT = 8000
KEY_DOCUMENT = 'config/document'


class ServicePlan(typing.NamedTuple):
    """One service and how many backend servers it has."""

    name: str
    backend_servers: int


class Plan(typing.NamedTuple):
    """Sizes of a deployment."""

    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: int = 3


class LogFault(AssertionError):
    """A process wrote a traceback."""


def accra(storefront: int = 7, manuals: int = 3, balancers: int = 3) -> Plan:
    """Plan Accra, at the brief's sizes unless reduced."""
    return Plan(
        'accra',
        ('accra-a', 'accra-b', 'accra-c'),
        (
            ServicePlan('storefront', storefront),
            ServicePlan('manuals', manuals),
        ),
        balancers,
    )


def lakes(desk: int = 7, archive: int = 3, balancers: int = 3) -> Plan:
    """Plan Lakes, at the brief's sizes unless reduced."""
    return Plan(
        'lakes',
        ('duluth', 'kenosha', 'saginaw'),
        (ServicePlan('desk', desk), ServicePlan('archive', archive)),
        balancers,
    )


class Deployment:
    """Starts, disturbs and ends the processes of one deployment.

    Names: ``platform``, ``statsd``, ``fabric``, ``balancer-N``,
    ``SERVICE-N`` (agent) and ``SERVICE-N-server`` (backend server), N from 1.
    All methods block; call them with ``asyncio.to_thread`` in a loop.
    """

    def __init__(
        self,
        plan: Plan,
        *,
        seed: int = 0,
        backend_options: abc.Sequence[str] = (),
        seeds: bool = True,
        log_level: str = 'info',
    ) -> None:
        """Reserve addresses and write all settings.

        Args:
            plan: Sizes.
            seed: Seed of the stand-ins' random choices.
            backend_options: More options for each backend server.
            seeds: Whether settings name the balancers as seeds.
            log_level: Of the system's own processes.
        """
        self.plan = plan
        self.seed = seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='kumquatport-'))
        self.processes: dict[str, processes.Process] = {}
        self._claim, self._net = _claim_net()
        self._status: dict[str, str] = {}
        self._balancer_addresses: dict[str, str] = {}
        self._backend_options = list(backend_options)
        self._common = settings.Common(
            plan.region,
            f'http://{self._net}.2:9000',
            (f'{self._net}.3', 8125),
            self._seeds() if seeds else (),
            log_level,
        )
        self._prepare()

    @property
    def ca(self) -> pathlib.Path:
        return self.folder / 'cert.pem'

    @property
    def common(self) -> settings.Common:
        return self._common

    @property
    def caller_address(self) -> str:
        """An address that callers may bind."""
        return f'{self._net}.200'

    @property
    def platform_url(self) -> str:
        return self._common.platform_url

    @property
    def balancers(self) -> tuple[str, ...]:
        return tuple(self._balancer_addresses)

    @property
    def agents(self) -> tuple[str, ...]:
        return tuple(
            f'{service.name}-{number + 1}'
            for service in self.plan.services
            for number in range(service.backend_servers)
        )

    def service_endpoint(self, name: str) -> tuple[str, int]:
        """Tell the address and port that callers of a service use."""
        index = [service.name for service in self.plan.services].index(name)
        return f'{self._net}.{10 + index}', SERVICE_PORT

    def address(self, name: str) -> str:
        """Tell the IP number of a balancer, agent or backend server."""
        if name in self._balancer_addresses:
            return self._balancer_addresses[name]
        agent = name.removesuffix('-server')
        return f'{self._net}.{50 + self.agents.index(agent)}'

    def failure_domain(self, name: str) -> str:
        """Tell where a balancer, agent or backend server runs."""
        number = int(name.removesuffix('-server').rsplit('-', 1)[1])
        domains = self.plan.failure_domains
        return domains[(number - 1) % len(domains)]

    def entry_port(self, service: str) -> int:
        """Tell the balancers' port for a service."""
        names = [planned.name for planned in self.plan.services]
        return documents.FIRST_ENTRY_PORT + names.index(service)

    def document(self, **changes: typing.Any) -> documents.Entry:
        """Build this deployment's document; see ``documents.document``."""
        services = []
        for service in self.plan.services:
            address, port = self.service_endpoint(service.name)
            services.append(
                documents.service(
                    service.name,
                    f'{address}:{port}',
                    self.entry_port(service.name),
                )
            )
        return documents.document(
            self.plan.region, self.plan.failure_domains, services, **changes
        )

    def start(self, *, document: documents.Entry | None = None) -> None:
        """Start all; return when all say that they are ready."""
        stand_ins = ('platform', 'statsd', 'fabric')
        self.start_some(stand_ins)
        self.put_document(document or self.document())
        servers = [f'{agent}-server' for agent in self.agents]
        self.start_some(servers)
        self.start_some(self.balancers)
        self.start_some(self.agents)

    def start_some(self, names: abc.Iterable[str]) -> None:
        """Start processes together and wait for each."""
        chosen = list(names)
        for name in chosen:
            self.processes[name].start()
        for name in chosen:
            self.wait_ready(name)

    def wait_ready(
        self, name: str, timeout_s: float = READY_TIMEOUT_S
    ) -> dict[str, typing.Any]:
        """Wait until a process answers, and calls itself ready if it can."""
        return processes.wait_ready(
            self.processes[name], self._status[name], timeout_s, _is_ready
        )

    def status(self, name: str) -> dict[str, typing.Any]:
        """Read ``/status`` of our processes, ``/control/counts`` of others."""
        return processes.get_json(self._status[name])

    def control(self, name: str, order: object) -> dict[str, typing.Any]:
        """Send an order to a stand-in's ``/control``."""
        url = self._status[name].removesuffix('/counts')
        return processes.post_json(url, order)

    def put_document(self, document: documents.Entry) -> int:
        """Put a document into the platform; return its version."""
        request = urllib.request.Request(
            f'{self.platform_url}/v1/objects/{KEY_DOCUMENT}',
            documents.encode(document),
            method='PUT',
        )
        with urllib.request.urlopen(request, timeout=5.0) as answer:
            return int(answer.headers['X-Object-Version'])

    def set_fabric(self, balancers: abc.Iterable[str]) -> None:
        """Have the fabric use these balancers, by name, from now on."""
        addresses = [self._balancer_addresses[name] for name in balancers]
        self.control('fabric', {'balancers': addresses})

    def kill(self, name: str) -> None:
        self.processes[name].kill()

    def term(self, name: str) -> None:
        self.processes[name].term()

    def freeze(self, name: str) -> None:
        self.processes[name].freeze()

    def thaw(self, name: str) -> None:
        self.processes[name].thaw()

    def restart(self, name: str) -> None:
        """Stop gracefully, kill what does not end, start and wait."""
        processes.end_all([self.processes[name]], STOP_TIMEOUT_S)
        self.start_some([name])

    def stop(self) -> list[str]:
        """End everything; return who did not end by itself."""
        ours = (*self.agents, *self.balancers, *self._consoles())
        killed = processes.end_all(
            [self.processes[name] for name in ours if name in self.processes],
            STOP_TIMEOUT_S,
        )
        processes.end_all(self.processes.values(), 2.0)
        self._claim.close()
        return killed

    def check_logs(self) -> None:
        """Raise ``LogFault`` when a process wrote a traceback."""
        for process in self.processes.values():
            text = process.log_text()
            at = text.find('Traceback')
            if at >= 0:
                raise LogFault(f'{process.name}: {text[at : at + 2000]}')

    def remove(self) -> None:
        """Delete the settings and logs."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_console(
        self, operators: list[settings.Settings], name: str = 'console-1'
    ) -> str:
        """Prepare a console process; return its URL."""
        address = f'{self._net}.30'
        entries = settings.console(
            self._common,
            name,
            self.plan.failure_domains[0],
            address,
            operators,
        )
        self._add_own(name, 'console', entries)
        return f'https://{address}:{settings.CONSOLE_PORT}'

    def add_balancer(self) -> str:
        """Prepare one more balancer; return its name."""
        number = len(self._balancer_addresses) + 1
        name = f'balancer-{number}'
        address = f'{self._net}.{19 + number}'
        self._balancer_addresses[name] = address
        entries = settings.process(
            self._common, name, self.failure_domain(name), address
        )
        self._add_own(name, 'balancer', entries)
        return name

    def __enter__(self) -> 'Deployment':
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind: type | None, *details: object) -> None:
        self.stop()
        if kind is None:
            self.check_logs()
            self.remove()

    def _seeds(self) -> tuple[str, ...]:
        return tuple(
            f'{self._net}.{20 + number}:{settings.CONTROL_PORT}'
            for number in range(self.plan.balancers)
        )

    def _consoles(self) -> list[str]:
        return [name for name in self.processes if name.startswith('console')]

    def _prepare(self) -> None:
        settings.write_keys(self.folder)
        script = processes.ROOT / 'script' / 'dev-certificate'
        subprocess.run([sys.executable, script, self.folder], check=True)
        self._add_stand_ins()
        for _ in range(self.plan.balancers):
            self.add_balancer()
        for service in self.plan.services:
            for number in range(service.backend_servers):
                self._add_agent(service.name, f'{service.name}-{number + 1}')
        self._add_fabric()

    def _add_stand_ins(self) -> None:
        net = self._net
        self._add_stand_in(
            'platform', 'platform', ['--listen', f'{net}.2:9000'], '2:9000'
        )
        self._add_stand_in(
            'statsd',
            'statsd_receiver',
            ['--listen', f'{net}.3:8125', '--control', f'{net}.3:9000'],
            '3:9000',
        )

    def _add_fabric(self) -> None:
        config = self.folder / 'fabric.json'
        services = self.document()['services']
        addresses = list(self._balancer_addresses.values())
        config.write_text(
            json.dumps({'services': services, 'balancers': addresses})
        )
        net = self._net
        options = ['--config', str(config), '--control', f'{net}.4:9000']
        options += ['--upstream-address', f'{net}.5']
        options += ['--seed', str(self.seed)]
        self._add_stand_in('fabric', 'fabric', options, '4:9000')

    def _add_agent(self, service: str, name: str) -> None:
        address = self.address(name)
        server = f'{name}-server'
        index = self.agents.index(name)
        options = ['--name', server, '--service', service]
        options += ['--listen', f'{address}:{BACKEND_PORT}']
        options += ['--seed', str(self.seed * 1000 + index)]
        options += self._backend_options
        self._add_stand_in(
            server,
            'backend_server',
            options,
            f'{50 + index}:{BACKEND_PORT}',
        )
        entries = settings.agent(
            self._common,
            name,
            self.failure_domain(name),
            address,
            service,
            (address, BACKEND_PORT),
        )
        self._add_own(name, 'agent', entries)

    def _add_stand_in(
        self, name: str, module: str, options: list[str], host_port: str
    ) -> None:
        self._add(name, f'tests.standins.{module}', options)
        url = f'http://{self._net}.{host_port}/control/counts'
        self._status[name] = url

    def _add_own(
        self, name: str, program: str, entries: settings.Settings
    ) -> None:
        path = settings.write(self.folder, entries)
        module = f'kumquatport.process.{program}'
        self._add(name, module, ['--settings', str(path)])
        address, port = entries['address'], entries['status_port']
        self._status[name] = f'http://{address}:{port}/status'

    def _add(self, name: str, module: str, options: list[str]) -> None:
        log = self.folder / f'{name}.log'
        process = processes.Process(name, module, options, log)
        self.processes[name] = process


def _is_ready(status: dict[str, typing.Any]) -> bool:
    return status.get('state', 'ready') not in {'starting', 'leaving'}


def _claim_net() -> tuple[socket.socket, str]:
    """Claim a /24 of the loopback block for this run, until closed."""
    block = os.environ.get(BLOCK_VARIABLE, DEFAULT_BLOCK)
    for offset in range(250):
        net = f'{block}.{(os.getpid() + offset) % 250 + 1}'
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f'{net}.1', CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return claim, net
    raise processes.NotReadyError(f'no free network in {block}.0.0/16')
