"""Steps of guard rails that know the present load from real agents."""

import asyncio
import json
import subprocess
import sys
import time

import behave
from behave import runner

from tests import deployment, processes
from tests.standins import caller

CALLERS = 12
BUSY_TIMEOUT_S = 15.0
POLL_S = 0.2
GAUGE = 'requests.in_progress'


def _agents(context: runner.Context) -> list[str]:
    """Return the arguments that name all agents."""
    system = context.deployment
    arguments = []
    for name in system.agents:
        address = system.advertised_address(name)
        arguments += ['--instance', f'http://{address}:7001']
    return arguments


def _take_out(
    context: runner.Context, domain: str, instances: list[str]
) -> 'subprocess.CompletedProcess[bytes]':
    url = context.deployment.platform_url
    command = [sys.executable, '-m', 'kumquatport.process.ctl']
    command += ['--platform', url, '--json', 'domain', 'out', domain]
    return subprocess.run(
        [*command, *instances],
        capture_output=True,
        cwd=processes.ROOT,
        env={'PYTHONPATH': str(processes.ROOT), 'PATH': ''},
        timeout=60.0,
        check=False,
    )


def _busy(context: runner.Context) -> int:
    statuses = [
        context.deployment.status(name) for name in context.deployment.agents
    ]
    return sum(
        int(status['metrics']['gauges'].get(GAUGE, 0)) for status in statuses
    )


@behave.given(
    'a deployment of {first:d} storefront and {second:d} manuals servers '
    'with 1 slot each'
)
def small_slots(context: runner.Context, first: int, second: int) -> None:
    plan = deployment.accra(storefront=first, manuals=second, balancers=1)
    context.deployment = deployment.Deployment(plan)
    context.deployments.append(context.deployment)
    document = context.deployment.document()
    for service in document['services']:
        service['limits'] = {**service['limits'], 'slots': 1}
    context.deployment.start(document=document)


@behave.when('{count:d} storefront requests hold a slot')
def hold_slots(context: runner.Context, count: int) -> None:
    system = context.deployment
    connections = context.run(_async_connect(system))
    for name in system.agents:
        system.suspend(f'{name}-server')
    context.guard_waiting = context.run(_async_ask(connections))
    until = time.monotonic() + BUSY_TIMEOUT_S
    while _busy(context) != count and time.monotonic() < until:
        time.sleep(POLL_S)
    assert _busy(context) == count, _busy(context)


async def _async_connect(
    system: deployment.Deployment,
) -> list[caller.Connection]:
    opened = (
        caller.async_connect(
            system.service_endpoint('storefront'),
            system.ca,
            local=(system.caller_address, 0),
        )
        for _ in range(CALLERS)
    )
    return list(await asyncio.gather(*opened))


async def _async_ask(connections: list[caller.Connection]) -> asyncio.Future:
    """Send requests whose answers do not matter."""
    return asyncio.gather(
        *(one.async_request('GET', '/anything') for one in connections),
        return_exceptions=True,
    )


@behave.then(
    'taking out "{domain}" with all agents asked is held back for "{service}"'
)
def is_held_back(context: runner.Context, domain: str, service: str) -> None:
    done = _take_out(context, domain, _agents(context))
    assert done.returncode == 6, done
    context.guard_concerns = json.loads(done.stdout)['concerns']
    names = [name for name, _ in context.guard_concerns]
    assert names == [service], context.guard_concerns


@behave.then('the reason is "{reason}"')
def is_reason(context: runner.Context, reason: str) -> None:
    reasons = [reason for _, reason in context.guard_concerns]
    assert reasons == [reason], reasons


@behave.then('without agents asked the same command is carried out')
def is_carried_out(context: runner.Context) -> None:
    done = _take_out(context, 'accra-c', [])
    assert done.returncode == 0, done


@behave.then('taking out "{domain}" with all agents asked is carried out')
def is_harmless(context: runner.Context, domain: str) -> None:
    done = _take_out(context, domain, _agents(context))
    assert done.returncode == 0, done
