"""Steps of the lease for the members stored at the platform."""

import json
import time

import behave
from behave import runner

from tests import deployment, stored
from tests.builders import plans

KEY_LEASE = 'leases/members-accra'
KEY_MEMBERS = 'members/accra/0'
POLL_INTERVAL_S = 0.2
FIRST_HOLDER_TIMEOUT_S = 15


def _read(context: runner.Context, key: str) -> tuple[int, dict]:
    version, value = stored.get(context.deployment.platform_url, key)
    return version, json.loads(value)


def _holder(context: runner.Context) -> str:
    try:
        return _read(context, KEY_LEASE)[1]['holder']
    except OSError:
        return ''


def _wait_for_holder(
    context: runner.Context, former: str, seconds: float
) -> str:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        holder = _holder(context)
        if holder not in {'', former}:
            return holder
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'lease holder is {holder!r} after {seconds} s')


def _start(context: runner.Context, balancers: int, faults: tuple) -> None:
    options = deployment.Options(faults=faults)
    plan = plans.accra(1, 1, balancers)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()
    context.holder = _wait_for_holder(context, '', FIRST_HOLDER_TIMEOUT_S)
    time.sleep(1)


@behave.given(
    'a deployment with {balancers:d} balancers that compete for the lease'
)
def start(context: runner.Context, balancers: int) -> None:
    _start(context, balancers, ())


@behave.given(
    'a deployment with {balancers:d} balancers that compete for the lease '
    'over links that can stall'
)
def start_with_faults(context: runner.Context, balancers: int) -> None:
    _start(context, balancers, ('balancer-*->platform',))


@behave.when('the lease holder is suspended')
def suspend(context: runner.Context) -> None:
    context.former = context.holder
    context.deployment.suspend(context.former)


@behave.when('the former lease holder is resumed')
def resume(context: runner.Context) -> None:
    context.deployment.resume(context.former)


@behave.when('the link from the lease holder to the platform stalls')
def stall_link(context: runner.Context) -> None:
    context.former = context.holder
    rules = {f'{context.former}->platform': {'both': {'freeze': True}}}
    context.deployment.set_faults(rules)


@behave.when(
    'the stalled link of the former lease holder delivers what it held'
)
def end_stall(context: runner.Context) -> None:
    context.conflicts = _conflicts(context)
    context.deployment.set_faults({f'{context.former}->platform': {}})


@behave.then('another balancer holds the lease within {seconds:d} s')
def check_new_holder(context: runner.Context, seconds: int) -> None:
    context.holder = _wait_for_holder(context, context.former, seconds)
    time.sleep(1)


@behave.then('the lease holder does not change for {seconds:d} s')
def check_holder_unchanged(context: runner.Context, seconds: int) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        holder = _holder(context)
        assert holder == context.holder, holder
        time.sleep(POLL_INTERVAL_S)


@behave.then('the platform refused a late write')
def check_refused(context: runner.Context) -> None:
    refused = _conflicts(context) - context.conflicts
    assert refused > 0, 'the platform refused no late write'
    print(f'{refused} late writes refused')


@behave.then('the members at the platform include the lease holder')
def check_members(context: runner.Context) -> None:
    _, snapshot = _read(context, KEY_MEMBERS)
    names = {record[0] for record in snapshot['records']}
    assert context.holder in names, names


def _conflicts(context: runner.Context) -> int:
    counts = context.deployment.status('platform')['calls']
    return counts.get('conflict', 0)
