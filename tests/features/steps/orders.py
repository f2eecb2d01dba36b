"""Steps of orders that must run at most once, and of graceful restarts."""

import asyncio
import collections
import itertools
import random
import time

import behave

from tests import deployment, orders, traffic
from tests.builders import plans

SEED = 20261204
CALLERS = 16
FAULT_PAUSE_S = 1.0
CUT_S = 1.0
BAD = {'drop': 0.02, 'duplicate': 0.03, 'delay_s': 0.001, 'jitter_s': 0.01}
SETTLE_S = 1.0


def _begin(context, plan, faults=()):
    options = deployment.Options(seed=SEED, faults=faults)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()


@behave.given(
    'a lakes deployment with bad links, of {desk:d} desk and {archive:d} '
    'archive servers'
)
def start_bad(context, desk, archive):
    plan = plans.lakes(desk, archive)
    _begin(context, plan, ('callers->desk', '*->server', 'peers->desk-*'))
    context.deployment.set_faults({'callers->desk': {'both': BAD}})


@behave.when(
    '{count:d} orders are sent and repeated while processes are killed and cut'
)
def send_orders(context, count):
    context.orders = orders.Orders(context.deployment, 'desk', SEED)
    context.run(_async_send(context, count))
    print(dict(context.orders.failure_counts), dict(context.faults))


async def _async_send(context, count):
    faults = asyncio.create_task(_async_faults(context))
    try:
        await context.orders.async_send(count, CALLERS)
    finally:
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
    # Kept claims and runs are read when everything has settled.
    await asyncio.to_thread(_heal, context.deployment)


async def _async_faults(context):
    target = context.deployment
    chance = random.Random(SEED)
    context.faults = collections.Counter()
    agents = [name for name in target.agents if name.startswith('desk')]
    for number in itertools.count():
        await asyncio.sleep(FAULT_PAUSE_S)
        one = chance.choice(agents)
        kinds = ('agent', 'server', 'balancer', 'peers')
        kind = kinds[number % len(kinds)]
        context.faults[kind] += 1
        if kind == 'server':
            await asyncio.to_thread(_cut, target, f'{one}->server')
        elif kind == 'peers':
            await asyncio.to_thread(_cut, target, f'peers->{one}/control')
        else:
            balancer = chance.choice(target.balancers)
            killed = one if kind == 'agent' else balancer
            await asyncio.to_thread(target.kill, killed)
            await asyncio.to_thread(target.start_processes, [killed])


def _cut(target, path):
    target.set_faults({path: {'both': {'cut': True}}})
    time.sleep(CUT_S)
    # What was on its way is lost for good: the connections are broken too.
    target.control('faults', {'reset': [path], 'rules': {path: {}}})


def _heal(target):
    target.set_faults({'callers->desk': {}})
    time.sleep(SETTLE_S)


def _runs(context):
    runs = collections.Counter()
    for server in context.deployment.servers:
        runs.update(context.deployment.status(server)['runs'])
    return runs


@behave.then('no key has run twice')
def none_twice(context):
    context.runs = _runs(context)
    twice = {key: count for key, count in context.runs.items() if count > 1}
    assert not twice, twice


@behave.then('no key that was only refused as not run has run')
def none_refused_ran(context):
    ran = [
        order
        for order in context.orders.completed
        if set(order.outcomes) == {orders.NOT_RUN} and context.runs[order.key]
    ]
    assert not ran, ran


@behave.then('every key that was answered has run, and its receipt is repeated')
def answered_ran(context):
    repeats = 0
    for order in context.orders.completed:
        if order.receipts:
            assert context.runs[order.key] == 1, order
            assert all(one == order.receipts[0] for one in order.receipts)
            repeats += len(order.receipts) > 1
    print(repeats, 'receipts were repeated alike')
    assert repeats


@behave.then('the share of orders answered unknown is printed')
def print_share(context):
    last = collections.Counter(
        order.outcomes[-1] for order in context.orders.completed
    )
    print('last outcomes of', sum(last.values()), 'orders:', dict(last))
    assert last[orders.RECEIPT] > sum(last.values()) / 2, last


@behave.given(
    'a lakes deployment under steady calls, of {desk:d} desk and {archive:d} '
    'archive servers'
)
def start_steady(context, desk, archive):
    _begin(context, plans.lakes(desk, archive))
    context.traffic = traffic.Traffic(context.deployment)
    context.run(context.traffic.async_start(0, 4))


@behave.when(
    'every process of the system is gracefully restarted, one after another'
)
def restart_all(context):
    target = context.deployment
    for name in target.balancers:
        target.set_fabric([one for one in target.balancers if one != name])
        target.restart(name)
        target.set_fabric(target.balancers)
    for name in target.plan.agents:
        target.restart(name)
        time.sleep(SETTLE_S)


@behave.then('no request was cut')
def none_cut(context):
    context.run(context.traffic.async_stop())
    print(dict(context.traffic.results()))
    assert not context.traffic.broken, context.traffic.broken
    assert context.traffic.answered
