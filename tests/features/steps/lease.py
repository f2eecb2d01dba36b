"""Steps of the lease of the members at the platform."""

import json
import time

import behave
from behave import runner

from tests import deployment, stored
from tests.builders import plans

KEY_LEASE = 'leases/members-accra'
KEY_MEMBERS = 'members/accra/0'
POLL_S = 0.2
FIRST_S = 15


def _read(context: runner.Context, key: str) -> tuple[int, dict]:
    version, value = stored.get(context.deployment.platform_url, key)
    return version, json.loads(value)


def _holder(context: runner.Context) -> str:
    try:
        return _read(context, KEY_LEASE)[1]['holder']
    except OSError:
        return ''


def _wait_for_other(context: runner.Context, than: str, seconds: float) -> str:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        holder = _holder(context)
        if holder not in {'', than}:
            return holder
        time.sleep(POLL_S)
    raise AssertionError(f'held by {holder!r} after {seconds} s')


def _start(context: runner.Context, balancers: int, faults: tuple) -> None:
    options = deployment.Options(faults=faults)
    plan = plans.accra(1, 1, balancers)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()
    context.holder = _wait_for_other(context, '', FIRST_S)
    time.sleep(1)


@behave.given('a lease among {balancers:d} balancers')
def start(context: runner.Context, balancers: int) -> None:
    _start(context, balancers, ())


@behave.given(
    'a lease among {balancers:d} balancers whose links to the platform can stall'
)
def start_with_faults(context: runner.Context, balancers: int) -> None:
    _start(context, balancers, ('balancer-*->platform',))


@behave.when("the lease's holder is frozen")
def freeze(context: runner.Context) -> None:
    context.former = context.holder
    context.deployment.freeze(context.former)


@behave.when('the former holder of the lease resumes')
def resume(context: runner.Context) -> None:
    context.deployment.thaw(context.former)


@behave.when("the link of the lease's holder to the platform stalls")
def stall(context: runner.Context) -> None:
    context.former = context.holder
    rules = {f'{context.former}->platform': {'both': {'freeze': True}}}
    context.deployment.set_faults(rules)


@behave.when('the link of the former holder of the lease lets go what it held')
def let_go(context: runner.Context) -> None:
    context.conflicts = _conflicts(context)
    context.deployment.set_faults({f'{context.former}->platform': {}})


@behave.then('another balancer holds the lease within {seconds:d} s')
def check_taken(context: runner.Context, seconds: int) -> None:
    context.holder = _wait_for_other(context, context.former, seconds)
    time.sleep(1)


@behave.then('the lease stays where it is for {seconds:d} s')
def check_stays(context: runner.Context, seconds: int) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        holder = _holder(context)
        assert holder == context.holder, holder
        time.sleep(POLL_S)


@behave.then('the platform refused a write of the lease')
def check_refused(context: runner.Context) -> None:
    refused = _conflicts(context) - context.conflicts
    assert refused > 0, 'no late write arrived'
    print(f'{refused} late writes refused')


@behave.then('the members at the platform are those of the present holder')
def check_members(context: runner.Context) -> None:
    _, snapshot = _read(context, KEY_MEMBERS)
    names = {record[0] for record in snapshot['records']}
    assert context.holder in names, names


def _conflicts(context: runner.Context) -> int:
    counts = context.deployment.status('platform')['calls']
    return counts.get('conflict', 0)
