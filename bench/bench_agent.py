"""What an agent spends for a request, a new flow and an open flow.

Beside it, in the same run, a bare aioquic server that answers the same. The
slopes by open flows are those of ``docs/CAPACITY.md``.
"""

import asyncio
import contextlib
import multiprocessing
import time
import typing
from collections import abc

from bench import agent_children, figure
from tests import deployment, network, workload
from tests.builders import plans
from tests.standins import caller

SERVICE = 'storefront'
AGENT = 'storefront-1'
REQUESTS = 400
CALLERS = 4
FLOWS = (50, 150, 300)
MICROSECONDS = 1e6
BARE_PORT = 4499
START_S = 1.5
IDLE_S = 3.0
_SPAWN = multiprocessing.get_context('spawn')

Connect = abc.Callable[[], abc.Awaitable[caller.Connection]]


def run() -> abc.Iterator[figure.Figure]:
    """Measure an agent in a real deployment and a bare server beside it."""
    plan = plans.accra(storefront=1, manuals=1, balancers=1)
    with deployment.Deployment(plan) as target:
        pid = target.processes[AGENT].pid
        connect = _connector(target, target.service_endpoint(SERVICE))
        # A new backend server is let up to full work slowly.
        asyncio.run(_async_requests(connect))
        asyncio.run(_async_requests(connect))
        agent_us = _per_request(pid, connect)
        with _bare(target) as (bare_pid, endpoint):
            bare_us = _per_request(bare_pid, _connector(target, endpoint))
        yield figure.plain('agent_request_processor', agent_us, 'us')
        yield figure.plain('bare_request_processor', bare_us, 'us')
        yield figure.plain('agent_over_bare', agent_us / bare_us, 'ratio')
        yield from asyncio.run(_async_flows(pid, connect))


def _connector(
    target: deployment.Deployment,
    endpoint: network.Endpoint,
) -> Connect:
    async def async_connect() -> caller.Connection:
        return await caller.async_connect(
            endpoint,
            target.ca,
            SERVICE,
            local=(target.caller_address, 0),
        )

    return async_connect


@contextlib.contextmanager
def _bare(
    target: deployment.Deployment,
) -> abc.Iterator[tuple[int, network.Endpoint]]:
    address = target.caller_address
    process = _SPAWN.Process(
        target=agent_children.run_bare,
        args=(address, BARE_PORT, str(target.folder)),
    )
    process.start()
    time.sleep(START_S)
    try:
        yield typing.cast(int, process.pid), (address, BARE_PORT)
    finally:
        process.terminate()
        process.join()


def _per_request(pid: int, connect: Connect) -> float:
    before = agent_children.processor_s(pid)
    answered = asyncio.run(_async_requests(connect))
    used = agent_children.processor_s(pid) - before
    return used * MICROSECONDS / answered


async def _async_requests(connect: Connect) -> int:
    counts = await asyncio.gather(
        *(_async_caller(connect) for _ in range(CALLERS)),
    )
    return sum(counts)


async def _async_caller(connect: Connect) -> int:
    connection = await connect()
    answered = 0
    for _ in range(REQUESTS // CALLERS):
        outcome = await workload.async_small(connection, SERVICE)
        answered += outcome.right
    await connection.async_close()
    return answered


async def _async_flows(
    pid: int,
    connect: Connect,
) -> list[figure.Figure]:
    figures: list[figure.Figure] = []
    resident: list[int] = []
    held: list[caller.Connection] = []
    for flows in FLOWS:
        before = agent_children.processor_s(pid)
        opened = flows - len(held)
        while len(held) < flows:
            held.append(await connect())
        used = agent_children.processor_s(pid) - before
        resident.append(agent_children.resident_bytes(pid))
        per_flow = used * MICROSECONDS / opened
        figures.append(
            figure.plain(f'agent_new_flow_{flows}', per_flow, 'us'),
        )
    before = agent_children.processor_s(pid)
    await asyncio.sleep(IDLE_S)
    idle = (agent_children.processor_s(pid) - before) / IDLE_S
    slope = (resident[-1] - resident[0]) / (FLOWS[-1] - FLOWS[0])
    figures.append(figure.plain('agent_idle_core_share', idle, 'cores'))
    figures.append(figure.plain('agent_bytes_a_flow', slope, 'bytes'))
    for connection in held:
        await connection.async_close()
    return figures
