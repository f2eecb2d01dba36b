"""Child processes of the control benchmark.

One process runs the measured balancer, another one all other instances.
"""

import asyncio
import itertools
import logging
import resource
import typing
from multiprocessing import connection

import structlog

from kumquatport.version.replication import const
from tests.builders import memberships

POLL_S = 0.25


class Usage(typing.NamedTuple):
    """Resource usage of the measured balancer since its start.

    Attributes:
        messages: Control messages, sent and received.
        frame_bytes: Bytes of the frames of these messages.
        cpu_s: User and system CPU time, in seconds.
        resident_bytes: Peak resident memory.
        observed: Instances whose lease the balancer maintains.
        records: Records in the registry.
    """

    messages: int
    frame_bytes: int
    cpu_s: float
    resident_bytes: int
    observed: int
    records: int


class FleetSize(typing.NamedTuple):
    """Number of instances and rate of changes.

    Attributes:
        balancers: Number of balancers, including the measured one.
        agents: Number of agents.
        changes_per_s: Weight changes per second, of all agents together.
    """

    balancers: int
    agents: int
    changes_per_s: float


class AddressPrefixes(typing.NamedTuple):
    """First three octets of the addresses of each kind of instance."""

    balancers: str
    agents: str


def run_measured_balancer(
    pipe: connection.Connection, prefixes: AddressPrefixes
) -> None:
    """Run the measured balancer until the pipe is closed."""
    _log_errors_only()
    asyncio.run(_async_run_measured_balancer(pipe, prefixes))


def run_other_instances(
    pipe: connection.Connection,
    prefixes: AddressPrefixes,
    fleet_size: FleetSize,
) -> None:
    """Run all other instances until the pipe is closed."""
    _log_errors_only()
    asyncio.run(_async_run_other_instances(pipe, prefixes, fleet_size))


def _log_errors_only() -> None:
    """Log errors only, as other log lines would add to the measured cost."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
    )


async def _async_platform() -> memberships.MemoryPlatform:
    platform = memberships.MemoryPlatform()
    await platform.async_put(const.KEY_DOCUMENT, memberships.document(1), 0)
    return platform


async def _async_run_measured_balancer(
    pipe: connection.Connection,
    prefixes: AddressPrefixes,
) -> None:
    platform = await _async_platform()
    seeds = (f'{prefixes.balancers}.2:7000',)
    instance = memberships.balancer(1, platform, seeds, prefixes.balancers)
    await instance.start()
    instance.announcer.update(state='ready')
    while await _async_wait_for_request(pipe):
        totals = instance.traffic.totals
        spent = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send(
            Usage(
                totals.messages_sent + totals.messages_received,
                totals.bytes_sent + totals.bytes_received,
                spent.ru_utime + spent.ru_stime,
                spent.ru_maxrss * 1024,
                instance.observer.observed,
                len(instance.registry),
            ),
        )
    await instance.stop()


async def _async_run_other_instances(
    pipe: connection.Connection,
    prefixes: AddressPrefixes,
    fleet_size: FleetSize,
) -> None:
    platform = await _async_platform()
    seeds = (f'{prefixes.balancers}.1:7000', f'{prefixes.balancers}.2:7000')
    instances = [
        memberships.balancer(number, platform, seeds, prefixes.balancers)
        for number in range(2, fleet_size.balancers + 1)
    ]
    agents = [
        memberships.agent(number, platform, seeds, prefixes.agents)
        for number in range(1, fleet_size.agents + 1)
    ]
    instances += agents
    for running in instances:
        await running.start()
        running.announcer.update(state='ready')
    weight_changes = asyncio.create_task(
        _async_change_weights(agents, fleet_size.changes_per_s)
    )
    while await _async_wait_for_request(pipe):
        pipe.send(True)
    weight_changes.cancel()
    await asyncio.gather(*(running.stop() for running in instances))


async def _async_change_weights(
    agents: list[typing.Any],
    changes_per_s: float,
) -> None:
    if not changes_per_s:
        return
    for step in itertools.count():
        instance = agents[step % len(agents)]
        instance.announcer.update(weight=(step // len(agents)) % 8 / 8)
        await asyncio.sleep(1 / changes_per_s)


async def _async_wait_for_request(pipe: connection.Connection) -> bool:
    """Wait for a request; return false once the pipe is closed."""
    while not pipe.poll():
        await asyncio.sleep(POLL_S)
    try:
        return bool(pipe.recv())
    except EOFError:
        return False
