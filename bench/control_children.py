"""Child processes of the control benchmark: one measured, all others."""

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
    """What the measured balancer has done since its start.

    Attributes:
        messages: Control messages, sent and received.
        frame_bytes: Bytes of their frames.
        processor_s: Processor time, user and system.
        resident_bytes: Most memory so far.
        observed: Instances whose lease it keeps.
        known: Records that it holds.
    """

    messages: int
    frame_bytes: int
    cpu_s: float
    resident_bytes: int
    observed: int
    records: int


class FleetSize(typing.NamedTuple):
    """How many others there are.

    Attributes:
        balancers: All balancers, the measured one too.
        agents: All agents.
        changes_per_s: Changes of weight among the agents.
    """

    balancers: int
    agents: int
    changes_per_s: float


class AddressPrefixes(typing.NamedTuple):
    """The first three numbers of the addresses of each kind."""

    balancers: str
    agents: str


def run_measured_balancer(
    pipe: connection.Connection, networks: AddressPrefixes
) -> None:
    """Run one balancer until the pipe is closed."""
    _log_errors_only()
    asyncio.run(_async_run_measured_balancer(pipe, networks))


def run_other_instances(
    pipe: connection.Connection,
    networks: AddressPrefixes,
    crowd: FleetSize,
) -> None:
    """Run all others until the pipe is closed."""
    _log_errors_only()
    asyncio.run(_async_run_other_instances(pipe, networks, crowd))


def _log_errors_only() -> None:
    """Log faults only; everything else would be measured too."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
    )


async def _async_platform() -> memberships.MemoryPlatform:
    platform = memberships.MemoryPlatform()
    await platform.async_put(const.KEY_DOCUMENT, memberships.document(1), 0)
    return platform


async def _async_run_measured_balancer(
    pipe: connection.Connection,
    networks: AddressPrefixes,
) -> None:
    platform = await _async_platform()
    seeds = (f'{networks.balancers}.2:7000',)
    one = memberships.balancer(1, platform, seeds, networks.balancers)
    await one.start()
    one.announcer.update(state='ready')
    while await _async_wait_for_request(pipe):
        totals = one.traffic.totals
        spent = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send(
            Usage(
                totals.messages_sent + totals.messages_received,
                totals.bytes_sent + totals.bytes_received,
                spent.ru_utime + spent.ru_stime,
                spent.ru_maxrss * 1024,
                one.observer.observed,
                len(one.registry),
            ),
        )
    await one.stop()


async def _async_run_other_instances(
    pipe: connection.Connection,
    networks: AddressPrefixes,
    crowd: FleetSize,
) -> None:
    platform = await _async_platform()
    seeds = (f'{networks.balancers}.1:7000', f'{networks.balancers}.2:7000')
    everyone = [
        memberships.balancer(number, platform, seeds, networks.balancers)
        for number in range(2, crowd.balancers + 1)
    ]
    agents = [
        memberships.agent(number, platform, seeds, networks.agents)
        for number in range(1, crowd.agents + 1)
    ]
    everyone += agents
    for each in everyone:
        await each.start()
        each.announcer.update(state='ready')
    churn = asyncio.create_task(
        _async_change_weights(agents, crowd.changes_per_s)
    )
    while await _async_wait_for_request(pipe):
        pipe.send(True)
    churn.cancel()
    await asyncio.gather(*(each.stop() for each in everyone))


async def _async_change_weights(
    agents: list[typing.Any],
    changes_per_s: float,
) -> None:
    if not changes_per_s:
        return
    for turn in itertools.count():
        one = agents[turn % len(agents)]
        one.announcer.update(weight=(turn // len(agents)) % 8 / 8)
        await asyncio.sleep(1 / changes_per_s)


async def _async_wait_for_request(pipe: connection.Connection) -> bool:
    """Wait for a request; tell whether there was one before the end."""
    while not pipe.poll():
        await asyncio.sleep(POLL_S)
    try:
        return bool(pipe.recv())
    except EOFError:
        return False
