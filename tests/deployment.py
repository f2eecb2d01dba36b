"""A deployment of real processes with stand-ins for its surroundings."""

import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing
from collections import abc

from tests import layout, network, processes, stored
from tests.builders import documents, plans, settings

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
SECOND_SIGNAL_AFTER_S = 1.0
STAND_IN_STOP_S = 2.0
DOCUMENT_KEY = 'config/document'

accra = plans.accra
lakes = plans.lakes
Options = layout.Options


class LoggedTracebackError(AssertionError):
    """A process logged a traceback."""


class ProcessStopError(AssertionError):
    """Processes did not exit after a request to stop."""


class Deployment(layout.Layout):
    """Starts, disrupts and stops the processes of one deployment.

    All methods block; use ``asyncio.to_thread`` in an event loop.
    """

    def __init__(
        self, plan: plans.Plan, options: layout.Options = layout.Options()
    ) -> None:
        """Claim addresses and write all settings.

        Args:
            plan: Sizes of the deployment.
            options: Differences from the default deployment.
        """
        super().__init__(plan, options)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='kumquatport-'))
        self.processes: dict[str, processes.Process] = {}
        self._status_urls: dict[str, str] = {}
        self._prepare()

    @property
    def ca(self) -> pathlib.Path:
        """Certificate that callers trust."""
        return self.folder / 'cert.pem'

    def start(self, *, document: documents.Entry | None = None) -> None:
        """Start all processes; return when all report that they are ready."""
        proxy = ('faults',) if self.paths.is_enabled else ()
        self.start_processes(('platform', 'statsd', 'fabric', *proxy))
        self.put_document(document or self.document())
        self.start_processes(self.servers)
        self.start_processes((*self.balancers, *self.agents))
        self.wait_agents_known()

    def start_processes(self, names: abc.Iterable[str]) -> None:
        """Start processes concurrently and wait until all are ready."""
        selected = list(names)
        self._update_proxy_links()
        for name in selected:
            self.processes[name].start()
        for name in selected:
            self.wait_ready(name)

    def wait_ready(
        self, name: str, timeout_s: float = READY_TIMEOUT_S
    ) -> dict[str, typing.Any]:
        """Wait until a process responds and reports no unready state."""
        return processes.wait_ready(
            self.processes[name], self._status_urls[name], timeout_s, _is_ready
        )

    def wait_agents_known(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each running balancer knows all running agents."""
        expected = len(
            [agent for agent in self.agents if self._is_running(agent)]
        )

        def _knows_all(status: dict[str, typing.Any]) -> bool:
            return status['member_counts'].get('agent.ready', 0) >= expected

        for name in self.balancers:
            if self._is_running(name):
                processes.wait_ready(
                    self.processes[name],
                    self._status_urls[name],
                    timeout_s,
                    _knows_all,
                )

    def status(self, name: str) -> dict[str, typing.Any]:
        """Read ``/status`` of a program, ``/control/counts`` of a stand-in."""
        return processes.get_json(self._status_urls[name])

    def control(self, name: str, command: object) -> dict[str, typing.Any]:
        """Send a command to ``/control`` of a stand-in."""
        url = self._status_urls[name].removesuffix('/counts')
        return processes.post_json(url, command)

    def set_faults(self, rules: dict[str, dict]) -> None:
        """Replace the rules of the fault proxy.

        Args:
            rules: Rules for each pattern, as ``fault_proxy`` takes them.
        """
        self.control('faults', {'rules': rules})

    def put_document(self, document: documents.Entry) -> int:
        """Store a document in the platform; return its version."""
        return stored.put(
            self.platform_url, DOCUMENT_KEY, documents.encode(document)
        )

    def set_fabric(self, balancers: abc.Iterable[str]) -> None:
        """Set the balancers, by name, that the fabric uses."""
        entries = [self.entry_address(name) for name in balancers]
        self._update_proxy_links()
        self.control('fabric', {'balancers': entries})

    def kill(self, name: str) -> None:
        self.processes[name].kill()

    def term(self, name: str) -> None:
        self.processes[name].term()

    def suspend(self, name: str) -> None:
        self.processes[name].suspend()

    def resume(self, name: str) -> None:
        self.processes[name].resume()

    def restart(self, name: str) -> None:
        """Stop gracefully or kill after a timeout, start and wait."""
        processes.end_all([self.processes[name]], STOP_TIMEOUT_S)
        self.start_processes([name])

    def stop(self, *, second_signal: bool = False) -> list[str]:
        """Stop all processes; return the programs that had to be killed.

        Args:
            second_signal: Whether to end graceful stops that take long with
                a second signal. The last agents of a service take long to stop.
        """
        programs = [
            process
            for process in self.processes.values()
            if process.module.startswith('kumquatport.')
        ]
        second_signal_after_s = SECOND_SIGNAL_AFTER_S if second_signal else None
        killed = processes.end_all(
            programs, STOP_TIMEOUT_S, second_signal_after_s
        )
        processes.end_all(self.processes.values(), STAND_IN_STOP_S)
        self.network.close()
        return killed

    def check_logs(self) -> None:
        """Raise ``LoggedTracebackError`` if a process logged a traceback."""
        for process in self.processes.values():
            text = process.log_text()
            at = text.find('Traceback')
            if at >= 0:
                raise LoggedTracebackError(
                    f'{process.name}: {text[at : at + 2000]}'
                )

    def remove(self) -> None:
        """Delete the settings and logs."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_console(
        self, operators: list[settings.Settings], name: str = 'console-1'
    ) -> str:
        """Prepare a console process; return its URL."""
        address = self.network.console
        entries = settings.console(
            self.common(name),
            name,
            self.plan.failure_domains[0],
            address,
            operators,
        )
        self._add_program('console', entries)
        return f'https://{address}:{settings.CONSOLE_PORT}'

    def add_balancer(self) -> str:
        """Prepare another balancer; return its name."""
        name = f'balancer-{len(self._balancers) + 1}'
        self._balancers.append(name)
        entries = settings.process(
            self.common(name),
            name,
            self.plan.failure_domain(name),
            self.advertised_address(name),
        )
        self._add_program('balancer', entries)
        return name

    def add_backend_server(self, service: str) -> str:
        """Prepare another backend server; return the name of its agent."""
        existing = [name for name in self.agents if name.startswith(service)]
        name = f'{service}-{len(existing) + 1}'
        self._added_agents.append(name)
        self._add_agent(service, name)
        return name

    def __enter__(self) -> 'Deployment':
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind: type | None, *details: object) -> None:
        killed = self.stop()
        if kind is None:
            self.check_logs()
            if killed:
                raise ProcessStopError(killed)
            self.remove()

    def _prepare(self) -> None:
        settings.write_keys(self.folder)
        script = processes.ROOT / 'script' / 'dev-certificate'
        subprocess.run([sys.executable, script, self.folder], check=True)
        self._add_platform_and_statsd()
        for _ in range(self.plan.balancers):
            self.add_balancer()
        for service in self.plan.services:
            for number in range(service.backend_servers):
                self._add_agent(service.name, f'{service.name}-{number + 1}')
        for name in self.plan.service_names:
            self.service_endpoint(name)
        self._add_fabric()
        self._add_fault_proxy()

    def _is_running(self, name: str) -> bool:
        return self.processes[name].running

    def _add_platform_and_statsd(self) -> None:
        listen = ['--listen', layout.format_endpoint(self.network.platform)]
        self._add_stand_in(
            'platform', 'platform', listen, self.network.platform
        )
        control = self.network.statsd_control
        options = ['--listen', layout.format_endpoint(self.network.statsd)]
        options += ['--control', layout.format_endpoint(control)]
        self._add_stand_in('statsd', 'statsd_receiver', options, control)

    def _add_fabric(self) -> None:
        config = self.folder / 'fabric.json'
        entries = [self.entry_address(name) for name in self.balancers]
        services = self.document()['services']
        config.write_text(
            json.dumps({'services': services, 'balancers': entries})
        )
        control = self.network.fabric_control
        options = [
            '--config',
            str(config),
            '--control',
            layout.format_endpoint(control),
        ]
        options += ['--upstream-address', self.network.fabric_upstream]
        options += ['--seed', str(self.options.seed)]
        self._add_stand_in('fabric', 'fabric', options, control)

    def _add_fault_proxy(self) -> None:
        config = self.folder / 'faults.json'
        config.write_text(json.dumps({'links': self.paths.links}))
        control = self.network.faults, network.HTTP_PORT
        options = [
            '--config',
            str(config),
            '--control',
            layout.format_endpoint(control),
        ]
        options += ['--seed', str(self.options.seed)]
        self._add_stand_in('faults', 'fault_proxy', options, control)

    def _update_proxy_links(self) -> None:
        # The proxy does not know the links of instances added after its start.
        if self.processes['faults'].running:
            known = self.status('faults')
            new_links = {
                name: link
                for name, link in self.paths.links.items()
                if name not in known
            }
            self.control('faults', {'links': new_links})

    def _add_agent(self, service: str, name: str) -> None:
        address = self.address(name)
        direct = address, network.BACKEND_PORT
        index = self.agents.index(name)
        server = f'{name}-server'
        options = ['--name', server, '--service', service]
        options += ['--listen', layout.format_endpoint(direct)]
        options += ['--seed', str(self.options.seed * 1000 + index)]
        options += self.options.backend
        self._add_stand_in(server, 'backend_server', options, direct)
        entries = settings.agent(
            self.common(name),
            name,
            self.plan.failure_domain(name),
            self.advertised_address(name),
            service,
            self.paths.resolve(f'{name}->server', 'tcp', direct),
        )
        self._add_program('agent', entries)

    def _add_stand_in(
        self,
        name: str,
        module: str,
        options: list[str],
        control: network.Endpoint,
    ) -> None:
        self._add(name, f'tests.standins.{module}', options)
        self._status_urls[name] = f'{layout.format_url(control)}/control/counts'

    def _add_program(self, program: str, entries: settings.Settings) -> None:
        name = entries['instance']
        address = entries['address']
        if self.paths.matches(f'peers->{name}'):
            address = self.address(name)
            entries['listen_address'] = address
            self._add_peer_paths(name, entries)
        path = settings.write(self.folder, entries)
        module = f'kumquatport.process.{program}'
        self._add(name, module, ['--settings', str(path)])
        status = address, entries['status_port']
        self._status_urls[name] = f'{layout.format_url(status)}/status'

    def _add_peer_paths(self, name: str, entries: settings.Settings) -> None:
        ports = [('control', 'tcp', settings.CONTROL_PORT)]
        if 'data_port' in entries:
            ports.append(('data', 'udp', settings.DATA_PORT))
        for kind, protocol, port in ports:
            self.paths.add_link(
                f'peers->{name}/{kind}',
                protocol,
                (entries['listen_address'], port),
                (entries['address'], port),
            )

    def _add(self, name: str, module: str, options: list[str]) -> None:
        log = self.folder / f'{name}.log'
        process = processes.Process(name, module, options, log)
        self.processes[name] = process


def _is_ready(status: dict[str, typing.Any]) -> bool:
    return status.get('state', 'ready') not in {'starting', 'leaving'}
