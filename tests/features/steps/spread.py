"""Steps of documents that spread."""

import pathlib
import random
import socket
import time

import behave
from behave import runner

from kumquatport.connection.control import client, frame, traffic
from kumquatport.version.replication import publish
from tests import browser, consoles, deployment, version_watch
from tests.builders import datagrams, documents, plans, settings

PACKET_PAUSE_S = 0.002
ROUND_S = 0.5


def _names(context: runner.Context) -> list[str]:
    return [*context.deployment.balancers, *context.deployment.agents]


def _accept(context: runner.Context, **changes) -> None:
    context.content = context.deployment.document(**changes)
    context.version = context.deployment.put_document(context.content)


@behave.given(
    'a spread of {balancers:d} balancers and {servers:d} storefront servers'
)
def start(context: runner.Context, balancers: int, servers: int) -> None:
    _start(context, balancers, servers, ())


@behave.given(
    'a spread of {balancers:d} balancers and {servers:d} storefront servers'
    ' whose links can be cut'
)
def start_with_links(
    context: runner.Context, balancers: int, servers: int
) -> None:
    _start(context, balancers, servers, ('peers->*',))


@behave.given(
    'a spread of {balancers:d} balancers and {servers:d} storefront servers'
    ' cut off from the platform'
)
def start_cut_off(
    context: runner.Context, balancers: int, servers: int
) -> None:
    _start(context, balancers, servers, ('balancer-*->platform',))
    rules = {'balancer-*->platform': {'both': {'cut': True}}}
    context.deployment.set_faults(rules)


@behave.when('an operator takes {domain} out at a console of the spread')
def accept_at_console(context: runner.Context, domain: str) -> None:
    url = context.deployment.add_console(consoles.operators())
    context.deployment.start_processes(['console-1'])
    context.run(_async_take_out(url, context.deployment.ca, domain))
    context.version += 1


async def _async_take_out(url: str, ca: pathlib.Path, domain: str) -> None:
    one = browser.Browser(url, ca)
    await one.async_sign_in('ama', consoles.OPERATORS['ama'])
    review = await one.async_review(f'out:{domain}')
    applied = await one.async_post('/apply', review.hidden)
    assert 'Accepted' in applied.text, applied.text


def _start(
    context: runner.Context, balancers: int, servers: int, faults: tuple
) -> None:
    plan = plans.accra(servers, 1, balancers)
    options = deployment.Options(faults=faults)
    context.deployment = deployment.Deployment(plan, options)
    context.deployments.append(context.deployment)
    context.deployment.start()
    context.version = 1
    context.watch = version_watch.VersionWatch(
        context.deployment, _names(context)
    )
    context.add_cleanup(context.watch.close)
    context.watch.wait_for(1, _names(context), 10)


@behave.when('the links into {one} and {other} of the spread are cut')
def cut_two(context: runner.Context, one: str, other: str) -> None:
    rules = {
        f'peers->{name}/control': {'both': {'cut': True}}
        for name in (one, other)
    }
    context.deployment.set_faults(rules)


@behave.when('all links of the spread are cut for {seconds:d} s')
def cut_all(context: runner.Context, seconds: int) -> None:
    rules = {'peers->*/control': {'both': {'cut': True}}}
    context.deployment.set_faults(rules)
    time.sleep(seconds)


@behave.when('all links of the spread heal')
def heal(context: runner.Context) -> None:
    context.deployment.set_faults({'peers->*/control': {}})


@behave.when('the platform of the spread answers {seconds:f} s late')
def slow_platform(context: runner.Context, seconds: float) -> None:
    order = {'mode': 'slow', 'delay_s': seconds}
    context.deployment.control('platform', order)


@behave.when('the platform of the spread goes down')
def stop_platform(context: runner.Context) -> None:
    context.deployment.control('platform', {'mode': 'down'})


@behave.when("the spread's next document is accepted")
def accept(context: runner.Context) -> None:
    _accept(context)


@behave.when(
    "the spread's next document is accepted and handed to {count:d} balancers"
)
def accept_and_publish(context: runner.Context, count: int) -> None:
    _accept(context)
    chosen = context.deployment.balancers[-count:]
    endpoints = [
        f'{context.deployment.address(name)}:{settings.CONTROL_PORT}'
        for name in chosen
    ]
    encoded = documents.encode(context.content)
    held = context.run(_async_publish(endpoints, context.version, encoded))
    assert held == count, held


async def _async_publish(
    endpoints: list[str], version: int, encoded: bytes
) -> int:
    key = frame.control_key(bytes.fromhex(settings.SHARED_KEY))
    asker = client.ControlClient(key, traffic.Traffic())
    await asker.start()
    try:
        return await publish.async_publish(asker, endpoints, version, encoded)
    finally:
        await asker.stop()


@behave.when("the spread's next document takes out its failure domain")
def take_out(context: runner.Context) -> None:
    _accept(context, out=(context.domain,))
    others = [name for name in _names(context) if name != 'balancer-1']
    others.remove(context.killed)
    context.watch.wait_for(context.version, others, 4)


@behave.when('{name} of the spread is frozen')
def freeze(context: runner.Context, name: str) -> None:
    context.watch.skipped.add(name)
    context.deployment.freeze(name)


@behave.when('{name} of the spread resumes')
def resume(context: runner.Context, name: str) -> None:
    context.deployment.thaw(name)
    context.watch.reset(name)
    context.watch.skipped.discard(name)


@behave.when('each balancer of the spread is killed and started again in turn')
def replace_balancers(context: runner.Context) -> None:
    for name in context.deployment.balancers:
        context.deployment.kill(name)
        context.watch.reset(name)
        context.deployment.start_processes([name])


@behave.when('each agent of the spread is killed and started again in turn')
def replace_agents(context: runner.Context) -> None:
    for name in context.deployment.agents:
        context.deployment.kill(name)
        context.watch.reset(name)
        context.deployment.start_processes([name])


@behave.when('all balancers of the spread are killed and started again at once')
def replace_all(context: runner.Context) -> None:
    for name in context.deployment.balancers:
        context.deployment.kill(name)
    for name in context.deployment.balancers:
        context.watch.reset(name)
        context.deployment.processes[name].start()


@behave.when(
    '{count:d} documents of the spread are accepted amid kills and freezes'
    ' with seed {seed:d}'
)
def churn(context: runner.Context, count: int, seed: int) -> None:
    source = random.Random(seed)
    for _ in range(count):
        name = source.choice(_names(context))
        if source.random() < 0.5:
            context.deployment.kill(name)
            _accept(context)
            context.watch.reset(name)
            context.deployment.processes[name].start()
            time.sleep(ROUND_S)
        else:
            freeze(context, name)
            _accept(context)
            time.sleep(source.uniform(1, 4) * ROUND_S)
            resume(context, name)


@behave.when('agent {name} of the spread is killed and its port watched')
def watch_port(context: runner.Context, name: str) -> None:
    deployed = context.deployment
    context.killed = name
    context.domain = deployed.plan.failure_domain(name)
    deployed.kill(name)
    context.port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.port.close)
    context.port.bind((deployed.address(name), settings.DATA_PORT))
    context.port.setblocking(False)


@behave.when('{count:d} opening packets wait at {name} of the spread')
def send_openings(context: runner.Context, count: int, name: str) -> None:
    deployed = context.deployment
    target = deployed.address(name), deployed.entry_port('storefront')
    for _ in range(count):
        # A port for each, because the port decides who owns the flow.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((deployed.caller_address, 0))
            sender.sendto(datagrams.opening(), target)
        time.sleep(PACKET_PAUSE_S)


@behave.then(
    'the watched port of the spread gets {count:d} packets in {seconds:d} s'
)
def check_port(context: runner.Context, count: int, seconds: int) -> None:
    time.sleep(seconds)
    got = 0
    while True:
        try:
            context.port.recv(65536)
        except BlockingIOError:
            break
        got += 1
    assert got == count, f'{got} packets'


@behave.then(
    "the spread's document is in force everywhere within {seconds:d} s"
)
def check_everywhere(context: runner.Context, seconds: int) -> None:
    names = set(_names(context)) - {getattr(context, 'killed', '')}
    took = context.watch.wait_for(context.version, names, seconds)
    print(f'in force everywhere after {took:.2f} s')


@behave.then(
    "the spread's document is in force at all others within {seconds:d} s"
)
def check_others(context: runner.Context, seconds: int) -> None:
    names = set(_names(context)) - context.watch.skipped
    took = context.watch.wait_for(context.version, names, seconds)
    print(f'in force at all others after {took:.2f} s')


@behave.then('no process of the spread showed a lower version than before')
def check_steps_back(context: runner.Context) -> None:
    found = context.watch.regressions()
    print(f'{len(context.watch.samples)} versions seen')
    assert not found, found
