"""Steps of flows that must survive changes of instances."""

import time

import behave
from behave import runner

from tests import deployment, traffic
from tests.builders import plans

DETECTION_S = 2.0
SETTLE_S = 1.0
LEAVE_TIMEOUT_S = 30.0


def _start(
    context: runner.Context, plan: plans.Plan, faults: tuple[str, ...] = ()
) -> None:
    options = deployment.Options(seed=20261204, faults=faults)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()
    context.left = []


@behave.given(
    'flows through a lakes deployment with {desk:d} desk and {archive:d} '
    'archive servers'
)
def start_lakes(context, desk, archive):
    _start(context, plans.lakes(desk, archive))


@behave.given(
    'flows through an accra deployment with {storefront:d} storefront and '
    '{manuals:d} manuals servers'
)
def start_accra(context, storefront, manuals):
    _start(context, plans.accra(storefront, manuals))


@behave.given(
    'flows through a lakes deployment with the fault proxy at "{path}"'
)
def start_with_fault_proxy(context, path):
    _start(context, plans.lakes(), (path,))


@behave.given('{feeds:d} feeds and {workers:d} workers to each service')
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
    others = [other for other in context.deployment.balancers if other != name]
    context.deployment.set_fabric(others)
    context.deployment.restart(name)
    context.deployment.set_fabric(context.deployment.balancers)
    time.sleep(SETTLE_S)


@behave.when('every backend server and every balancer is replaced')
def replace_all(context):
    balancers = list(context.deployment.balancers)
    for name in context.deployment.plan.agents:
        _replace_server(context, name)
        if balancers:
            _replace_balancer(context, balancers.pop())


@behave.when('each balancer is killed and a new one joins')
def kill_balancers(context):
    alive = list(context.deployment.balancers)
    for name in tuple(alive):
        context.deployment.kill(name)
        # Until the fabric is updated, it still sends packets to the killed balancer.
        time.sleep(SETTLE_S)
        alive.remove(name)
        joined = context.deployment.add_balancer()
        context.deployment.start_processes([joined])
        alive.append(joined)
        context.deployment.set_fabric(alive)
        time.sleep(SETTLE_S)


@behave.when(
    'balancer-2 receives no control traffic for {seconds:d} s while servers '
    'join and leave'
)
def cut_control_links(context, seconds):
    deadline = time.monotonic() + seconds
    context.deployment.set_faults(
        {'peers->balancer-2/control': {'both': {'cut': True}}}
    )
    for name in context.deployment.plan.agents:
        _replace_server(context, name)
    while time.monotonic() < deadline:
        time.sleep(0.5)
    context.deployment.set_faults({'peers->balancer-2/control': {}})
    time.sleep(SETTLE_S)


def _feeds_at(context, name):
    server = f'{name}-server'
    return [
        observation
        for observation in context.traffic.feeds.values()
        if observation.result == server
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
    time.sleep(DETECTION_S + SETTLE_S)


@behave.when('the agent of a storefront server is killed and restarted')
def restart_agent(context):
    _kill_agent(context)
    context.deployment.start_processes([context.killed])
    time.sleep(DETECTION_S + SETTLE_S)


@behave.then('the replacements caused at least {count:d} table changes')
def table_changes(context, count):
    changes = 2 * len(context.left)
    assert changes >= count, changes


def _stop_traffic(context):
    if not context.traffic._stopping:
        context.run(context.traffic.async_stop())
        print(dict(context.traffic.results()))


@behave.then('no flow is broken')
def no_broken_flow(context):
    _stop_traffic(context)
    assert not context.traffic.broken, context.traffic.broken
    assert context.traffic.answered


@behave.then('the callers of its flows detect the loss within {seconds:d} s')
def callers_detect_loss(context, seconds):
    broken = [
        observation
        for observation in context.traffic.broken
        if observation.kind == 'feed'
    ]
    late = [
        observation
        for observation in broken
        if observation.observed_at - context.killed_at > seconds
    ]
    delays_s = [
        round(observation.observed_at - context.killed_at, 2)
        for observation in broken
    ]
    print('seconds until callers detected the loss', delays_s)
    assert len(broken) == context.feeds_killed, (broken, context.feeds_killed)
    assert not late, late
    context.broken_feeds = len(broken)


@behave.then('no other flow is broken')
def no_other_broken_flow(context):
    _stop_traffic(context)
    broken = [
        observation
        for observation in context.traffic.broken
        if observation.kind == 'feed'
    ]
    assert len(broken) == context.broken_feeds, broken


@behave.then('new flows open at other backend servers within {seconds:d} s')
def new_flows_open(context, seconds):
    late = [
        observation
        for observation in context.traffic.refused
        if observation.kind == 'open'
        and observation.observed_at > context.killed_at + seconds
    ]
    assert not late, late


@behave.then('no request reached a wrong service')
def no_wrong_service(context):
    for server in context.deployment.servers:
        if context.deployment.processes[server].running:
            counts = context.deployment.status(server)
            assert counts['wrong_service'] == 0, counts


@behave.then('every agent that left exits with code 0 once its feeds end')
def left_agents_exit(context):
    for name in context.left:
        process = context.deployment.processes[name]
        code = process.wait(LEAVE_TIMEOUT_S)
        assert code == 0, (name, code, process.log_text()[-2000:])
