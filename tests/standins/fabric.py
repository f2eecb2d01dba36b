"""Stand-in for the fabric: sends each datagram to a random balancer.

Each caller address gets its own upstream socket, so that a balancer sees one
source address per flow. Every datagram that arrives at that socket, from any
address, is returned to the caller from the service address.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import socket
import typing
from collections import abc

from tests.standins import runner

MAX_DATAGRAM_BYTES = 65535
BATCH_DATAGRAMS = 64
BUFFER_BYTES = 4 << 20


class Service(typing.NamedTuple):
    """A service address and the port on which balancers receive its traffic."""

    name: str
    address: str
    port: int
    entry_port: int


def parse_service(entry: dict) -> Service:
    """Parse a service entry of a document."""
    address, port = runner.parse_endpoint(entry['address'])
    return Service(entry['name'], address, port, entry['entry_port'])


class Fabric:
    """Relays datagrams between the service addresses and the balancers."""

    def __init__(self, seed: int, upstream_address: str) -> None:
        self._random = random.Random(seed)
        self._upstream_address = upstream_address
        self._loop = asyncio.get_running_loop()
        self._balancers: tuple[str, ...] = ()
        self._listeners: dict[Service, socket.socket] = {}
        self._flows: dict[tuple[Service, runner.Endpoint], socket.socket] = {}
        self.to_balancers: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()

    def control(self, command: dict) -> None:
        """Replace the list of balancers and add services.

        Args:
            command: ``balancers`` is a list of IP addresses, ``services`` a
                list of service entries as in the document; both optional.
        """
        if 'balancers' in command:
            self._balancers = tuple(command['balancers'])
        for entry in command.get('services', ()):
            self._listen(parse_service(entry))

    def report(self) -> dict:
        return {
            'balancers': dict(self.to_balancers),
            'current': list(self._balancers),
            'flows': len(self._flows),
            **self.counts,
        }

    def stop(self) -> None:
        for sock in (*self._listeners.values(), *self._flows.values()):
            self._loop.remove_reader(sock)
            sock.close()

    def _listen(self, service: Service) -> None:
        if service in self._listeners:
            return
        sock = bind(service.address, service.port)
        self._listeners[service] = sock
        self._loop.add_reader(sock, self._on_listener_readable, service, sock)

    def _on_listener_readable(
        self, service: Service, sock: socket.socket
    ) -> None:
        for datagram, caller in receive(sock):
            self._spray(service, caller, datagram)

    def _spray(
        self, service: Service, caller: runner.Endpoint, datagram: bytes
    ) -> None:
        if not self._balancers:
            self.counts['no_balancer'] += 1
            return
        upstream = self._flows.get((service, caller))
        if upstream is None:
            upstream = self._open_flow(service, caller)
        balancer = self._random.choice(self._balancers)
        self.to_balancers[balancer] += 1
        self._send(upstream, datagram, (balancer, service.entry_port))

    def _open_flow(
        self, service: Service, caller: runner.Endpoint
    ) -> socket.socket:
        upstream = bind(self._upstream_address, 0)
        self._flows[service, caller] = upstream
        listener = self._listeners[service]

        def _relay_answers() -> None:
            for datagram, _ in receive(upstream):
                self.counts['answers'] += 1
                self._send(listener, datagram, caller)

        self._loop.add_reader(upstream, _relay_answers)
        return upstream

    def _send(
        self, sock: socket.socket, datagram: bytes, target: runner.Endpoint
    ) -> None:
        try:
            sock.sendto(datagram, target)
        except OSError:
            self.counts['send_failed'] += 1


def bind(address: str, port: int) -> socket.socket:
    """Open a non-blocking UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((address, port))
    return sock


def receive(
    sock: socket.socket,
) -> abc.Iterator[tuple[bytes, runner.Endpoint]]:
    """Yield pending datagrams, at most one batch."""
    for _ in range(BATCH_DATAGRAMS):
        try:
            yield sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            continue


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--config',
        type=pathlib.Path,
        required=True,
        help='JSON with "balancers" (IP numbers) and "services"',
    )
    parser.add_argument(
        '--control',
        type=runner.parse_endpoint,
        default=('127.0.0.1', 9100),
        help='ADDRESS:PORT of /control over HTTP',
    )
    parser.add_argument('--upstream-address', default='127.0.0.1')
    parser.add_argument('--seed', type=int, default=0)
    options = parser.parse_args()

    @contextlib.asynccontextmanager
    async def _async_main() -> abc.AsyncIterator[None]:
        fabric = Fabric(options.seed, options.upstream_address)
        fabric.control(json.loads(options.config.read_text()))
        app = runner.control_app(fabric.control, fabric.report)
        async with runner.async_serve(app, options.control):
            yield
        fabric.stop()

    runner.run(_async_main)


if __name__ == '__main__':
    main()
