"""Steps that count the calls to the platform."""

import time

import behave

from tests import deployment
from tests.builders import plans

SETTLE_S = 12.0
READS = ('get', 'list', 'watch')
WRITES = ('put', 'delete')


@behave.given(
    'a quiet deployment of {balancers:d} balancers and {servers:d} servers'
)
def start_quiet(context, balancers, servers):
    plan = plans.accra(servers // 2, servers - servers // 2, balancers)
    context.deployment = deployment.Deployment(plan)
    context.deployments.append(context.deployment)
    context.deployment.start()
    # Rosters and snapshots are made once.
    time.sleep(SETTLE_S)


@behave.when("the platform's calls are counted for {seconds:d} s")
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
    'a region makes at most {reads:d} reads and {writes:d} write a second'
)
def bounded(context, reads, writes):
    assert sum(context.rates[kind] for kind in READS) <= reads, context.rates
    assert sum(context.rates[kind] for kind in WRITES) <= writes, context.rates
    assert context.rates['watch'] > 0, context.rates
