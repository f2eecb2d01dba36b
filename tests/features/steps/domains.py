"""Steps of leaving failure domains and backend servers, and of outages."""

import time

import behave

from tests import deployment, traffic
from tests.builders import plans

FEEDS = 4
WORKERS = 3
OUT_S = 4.0
OBSERVATION_S = 3.0
PLATFORM_DELAY_S = 1.5
SETTLE_S = 1.0
SLICE_S = 5.0
RETURN_S = 10.0


def _start(context, plan):
    options = deployment.Options(seed=20261204)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()
    context.traffic = traffic.Traffic(context.deployment)
    context.run(context.traffic.async_start(FEEDS, WORKERS))
    wanted = FEEDS * len(plan.service_names)
    context.run(context.traffic.async_wait_feeds(wanted))


@behave.given(
    'a lakes deployment with {desk:d} desk and {archive:d} archive servers '
    'under load'
)
def start_lakes(context, desk, archive):
    _start(context, plans.lakes(desk, archive))


@behave.given(
    'an accra deployment with {storefront:d} storefront and {manuals:d} manuals '
    'servers under load'
)
def start_accra(context, storefront, manuals):
    _start(context, plans.accra(storefront, manuals))


def _put(context, out):
    document = context.deployment.document(out=out)
    context.deployment.put_document(document)
    context.accepted_at = time.monotonic()


def _agents_in(context, domain):
    plan = context.deployment.plan
    return [
        name
        for name in context.deployment.agents
        if plan.failure_domain(name) == domain
    ]


def _forwards(context, domain):
    return {
        name: _counter(context, name, 'forwards')
        for name in _agents_in(context, domain)
    }


def _counter(context, name, counter):
    status = context.deployment.status(name)
    return status['metrics']['counters'].get(counter, 0)


@behave.when('operators take {domain} out of service')
def take_out(context, domain):
    _put(context, (domain,))


@behave.when(
    'operators take {domain} out of service and the platform goes down at once'
)
def take_out_and_down(context, domain):
    _put(context, (domain,))
    # Lets the responses to open watches leave the platform before it goes down.
    time.sleep(0.3)
    context.deployment.control('platform', {'mode': 'down'})


@behave.when(
    'balancer-1 is suspended and operators take {domain} out of service'
)
def suspend_and_take_out(context, domain):
    context.domain = domain
    context.deployment.suspend('balancer-1')
    _put(context, (domain,))


@behave.when('balancer-1 is resumed {seconds:d} s later')
def resume(context, seconds):
    time.sleep(seconds)
    # A balancer may forward packets queued in its socket as soon as it resumes,
    # so the count starts before that.
    context.before_resume = _forwards(context, context.domain)
    context.deployment.resume('balancer-1')


@behave.then(
    'no packet reaches {domain} more than {seconds:d} s after acceptance'
)
def no_packet(context, domain, seconds):
    wait_s = context.accepted_at + seconds - time.monotonic()
    time.sleep(max(wait_s, 0))
    before = getattr(context, 'before_resume', None)
    if before is None:
        before = _forwards(context, domain)
    time.sleep(OBSERVATION_S)
    after = _forwards(context, domain)
    print('packets forwarded in', domain, 'before and after', before, after)
    assert before == after, (before, after)


@behave.then('no flow outside {domain} is broken')
def no_broken_flow_outside(context, domain):
    inside = {f'{name}-server' for name in _agents_in(context, domain)}
    outside = [
        observation
        for observation in context.traffic.broken
        if observation.server not in inside
    ]
    print(dict(context.traffic.results()))
    assert not outside, outside
    context.inside = inside


@behave.when('operators return {domain} to service')
def return_to_service(context, domain):
    context.opened = {
        name: _counter(context, name, 'flows.opened')
        for name in _agents_in(context, domain)
    }
    _put(context, ())


@behave.then('new flows open in {domain} within {seconds:d} s')
def flows_open(context, domain, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        # Running workers keep their connections, so new callers open new flows.
        context.run(context.traffic.async_start(0, 1))
        opened = {
            name: _counter(context, name, 'flows.opened')
            for name in context.opened
        }
        if sum(opened.values()) > sum(context.opened.values()):
            print(
                'new flows after', time.monotonic() - context.accepted_at, 's'
            )
            return
    raise AssertionError(opened)


@behave.then('no backend server collapsed under load')
def no_collapse(context):
    for server in context.deployment.servers:
        counts = context.deployment.status(server)
        assert counts['collapses'] == 0, counts


@behave.when('the platform is {state} and storefront-1 starts to leave')
def start_leaving(context, state):
    command = {'mode': state}
    if state == 'slow':
        command['delay_s'] = PLATFORM_DELAY_S
    context.deployment.control('platform', command)
    context.deployment.term('storefront-1')


@behave.then('storefront-1 receives no new requests {seconds:d} s later')
def no_new_requests(context, seconds):
    time.sleep(seconds)
    kinds = ('orders', 'small', 'pulls', 'feeds')
    server = context.deployment.status('storefront-1-server')
    before = {kind: server[kind] for kind in kinds}
    time.sleep(OBSERVATION_S)
    server = context.deployment.status('storefront-1-server')
    after = {kind: server[kind] for kind in kinds}
    assert before == after, (before, after)


def _stop_traffic(context):
    context.run(context.traffic.async_stop())
    print(dict(context.traffic.results()))


@behave.then('no flow is broken while storefront-1 leaves')
@behave.then('no flow is broken while balancers are killed')
def no_broken_flow(context):
    _stop_traffic(context)
    assert not context.traffic.broken, context.traffic.broken
    assert context.traffic.answered


@behave.when('the platform goes down for {seconds:d} s')
def platform_down(context, seconds):
    context.deployment.control('platform', {'mode': 'down'})
    context.down_at = time.monotonic()
    context.down_until = context.down_at + seconds


@behave.when(
    'meanwhile a balancer restarts, one backend server leaves and another crashes'
)
def change_during_outage(context):
    context.deployment.restart('balancer-1')
    context.deployment.term('storefront-1')
    time.sleep(SETTLE_S)
    context.deployment.kill('storefront-2')
    context.deployment.kill('storefront-2-server')
    time.sleep(max(context.down_until - time.monotonic(), 0))
    context.deployment.control('platform', {'mode': 'up'})
    time.sleep(SETTLE_S)


@behave.then('requests are answered in every {seconds:d} s of the outage')
def answered_during_outage(context, seconds):
    outage_s = int(context.down_until - context.down_at)
    for start in range(0, outage_s, seconds):
        since = context.down_at + start
        answered = [
            observation
            for observation in context.traffic.answered
            if since <= observation.observed_at < since + seconds
        ]
        print(start, 's:', len(answered), 'answered')
        assert answered, start


@behave.then('only flows of the crashed backend server are broken')
def only_crashed_server_flows(context):
    _stop_traffic(context)
    others = [
        observation
        for observation in context.traffic.broken
        if observation.server != 'storefront-2-server'
    ]
    assert not others, others


@behave.when('two balancers are killed at once and restarted, twice')
def kill_two_twice(context):
    for _ in range(2):
        for name in ('balancer-1', 'balancer-2'):
            context.deployment.kill(name)
        context.deployment.set_fabric(['balancer-3'])
        context.deployment.start_processes(['balancer-1', 'balancer-2'])
        context.deployment.set_fabric(context.deployment.balancers)
        time.sleep(SETTLE_S)
