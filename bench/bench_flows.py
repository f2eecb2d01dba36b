"""CPU time of an agent per new flow and memory per open flow.

The slopes per open flow are listed in ``docs/CAPACITY.md``.
"""

import asyncio
import typing
from collections import abc

from bench import figure, usage
from tests import deployment
from tests.builders import plans
from tests.standins import caller

SERVICE: typing.Final = 'storefront'
FLOWS: typing.Final = (100, 300, 600)
MICROSECONDS: typing.Final = 1e6
IDLE_S: typing.Final = 3.0


def run() -> abc.Iterator[figure.Figure]:
    """Open flows at one agent of a real deployment, in three batches."""
    plan = plans.accra(storefront=1, manuals=1, balancers=1)
    with deployment.Deployment(plan) as target:
        yield from asyncio.run(_async_flows(target))


async def _async_flows(
    target: deployment.Deployment,
) -> list[figure.Figure]:
    pid = target.processes[f'{SERVICE}-1'].pid
    figures: list[figure.Figure] = []
    resident: list[int] = []
    connections: list[caller.Connection] = []
    for flows in FLOWS:
        before = usage.cpu_seconds(pid)
        opened = flows - len(connections)
        while len(connections) < flows:
            connections.append(await _async_connect(target))
        used = usage.cpu_seconds(pid) - before
        resident.append(usage.resident_bytes(pid))
        figures.append(
            figure.unbounded(
                f'flows.open_processor_{flows}',
                used * MICROSECONDS / opened,
                'us a flow',
            ),
        )
        figures.append(
            figure.unbounded(f'flows.resident_{flows}', resident[-1], 'B'),
        )
    before = usage.cpu_seconds(pid)
    await asyncio.sleep(IDLE_S)
    idle = (usage.cpu_seconds(pid) - before) / IDLE_S
    slope = (resident[-1] - resident[0]) / (FLOWS[-1] - FLOWS[0])
    figures.append(figure.unbounded('flows.idle_core', idle, 'share'))
    figures.append(figure.unbounded('flows.bytes_of_one', slope, 'B'))
    for connection in connections:
        await connection.async_close()
    return figures


async def _async_connect(target: deployment.Deployment) -> caller.Connection:
    return await caller.async_connect(
        target.service_endpoint(SERVICE),
        target.ca,
        SERVICE,
        local=(target.caller_address, 0),
    )
