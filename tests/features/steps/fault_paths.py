"""Steps of a deployment with all paths routed through the fault proxy."""

import fnmatch
import time

import behave
from behave import runner

from tests import deployment, workload

DATA_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2
EXPECTED_IDLE_PATHS = (
    'storefront-*->platform',
    'manuals-*->platform',
    'peers->storefront-*/control',
    'peers->manuals-*/control',
)
KINDS = ('small', 'order', 'pull', 'feed')
PACKET_FAULTS = {
    'drop': 0.02,
    'duplicate': 0.02,
    'delay_s': 0.001,
    'jitter_s': 0.005,
}


def _incorrect_outcomes(
    context: runner.Context, kinds: tuple[str, ...]
) -> list[workload.Outcome]:
    outcomes = context.run(
        workload.async_call_all(context.deployment, 2, kinds)
    )
    return [outcome for outcome in outcomes if not outcome.is_correct]


@behave.given('a deployment with all paths routed through the fault proxy')
def step_deployment(context: runner.Context) -> None:
    context.deployment = deployment.Deployment(
        deployment.accra(1, 1, 2), deployment.Options(faults=('*',))
    )
    context.deployments.append(context.deployment)
    context.deployment.start()


@behave.then('callers receive correct responses through the fault proxy')
def step_answered(context: runner.Context) -> None:
    incorrect = _incorrect_outcomes(context, KINDS)
    assert not incorrect, incorrect


@behave.then('every proxied path that is used without faults has passed data')
def step_all_paths_passed_data(context: runner.Context) -> None:
    deadline = time.monotonic() + DATA_TIMEOUT_S
    idle = ['all']
    while idle and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        links = context.deployment.status('faults')
        idle = [
            name
            for name, link in links.items()
            if not link['forward'].get('passed') and not _is_expected_idle(name)
        ]
    assert not idle, idle


def _is_expected_idle(name: str) -> bool:
    # An agent reads the platform only while no balancer responds, and other
    # instances send it requests only about claimed idempotency keys.
    return any(
        fnmatch.fnmatchcase(name, pattern) for pattern in EXPECTED_IDLE_PATHS
    )


@behave.when(
    'every UDP path drops 2 percent, duplicates 2 percent and reorders'
)
def step_lossy(context: runner.Context) -> None:
    rules = {'both': PACKET_FAULTS}
    context.deployment.set_faults(
        {'callers->*': rules, 'fabric->*': rules, 'peers->*/data': rules}
    )


@behave.when('the proxied paths to the backend servers are cut')
def step_cut(context: runner.Context) -> None:
    context.deployment.set_faults({'*->server': {'both': {'cut': True}}})


@behave.then('orders through the fault proxy receive no correct response')
def step_not_answered(context: runner.Context) -> None:
    assert len(_incorrect_outcomes(context, ('order',))) == 4


@behave.when('the faults of all proxied paths are removed')
def step_faults_removed(context: runner.Context) -> None:
    context.deployment.set_faults({'*': {}})


@behave.then(
    'within {limit_s:d} seconds callers receive correct responses through the '
    'fault proxy'
)
def step_answered_within(context: runner.Context, limit_s: int) -> None:
    # Agents refuse requests as not run until they detect that requests to the
    # backend servers no longer time out.
    deadline = time.monotonic() + limit_s
    incorrect = _incorrect_outcomes(context, KINDS)
    while incorrect and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        incorrect = _incorrect_outcomes(context, KINDS)
    assert not incorrect, incorrect
