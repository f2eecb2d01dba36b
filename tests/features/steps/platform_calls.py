"""Steps that count calls to the platform."""

import time

import behave

from tests import deployment
from tests.builders import plans

SETTLE_S = 12.0
READS = ('get', 'list', 'watch')
WRITES = ('put', 'delete')


@behave.given(
    'an idle deployment of {balancers:d} balancers '
    'and {servers:d} backend servers'
)
def start_idle(context, balancers, servers):
    plan = plans.accra(servers // 2, servers - servers // 2, balancers)
    context.deployment = deployment.Deployment(plan)
    context.deployments.append(context.deployment)
    context.deployment.start()
    # Exclude rosters and snapshots, which are written once after the start.
    time.sleep(SETTLE_S)


@behave.when('calls to the platform are counted for {seconds:d} s')
def count_calls(context, seconds):
    before = context.deployment.status('platform')['calls']
    time.sleep(seconds)
    after = context.deployment.status('platform')['calls']
    context.rates = {
        kind: (after.get(kind, 0) - before.get(kind, 0)) / seconds
        for kind in (*READS, *WRITES)
    }
    print(context.rates)


@behave.then(
    'the region makes at most {reads:d} reads and {writes:d} write a second'
)
def bounded(context, reads, writes):
    assert sum(context.rates[kind] for kind in READS) <= reads, context.rates
    assert sum(context.rates[kind] for kind in WRITES) <= writes, context.rates
    assert context.rates['watch'] > 0, context.rates
