"""Consoles as real processes, connected to the platform stand-in."""

import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request

import argon2

from tests import network, processes, stored
from tests.builders import documents, settings

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
FIRST_PORT = 8443
FIRST_STATUS_PORT = 7101
FIRST_LINK_PORT = 31000
DOCUMENT_KEY = 'config/document'
OPERATORS = {'ama': 'a first password', 'kofi': 'a second password'}
DOMAINS = ('accra-a', 'accra-b', 'accra-c')


class Consoles:
    """Starts and stops a platform, a fault proxy and consoles."""

    def __init__(self) -> None:
        """Claim addresses and start the platform."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='kumquatport-'))
        self.network = network.Network()
        self.processes: dict[str, processes.Process] = {}
        self._status_urls: dict[str, str] = {}
        settings.write_keys(self.folder)
        address, port = self.network.platform
        self.platform_url = f'http://{address}:{port}'
        self.start(
            'platform',
            'tests.standins.platform',
            ['--listen', f'{address}:{port}'],
            f'{self.platform_url}/control/counts',
        )

    def start(
        self, name: str, module: str, options: list[str], url: str
    ) -> None:
        """Start a process and wait until it responds."""
        process = processes.Process(
            name, module, options, self.folder / f'{name}.log'
        )
        self.processes[name] = process
        self._status_urls[name] = url
        process.start()
        processes.wait_ready(process, url, READY_TIMEOUT_S)

    def restart_console(self, name: str) -> None:
        """Start a stopped console; do nothing if it is running."""
        process = self.processes[name]
        process.start()
        processes.wait_ready(process, self._status_urls[name], READY_TIMEOUT_S)

    def add_console(self, platform_url: str, instances: list[str] = []) -> str:
        """Start another console; return its URL."""
        number = len(self._consoles())
        name = f'console-{number + 1}'
        common = settings.Common('accra', platform_url, self.network.statsd, ())
        address = self.network.console
        entries = settings.console(
            common, name, DOMAINS[0], address, operators()
        )
        entries.pop('tls')
        entries['listen']['port'] = FIRST_PORT + number
        entries['status_port'] = FIRST_STATUS_PORT + number
        entries['instances'] = instances
        entries.pop('control_port')
        path = settings.write(self.folder, entries)
        self.start(
            name,
            'kumquatport.process.console',
            ['--settings', str(path)],
            f'http://{address}:{entries["status_port"]}/status',
        )
        return f'http://{address}:{FIRST_PORT + number}'

    def add_fault_proxy(self, links: int, jitter_s: float) -> list[str]:
        """Start a proxy with links to the platform; return their URLs."""
        host = self.network.faults
        control = f'{host}:{network.HTTP_PORT}'
        self.start(
            'faults',
            'tests.standins.fault_proxy',
            ['--control', control],
            f'http://{control}/control/counts',
        )
        ports = range(FIRST_LINK_PORT, FIRST_LINK_PORT + links)
        target = self.platform_url.removeprefix('http://')
        command = {
            'links': {
                f'link-{port}': {
                    'protocol': 'tcp',
                    'listen': f'{host}:{port}',
                    'target': target,
                }
                for port in ports
            },
            'rules': {'*': {'both': {'jitter_s': jitter_s}}},
        }
        processes.post_json(f'http://{control}/control', command)
        return [f'http://{host}:{port}' for port in ports]

    def document(self) -> documents.Entry:
        """Build a document of two services in three failure domains."""
        services = [
            documents.service('storefront', '127.30.0.1:4433', 20001),
            documents.service('manuals', '127.30.0.2:4433', 20002),
        ]
        return documents.document('accra', DOMAINS, services)

    def put(self, value: bytes) -> int:
        """Store a document without the checks of the console."""
        return stored.put(self.platform_url, DOCUMENT_KEY, value)

    def in_force(self) -> tuple[int, bytes]:
        """Return version and bytes of the document in force."""
        try:
            return stored.get(self.platform_url, DOCUMENT_KEY)
        except urllib.error.HTTPError:
            return 0, b''

    def control(self, command: dict) -> dict:
        """Send a control command to the platform stand-in."""
        return processes.post_json(f'{self.platform_url}/control', command)

    def run_ctl(
        self, *arguments: str, stdin: bytes = b''
    ) -> 'subprocess.CompletedProcess[bytes]':
        """Run kumquatportctl until it exits."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'kumquatport.process.ctl',
                '--platform',
                self.platform_url,
                *arguments,
            ],
            input=stdin,
            capture_output=True,
            cwd=processes.ROOT,
            env={'PYTHONPATH': str(processes.ROOT), 'PATH': ''},
            timeout=60.0,
            check=False,
        )

    def write(self, name: str, value: bytes) -> str:
        """Write a file for kumquatportctl; return its path."""
        path = self.folder / name
        path.write_bytes(value)
        return str(path)

    def stop(self, *, second_signal: bool = False) -> None:
        """Stop all processes, consoles first.

        Args:
            second_signal: Ignored; these processes end on the first signal.
        """
        consoles = [self.processes[name] for name in self._consoles()]
        processes.end_all(consoles, STOP_TIMEOUT_S)
        processes.end_all(self.processes.values(), STOP_TIMEOUT_S)
        self.network.close()

    def check_logs(self) -> None:
        """Fail if a process logged a traceback."""
        for process in self.processes.values():
            assert 'Traceback' not in process.log_text(), process.log_text()

    def remove(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    def _consoles(self) -> list[str]:
        return [name for name in self.processes if name.startswith('console')]


def decode_document(value: bytes) -> documents.Entry:
    """Decode a stored document."""
    return json.loads(value)


def operators() -> list[settings.Settings]:
    """Build the settings of the operators who may sign in."""
    hasher = argon2.PasswordHasher(time_cost=1, memory_cost=1024, parallelism=1)
    return [
        {'name': name, 'password_hash': hasher.hash(password)}
        for name, password in OPERATORS.items()
    ]
