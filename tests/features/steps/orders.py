"""Steps for orders that run at most once, and for graceful restarts."""

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
LOSSY_LINK = {
    'drop': 0.02,
    'duplicate': 0.03,
    'delay_s': 0.001,
    'jitter_s': 0.01,
}
SETTLE_S = 1.0


def _begin(context, plan, faults=()):
    options = deployment.Options(seed=SEED, faults=faults)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()


@behave.given(
    'a lakes deployment with lossy links, {desk:d} desk and {archive:d} '
    'archive servers'
)
def start_lossy(context, desk, archive):
    plan = plans.lakes(desk, archive)
    _begin(context, plan, ('callers->desk', '*->server', 'peers->desk-*'))
    context.deployment.set_faults({'callers->desk': {'both': LOSSY_LINK}})


@behave.when(
    '{count:d} orders are sent and retried while processes are killed '
    'and links are cut'
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
    # Delayed requests may still run; count runs only after they have ended.
    await asyncio.to_thread(_restore_links, context.deployment)


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
    # Reset the connections too, so that data in transit is lost permanently.
    target.control('faults', {'reset': [path], 'rules': {path: {}}})


def _restore_links(target):
    target.set_faults({'callers->desk': {}})
    time.sleep(SETTLE_S)


def _runs(context):
    runs = collections.Counter()
    for server in context.deployment.servers:
        runs.update(context.deployment.status(server)['runs'])
    return runs


@behave.then('no idempotency key has run twice')
def none_twice(context):
    context.runs = _runs(context)
    twice = {key: count for key, count in context.runs.items() if count > 1}
    assert not twice, twice


@behave.then('no idempotency key that was only refused as not run has run')
def none_refused_ran(context):
    ran = [
        order
        for order in context.orders.completed
        if set(order.outcomes) == {orders.NOT_RUN} and context.runs[order.key]
    ]
    assert not ran, ran


@behave.then(
    'every answered idempotency key has run, '
    'and retries return the same receipt'
)
def answered_ran(context):
    repeats = 0
    for order in context.orders.completed:
        if order.receipts:
            assert context.runs[order.key] == 1, order
            assert all(one == order.receipts[0] for one in order.receipts)
            repeats += len(order.receipts) > 1
    print(repeats, 'orders received the same receipt again')
    assert repeats


@behave.then('most orders are answered, and the outcomes are printed')
def print_share(context):
    last = collections.Counter(
        order.outcomes[-1] for order in context.orders.completed
    )
    print('last outcomes of', sum(last.values()), 'orders:', dict(last))
    assert last[orders.RECEIPT] > sum(last.values()) / 2, last


@behave.given(
    'a lakes deployment under constant load with {desk:d} desk and '
    '{archive:d} archive servers'
)
def start_steady(context, desk, archive):
    _begin(context, plans.lakes(desk, archive))
    context.traffic = traffic.Traffic(context.deployment)
    context.run(context.traffic.async_start(0, 4))


@behave.when(
    'every balancer and agent is restarted gracefully, one after another'
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


@behave.then('no request was interrupted')
def none_cut(context):
    context.run(context.traffic.async_stop())
    print(dict(context.traffic.results()))
    assert not context.traffic.broken, context.traffic.broken
    assert context.traffic.answered
