"""CPU time per request of an agent, compared with a bare aioquic server."""

import asyncio
import time
import typing
from collections import abc

from bench import figure, usage
from tests import deployment, network, processes, workload
from tests.builders import plans
from tests.standins import caller

CONNECTIONS: typing.Final = 4
REQUESTS: typing.Final = 300
WARM_UP_REQUESTS: typing.Final = 60
IDLE_S: typing.Final = 3.0
READY_S: typing.Final = 10.0
SERVICE: typing.Final = 'storefront'
BARE_PORT: typing.Final = 4500
SERVICE_OPTIONS: typing.Final = ('--service-s=0.002',)
MILLISECONDS: typing.Final = 1000


def run() -> abc.Iterator[figure.Figure]:
    """Measure agent and bare server one after the other."""
    options = deployment.Options(backend=SERVICE_OPTIONS)
    with deployment.Deployment(plans.accra(1, 1), options) as running:
        agent_ms = _agent_cpu_ms(running)
        bare_ms = _bare_server_cpu_ms(running)
    yield figure.unbounded('agent.processor_time', agent_ms, 'ms a request')
    yield figure.unbounded('agent.bare_aioquic', bare_ms, 'ms a request')
    # No bound is specified. The agent does more work than the bare server: it
    # also speaks HTTP/1.1 to its backend server.
    yield figure.unbounded('agent.over_bare', agent_ms / bare_ms, 'times')


def _agent_cpu_ms(running: deployment.Deployment) -> float:
    endpoint = running.service_endpoint(SERVICE)
    pid = running.processes[f'{SERVICE}-1'].pid
    return _measure(running, endpoint, pid)


def _bare_server_cpu_ms(running: deployment.Deployment) -> float:
    address = running.caller_address
    bare = processes.Process(
        'bare',
        'bench.bare_http3',
        [address, str(BARE_PORT), str(running.ca.parent)],
        running.folder / 'bare.log',
    )
    bare.start()
    try:
        return _measure(running, (address, BARE_PORT), bare.pid)
    finally:
        processes.end_all([bare], READY_S)


def _measure(
    running: deployment.Deployment, endpoint: network.Endpoint, pid: int
) -> float:
    return asyncio.run(_async_measure(running, endpoint, pid))


async def _async_measure(
    running: deployment.Deployment, endpoint: network.Endpoint, pid: int
) -> float:
    async with asyncio.timeout(READY_S):
        connections = [
            await caller.async_connect(
                endpoint,
                running.ca,
                SERVICE,
                local=(running.caller_address, 0),
            )
            for _ in range(CONNECTIONS)
        ]
    await _async_send_requests(connections, WARM_UP_REQUESTS)
    idle_share = await _async_idle_cpu_share(pid)
    before_s, began_at = usage.cpu_seconds(pid), time.monotonic()
    await _async_send_requests(connections, REQUESTS)
    took_s = time.monotonic() - began_at
    used_s = usage.cpu_seconds(pid) - before_s - idle_share * took_s
    for connection in connections:
        await connection.async_close()
    return MILLISECONDS * used_s / (CONNECTIONS * REQUESTS)


async def _async_send_requests(
    connections: abc.Sequence[caller.Connection], count: int
) -> None:
    async def _async_send(connection: caller.Connection) -> None:
        for _ in range(count):
            await workload.async_small(connection, SERVICE)

    await asyncio.gather(*map(_async_send, connections))


async def _async_idle_cpu_share(pid: int) -> float:
    before_s = usage.cpu_seconds(pid)
    await asyncio.sleep(IDLE_S)
    return (usage.cpu_seconds(pid) - before_s) / IDLE_S
