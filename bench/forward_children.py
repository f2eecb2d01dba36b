"""Child processes of the forwarding benchmark: relays and a sender."""

import asyncio
import os
import resource
import socket
import time
import typing
from multiprocessing import connection

from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import forward_sender, header, relay, route
from kumquatport.helpers import tags
from kumquatport.version import table

KEY = bytes(range(32))
SERVICE = 'storefront'
DOMAIN = 'accra-a'
DATAGRAM_BYTES = 1200
BUFFER_BYTES = 8 << 20
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Usage(typing.NamedTuple):
    """Resource usage of a relay since its start.

    Attributes:
        forwarded: Number of forwarded packets.
        cpu_s: User and system CPU time, in seconds.
        resident_bytes: Current resident memory.
    """

    forwarded: int
    cpu_s: float
    resident_bytes: int


def usage(forwarded: int) -> Usage:
    """Return the resource usage of this process."""
    spent = resource.getrusage(resource.RUSAGE_SELF)
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    cpu_s = spent.ru_utime + spent.ru_stime
    return Usage(forwarded, cpu_s, pages * PAGE_BYTES)


def run_balancer(
    pipe: connection.Connection,
    listen: header.Endpoint,
    agents: tuple[header.Endpoint, ...],
) -> None:
    """Run the balancer's relay until the pipe is closed."""
    asyncio.run(_async_run_balancer(pipe, listen, agents))


def run_asyncio(
    pipe: connection.Connection,
    listen: header.Endpoint,
    agents: tuple[header.Endpoint, ...],
) -> None:
    """Run a bare asyncio relay until the pipe is closed."""
    asyncio.run(_async_run_asyncio(pipe, listen, agents[0]))


def run_blocking(
    pipe: connection.Connection,
    listen: header.Endpoint,
    agents: tuple[header.Endpoint, ...],
) -> None:
    """Run a bare blocking relay that polls the pipe between packets."""
    entry = _bind_socket(listen)
    entry.settimeout(0.05)
    target = agents[0]
    forwarded = 0
    buffer = bytearray(2 * DATAGRAM_BYTES)
    view = memoryview(buffer)
    pipe.send(True)
    while True:
        for _ in range(1000):
            try:
                size = entry.recv_into(buffer)
            except TimeoutError:
                break
            entry.sendto(view[:size], target)
            forwarded += 1
        if pipe.poll():
            if pipe.recv() is None:
                return
            pipe.send(usage(forwarded))


def send_packets(target: header.Endpoint, seconds: float) -> None:
    """Send packets of established flows as fast as one process can."""
    agent = ('127.0.0.1', 1)
    issue = make_issuer(agent)
    packets = [
        b'\x40' + issue() + bytes(DATAGRAM_BYTES - 18) for _ in range(64)
    ]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for packet in packets:
            sock.sendto(packet, target)


def make_issuer(agent: header.Endpoint) -> typing.Callable[[], bytes]:
    """Return a function that issues connection IDs of an agent."""
    return codec.make_issuer(
        KEY,
        agent,
        tags.service_tag(SERVICE),
        tags.failure_domain_tag(DOMAIN),
    )


def _bind_socket(listen: header.Endpoint) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind(listen)
    return sock


async def _async_run_balancer(
    pipe: connection.Connection,
    listen: header.Endpoint,
    agents: tuple[header.Endpoint, ...],
) -> None:
    counters: dict[str, int] = {}

    def count_event(name: str) -> None:
        counters[name] = counters.get(name, 0) + 1

    sender = forward_sender.ForwardSender(lambda refused: None, count_event)
    sender.async_setup(listen[0])
    placement = table.build(
        SERVICE,
        [
            table.Candidate(f'agent-{number}', DOMAIN, *agent, 1.0)
            for number, agent in enumerate(agents)
        ],
    )

    def candidates(
        flow: int,
        count: int,
    ) -> tuple[header.Endpoint, ...]:
        ranked = placement.rank(flow, count)
        return tuple((one.address, one.data_port) for one in ranked)

    known = route.make_known_domains([(DOMAIN, False)])
    tag = tags.service_tag(SERVICE)
    router = route.make_route(
        tag,
        codec.make_decoder(KEY),
        lambda: known,
        candidates,
    )
    relay_context = relay.RelayContext(
        write=header.make_writer(KEY),
        reset_token=codec.make_reset_token(KEY),
        sender=sender,
        count_event=count_event,
        is_fresh=lambda: True,
    )
    relay.Relay(tag, router, relay_context).async_setup(*listen)

    def forwarded() -> int:
        return counters.get('established', 0) + counters.get('opening', 0)

    await _async_report_usage(pipe, forwarded)


class _AsyncioRelay(asyncio.DatagramProtocol):
    def __init__(self, target: header.Endpoint) -> None:
        self.forwarded = 0
        self._target = target

    def connection_made(self, transport: typing.Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        self._transport.sendto(data, self._target)
        self.forwarded += 1


async def _async_run_asyncio(
    pipe: connection.Connection,
    listen: header.Endpoint,
    target: header.Endpoint,
) -> None:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: _AsyncioRelay(target),
        sock=_bind_socket(listen),
    )
    await _async_report_usage(pipe, lambda: protocol.forwarded)


async def _async_report_usage(
    pipe: connection.Connection,
    forwarded: typing.Callable[[], int],
) -> None:
    loop = asyncio.get_running_loop()
    done = loop.create_future()

    def answer() -> None:
        if pipe.recv() is None:
            done.set_result(None)
            return
        pipe.send(usage(forwarded()))

    loop.add_reader(pipe.fileno(), answer)
    pipe.send(True)
    await done
