"""Steps of a deployment whose paths lead through the fault proxy."""

import fnmatch
import time

import behave
from behave import runner

from tests import deployment, workload

PASS_TIMEOUT_S = 10.0
POLL_S = 0.2
RESTING = (
    'storefront-*->platform',
    'manuals-*->platform',
    'peers->storefront-*/control',
    'peers->manuals-*/control',
)
KINDS = ('small', 'order', 'pull', 'feed')
LOSS = {'drop': 0.02, 'duplicate': 0.02, 'delay_s': 0.001, 'jitter_s': 0.005}


def _wrong(
    context: runner.Context, kinds: tuple[str, ...]
) -> list[workload.Outcome]:
    outcomes = context.run(
        workload.async_call_all(context.deployment, 2, kinds)
    )
    return [outcome for outcome in outcomes if not outcome.is_correct]


@behave.given('a deployment whose every path leads through the fault proxy')
def step_deployment(context: runner.Context) -> None:
    context.deployment = deployment.Deployment(
        deployment.accra(1, 1, 2), deployment.Options(faults=('*',))
    )
    context.deployments.append(context.deployment)
    context.deployment.start()


@behave.then('its callers are answered through the proxy')
def step_answered(context: runner.Context) -> None:
    wrong = _wrong(context, KINDS)
    assert not wrong, wrong


@behave.then(
    'every path of the proxy that is in use at rest has passed something'
)
def step_all_used(context: runner.Context) -> None:
    until = time.monotonic() + PASS_TIMEOUT_S
    idle = ['all']
    while idle and time.monotonic() < until:
        time.sleep(POLL_S)
        links = context.deployment.status('faults')
        idle = [
            name
            for name, link in links.items()
            if not link['forward'].get('passed') and not _rests(name)
        ]
    assert not idle, idle


def _rests(name: str) -> bool:
    # An agent reads the platform only while no balancer answers it, and
    # others ask it something only about keys that are claimed.
    return any(fnmatch.fnmatchcase(name, resting) for resting in RESTING)


@behave.when(
    'every UDP path loses 2 percent, duplicates 2 percent and reorders'
)
def step_lossy(context: runner.Context) -> None:
    lossy = {'both': LOSS}
    context.deployment.set_faults(
        {'callers->*': lossy, 'fabric->*': lossy, 'peers->*/data': lossy}
    )


@behave.when("the paths to the backend servers are cut for the proxy's test")
def step_cut(context: runner.Context) -> None:
    context.deployment.set_faults({'*->server': {'both': {'cut': True}}})


@behave.then('an order through the proxy is not answered right')
def step_not_answered(context: runner.Context) -> None:
    assert len(_wrong(context, ('order',))) == 4


@behave.when('the paths through the proxy are healed')
def step_healed(context: runner.Context) -> None:
    context.deployment.set_faults({'*': {}})


@behave.then(
    'within {limit_s:d} seconds all its callers are answered through the proxy'
)
def step_answered_again(context: runner.Context, limit_s: int) -> None:
    # Agents refuse as not run while they learn that the waits are over.
    until = time.monotonic() + limit_s
    wrong = _wrong(context, KINDS)
    while wrong and time.monotonic() < until:
        time.sleep(POLL_S)
        wrong = _wrong(context, KINDS)
    assert not wrong, wrong
