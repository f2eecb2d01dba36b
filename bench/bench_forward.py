"""Forwarding by a balancer, compared with bare relays in the same run."""

import collections
import contextlib
import multiprocessing
import socket
import statistics
import time
import typing
from collections import abc

from bench import figure, forward_children
from kumquatport.connection.forward import const, header

ROUNDS = 3
ROUND_S = 1.0
WARM_UP_S = 0.3
HOST = '127.0.0.1'
MIN_RATE_SHARE = 0.6
MIN_NEW_FLOWS_PER_S = 5000
FEW_FLOWS = 1000
MANY_FLOWS = 300_000
MAX_MEMORY_GROWTH = 1.1
COUNTED_PACKETS = 20_000
_SPAWN_CONTEXT = multiprocessing.get_context('spawn')
_LONG_HEADER_START = b'\xc0\x00\x00\x00\x01\x08'


class RelayProcess(typing.NamedTuple):
    """A running relay and the pipe to request its usage."""

    pipe: typing.Any
    endpoint: header.Endpoint

    def usage(self) -> forward_children.Usage:
        """Return the usage of the relay since its start."""
        self.pipe.send(True)
        return self.pipe.recv()


class Rate(typing.NamedTuple):
    """Packets per second and CPU microseconds per packet."""

    packets_per_s: float
    cpu_us: float


def run() -> abc.Iterable[figure.Figure]:
    """Measure rates, CPU time, new flows, memory and packet loss."""
    yield from _rates()
    yield from _new_flows()
    yield from _memory()
    yield from _losses()


def _rates() -> abc.Iterable[figure.Figure]:
    rates: dict[str, list[Rate]] = collections.defaultdict(list)
    relays = {
        'asyncio': forward_children.run_asyncio,
        'blocking': forward_children.run_blocking,
        'balancer': forward_children.run_balancer,
    }
    for _ in range(ROUNDS):
        for name, target in relays.items():
            rates[name].append(_measure_rate(target))
    medians = {
        name: Rate(*map(statistics.median, zip(*found, strict=True)))
        for name, found in rates.items()
    }
    for name, rate in medians.items():
        yield _unbounded(
            f'forward_rate_{name}', rate.packets_per_s, 'packets/s'
        )
        yield _unbounded(f'forward_processor_{name}', rate.cpu_us, 'us')
    balancer = medians['balancer'].packets_per_s
    share = balancer / medians['asyncio'].packets_per_s
    yield figure.Figure(
        'forward_rate_over_asyncio',
        round(share, 3),
        'ratio',
        MIN_RATE_SHARE,
        share >= MIN_RATE_SHARE,
    )
    limit = balancer / medians['blocking'].packets_per_s
    yield _unbounded('forward_rate_over_blocking', limit, 'ratio')


def _new_flows() -> abc.Iterable[figure.Figure]:
    with _relay(forward_children.run_balancer) as child:
        callers = [_socket() for _ in range(200)]
        before = child.usage()
        deadline = time.monotonic() + ROUND_S
        number = 0
        while time.monotonic() < deadline:
            for caller in callers:
                number += 1
                caller.sendto(_opening_packet(number), child.endpoint)
        after = child.usage()
    rate = (after.forwarded - before.forwarded) / ROUND_S
    yield figure.Figure(
        'new_flows_placed',
        round(rate),
        'flows/s',
        MIN_NEW_FLOWS_PER_S,
        rate >= MIN_NEW_FLOWS_PER_S,
    )
    cpu_us = (after.cpu_s - before.cpu_s) * 1e6
    per_flow = cpu_us / (after.forwarded - before.forwarded)
    yield _unbounded('new_flow_processor', per_flow, 'us')


def _memory() -> abc.Iterable[figure.Figure]:
    with _relay(forward_children.run_balancer) as child:
        resident = [
            _resident_after(child, flows) for flows in (FEW_FLOWS, MANY_FLOWS)
        ]
    growth = resident[1] / resident[0]
    yield _unbounded('memory_1000_flows', resident[0], 'bytes')
    yield figure.Figure(
        'memory_growth_300000_flows',
        round(growth, 4),
        'ratio',
        MAX_MEMORY_GROWTH,
        growth <= MAX_MEMORY_GROWTH,
    )


def _resident_after(child: RelayProcess, flows: int) -> int:
    issue = forward_children.make_issuer((HOST, 1))
    caller = _socket()
    for number in range(flows):
        caller.sendto(b'\x40' + issue() + bytes(100), child.endpoint)
        if number % 200 == 0:
            # Pause so that the relay's receive buffer does not overflow.
            time.sleep(0.004)
    return child.usage().resident_bytes


def _losses() -> abc.Iterable[figure.Figure]:
    agent = _socket(HOST)
    agent.settimeout(1.0)
    issue = forward_children.make_issuer(agent.getsockname())
    read = header.make_reader(forward_children.KEY)
    seen: collections.Counter[bytes] = collections.Counter()
    with _relay(forward_children.run_balancer, agent) as child:
        caller = _socket()
        for number in range(COUNTED_PACKETS):
            mark = number.to_bytes(4, 'big')
            caller.sendto(b'\x40' + issue() + mark, child.endpoint)
            forward = read(agent.recv(const.MAX_DATAGRAM_BYTES))
            seen[forward.payload[-4:]] += 1
    lost = COUNTED_PACKETS - len(seen)
    duplicated = sum(seen.values()) - len(seen)
    yield figure.Figure('packets_lost', lost, 'packets', 0, lost == 0)
    yield figure.Figure(
        'packets_duplicated', duplicated, 'packets', 0, duplicated == 0
    )


def _measure_rate(target: typing.Any) -> Rate:
    with _relay(target) as child:
        total_s = WARM_UP_S + ROUND_S + WARM_UP_S
        sender = _SPAWN_CONTEXT.Process(
            target=forward_children.send_packets,
            args=(child.endpoint, total_s + 1),
        )
        sender.start()
        time.sleep(WARM_UP_S + 1)
        started = time.monotonic()
        before = child.usage()
        time.sleep(ROUND_S)
        after = child.usage()
        elapsed = time.monotonic() - started
        sender.join()
    packets = after.forwarded - before.forwarded
    processor_us = (after.cpu_s - before.cpu_s) * 1e6
    return Rate(packets / elapsed, processor_us / packets)


@contextlib.contextmanager
def _relay(
    target: typing.Any,
    agent: socket.socket | None = None,
) -> abc.Iterator[RelayProcess]:
    # By default the agent never reads, and the kernel drops packets once its
    # receive buffer is full.
    sink = agent or _socket(HOST)
    probe = _socket(HOST)
    endpoint = probe.getsockname()
    probe.close()
    parent_end, child_end = _SPAWN_CONTEXT.Pipe()
    process = _SPAWN_CONTEXT.Process(
        target=target,
        args=(child_end, endpoint, (sink.getsockname(),) * 7),
    )
    process.start()
    parent_end.recv()
    try:
        yield RelayProcess(parent_end, endpoint)
    finally:
        parent_end.send(None)
        process.join()


def _socket(host: str = HOST) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, 0))
    return sock


def _opening_packet(number: int) -> bytes:
    opening = _LONG_HEADER_START + number.to_bytes(8, 'big')
    return opening.ljust(forward_children.DATAGRAM_BYTES, b'\0')


def _unbounded(name: str, measured: float, unit: str) -> figure.Figure:
    return figure.Figure(name, round(measured, 2), unit, None, True)
