"""Steps of flows that must survive changes."""

import time

import behave
from behave import runner

from tests import deployment, traffic
from tests.builders import plans

LEARN_S = 2.0
SETTLE_S = 1.0
LEAVE_TIMEOUT_S = 30.0


def _begin(
    context: runner.Context, plan: plans.Plan, faults: tuple[str, ...] = ()
) -> None:
    options = deployment.Options(seed=20261204, faults=faults)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()
    context.left = []


@behave.given(
    'flows through a lakes deployment of {desk:d} desk and {archive:d} '
    'archive servers'
)
def start_lakes(context, desk, archive):
    _begin(context, plans.lakes(desk, archive))


@behave.given(
    'flows through an accra deployment of {storefront:d} storefront and '
    '{manuals:d} manuals servers'
)
def start_accra(context, storefront, manuals):
    _begin(context, plans.accra(storefront, manuals))


@behave.given('flows through a lakes deployment with faults at "{path}"')
def start_faulty(context, path):
    _begin(context, plans.lakes(), (path,))


@behave.given('{feeds:d} feeds and {workers:d} workers at each service')
def start_traffic(context, feeds, workers):
    context.traffic = traffic.Traffic(context.deployment)
    context.run(context.traffic.async_start(feeds, workers))
    wanted = feeds * len(context.deployment.plan.service_names)
    context.run(context.traffic.async_wait_feeds(wanted))


def _replace_server(context, name):
    service = name.rsplit('-', 1)[0]
    joined = context.deployment.add_backend_server(service)
    context.deployment.start_processes([f'{joined}-server', joined])
    context.deployment.term(name)
    context.left.append(name)
    time.sleep(SETTLE_S)


def _replace_balancer(context, name):
    others = [one for one in context.deployment.balancers if one != name]
    context.deployment.set_fabric(others)
    context.deployment.restart(name)
    context.deployment.set_fabric(context.deployment.balancers)
    time.sleep(SETTLE_S)


@behave.when(
    'every backend server is replaced while balancers are replaced too'
)
def replace_all(context):
    balancers = list(context.deployment.balancers)
    for name in context.deployment.plan.agents:
        _replace_server(context, name)
        if balancers:
            _replace_balancer(context, balancers.pop())


@behave.when('each balancer is killed and another joins')
def kill_balancers(context):
    alive = list(context.deployment.balancers)
    for name in tuple(alive):
        context.deployment.kill(name)
        # The fabric notices after a while; until then it sends there too.
        time.sleep(SETTLE_S)
        alive.remove(name)
        joined = context.deployment.add_balancer()
        context.deployment.start_processes([joined])
        alive.append(joined)
        context.deployment.set_fabric(alive)
        time.sleep(SETTLE_S)


@behave.when(
    'balancer-2 hears of no change for {seconds:d} s while servers join and '
    'leave'
)
def part_balancer(context, seconds):
    until = time.monotonic() + seconds
    context.deployment.set_faults(
        {'peers->balancer-2/control': {'both': {'cut': True}}}
    )
    for name in context.deployment.plan.agents:
        _replace_server(context, name)
    while time.monotonic() < until:
        time.sleep(0.5)
    context.deployment.set_faults({'peers->balancer-2/control': {}})
    time.sleep(SETTLE_S)


def _feeds_at(context, name):
    server = f'{name}-server'
    return [
        note for note in context.traffic.feeds.values() if note.result == server
    ]


def _kill_agent(context):
    for name in context.deployment.agents:
        if _feeds_at(context, name):
            break
    context.killed = name
    context.feeds_killed = len(_feeds_at(context, name))
    context.killed_at = time.monotonic()
    context.deployment.kill(name)


@behave.when('the agent of a storefront server is killed')
def kill_agent(context):
    _kill_agent(context)
    time.sleep(LEARN_S + SETTLE_S)


@behave.when('the agent of a storefront server is killed and restarted')
def restart_agent(context):
    _kill_agent(context)
    context.deployment.start_processes([context.killed])
    time.sleep(LEARN_S + SETTLE_S)


@behave.then('at least {count:d} table changes were seen by a balancer')
def table_changes(context, count):
    seen = 2 * len(context.left)
    assert seen >= count, seen


def _stop_traffic(context):
    if not context.traffic._stopping:
        context.run(context.traffic.async_stop())
        print(dict(context.traffic.results()))


@behave.then('no flow is broken')
def no_broken(context):
    _stop_traffic(context)
    assert not context.traffic.broken, context.traffic.broken
    assert context.traffic.answered


@behave.then('the callers of its flows learn of it within {seconds:d} s')
def callers_learn(context, seconds):
    broken = [note for note in context.traffic.broken if note.kind == 'feed']
    late = [
        note
        for note in broken
        if note.observed_at - context.killed_at > seconds
    ]
    gaps = [round(note.observed_at - context.killed_at, 2) for note in broken]
    print('seconds until callers learnt', gaps)
    assert len(broken) == context.feeds_killed, (broken, context.feeds_killed)
    assert not late, late
    context.own_broken = len(broken)


@behave.then('no other flow is broken')
def no_other_broken(context):
    _stop_traffic(context)
    broken = [note for note in context.traffic.broken if note.kind == 'feed']
    assert len(broken) == context.own_broken, broken


@behave.then('new flows open elsewhere within {seconds:d} s')
def new_flows_open(context, seconds):
    late = [
        note
        for note in context.traffic.refused
        if note.kind == 'open'
        and note.observed_at > context.killed_at + seconds
    ]
    assert not late, late


@behave.then('no request reached a wrong service')
def no_wrong_service(context):
    for server in context.deployment.servers:
        if context.deployment.processes[server].running:
            counts = context.deployment.status(server)
            assert counts['wrong_service'] == 0, counts


@behave.then('every server that left stops by itself once its feeds end')
def left_servers_stop(context):
    for name in context.left:
        process = context.deployment.processes[name]
        code = process.wait(LEAVE_TIMEOUT_S)
        assert code == 0, (name, code, process.log_text()[-2000:])
