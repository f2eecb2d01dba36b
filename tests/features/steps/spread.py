"""Steps of the replication of documents to all processes."""

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

PACKET_INTERVAL_S = 0.002
DISRUPTION_INTERVAL_S = 0.5


def _names(context: runner.Context) -> list[str]:
    return [*context.deployment.balancers, *context.deployment.agents]


def _accept(context: runner.Context, **changes) -> None:
    context.content = context.deployment.document(**changes)
    context.version = context.deployment.put_document(context.content)


@behave.given(
    'a deployment with {balancers:d} balancers and {servers:d} storefront '
    'servers'
)
def start(context: runner.Context, balancers: int, servers: int) -> None:
    _start(context, balancers, servers, ())


@behave.given(
    'a deployment with {balancers:d} balancers and {servers:d} storefront '
    'servers whose control links can be cut'
)
def start_with_links(
    context: runner.Context, balancers: int, servers: int
) -> None:
    _start(context, balancers, servers, ('peers->*',))


@behave.given(
    'a deployment with {balancers:d} balancers and {servers:d} storefront '
    'servers, its balancers cut off from the platform'
)
def start_cut_off(
    context: runner.Context, balancers: int, servers: int
) -> None:
    _start(context, balancers, servers, ('balancer-*->platform',))
    rules = {'balancer-*->platform': {'both': {'cut': True}}}
    context.deployment.set_faults(rules)


@behave.when(
    'an operator takes failure domain {domain} out of service at a console'
)
def take_out_at_console(context: runner.Context, domain: str) -> None:
    url = context.deployment.add_console(consoles.operators())
    context.deployment.start_processes(['console-1'])
    context.run(_async_take_out(url, context.deployment.ca, domain))
    context.version += 1


async def _async_take_out(url: str, ca: pathlib.Path, domain: str) -> None:
    client_browser = browser.Browser(url, ca)
    await client_browser.async_sign_in('ama', consoles.OPERATORS['ama'])
    review = await client_browser.async_review(f'out:{domain}')
    applied = await client_browser.async_post('/apply', review.hidden)
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


@behave.when('the control links to {first} and {second} are cut')
def cut_control_links(context: runner.Context, first: str, second: str) -> None:
    rules = {
        f'peers->{name}/control': {'both': {'cut': True}}
        for name in (first, second)
    }
    context.deployment.set_faults(rules)


@behave.when('all control links have been cut for {seconds:d} s')
def cut_all_control_links(context: runner.Context, seconds: int) -> None:
    rules = {'peers->*/control': {'both': {'cut': True}}}
    context.deployment.set_faults(rules)
    time.sleep(seconds)


@behave.when('all control links are restored')
def restore_control_links(context: runner.Context) -> None:
    context.deployment.set_faults({'peers->*/control': {}})


@behave.when('the platform responds with a delay of {seconds:f} s')
def delay_platform(context: runner.Context, seconds: float) -> None:
    command = {'mode': 'slow', 'delay_s': seconds}
    context.deployment.control('platform', command)


@behave.when('the platform goes down and stays down')
def stop_platform(context: runner.Context) -> None:
    context.deployment.control('platform', {'mode': 'down'})


@behave.when('the next document is accepted')
def accept(context: runner.Context) -> None:
    _accept(context)


@behave.when(
    'the next document is accepted and published to {count:d} balancers'
)
def accept_and_publish(context: runner.Context, count: int) -> None:
    _accept(context)
    chosen = context.deployment.balancers[-count:]
    endpoints = [
        f'{context.deployment.address(name)}:{settings.CONTROL_PORT}'
        for name in chosen
    ]
    encoded = documents.encode(context.content)
    confirmed = context.run(_async_publish(endpoints, context.version, encoded))
    assert confirmed == count, confirmed


async def _async_publish(
    endpoints: list[str], version: int, encoded: bytes
) -> int:
    key = frame.control_key(bytes.fromhex(settings.SHARED_KEY))
    control_client = client.ControlClient(key, traffic.Traffic())
    await control_client.start()
    try:
        return await publish.async_publish(
            control_client, endpoints, version, encoded
        )
    finally:
        await control_client.stop()


@behave.when(
    'the next document takes the failure domain of that agent out of service'
)
def take_out(context: runner.Context) -> None:
    _accept(context, out=(context.domain,))
    others = [name for name in _names(context) if name != 'balancer-1']
    others.remove(context.killed)
    context.watch.wait_for(context.version, others, 4)


@behave.when('process {name} is suspended')
def suspend(context: runner.Context, name: str) -> None:
    context.watch.skipped.add(name)
    context.deployment.suspend(name)


@behave.when('process {name} is resumed')
def resume(context: runner.Context, name: str) -> None:
    context.deployment.resume(name)
    context.watch.reset(name)
    context.watch.skipped.discard(name)


@behave.when('each balancer is killed and restarted in turn')
def restart_balancers(context: runner.Context) -> None:
    for name in context.deployment.balancers:
        context.deployment.kill(name)
        context.watch.reset(name)
        context.deployment.start_processes([name])


@behave.when('each agent is killed and restarted in turn')
def restart_agents(context: runner.Context) -> None:
    for name in context.deployment.agents:
        context.deployment.kill(name)
        context.watch.reset(name)
        context.deployment.start_processes([name])


@behave.when('all balancers are killed and restarted at once')
def restart_all_balancers(context: runner.Context) -> None:
    for name in context.deployment.balancers:
        context.deployment.kill(name)
    for name in context.deployment.balancers:
        context.watch.reset(name)
        context.deployment.processes[name].start()


@behave.when(
    '{count:d} documents are accepted while processes are killed or suspended'
    ' with seed {seed:d}'
)
def accept_with_disruptions(
    context: runner.Context, count: int, seed: int
) -> None:
    source = random.Random(seed)
    for _ in range(count):
        name = source.choice(_names(context))
        if source.random() < 0.5:
            context.deployment.kill(name)
            _accept(context)
            context.watch.reset(name)
            context.deployment.processes[name].start()
            time.sleep(DISRUPTION_INTERVAL_S)
        else:
            suspend(context, name)
            _accept(context)
            time.sleep(source.uniform(1, 4) * DISRUPTION_INTERVAL_S)
            resume(context, name)


@behave.when('agent {name} is killed and the test binds its data port')
def bind_data_port(context: runner.Context, name: str) -> None:
    deployed = context.deployment
    context.killed = name
    context.domain = deployed.plan.failure_domain(name)
    deployed.kill(name)
    context.port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.port.close)
    context.port.bind((deployed.address(name), settings.DATA_PORT))
    context.port.setblocking(False)


@behave.when(
    '{count:d} opening packets are sent to the storefront entry port of {name}'
)
def send_opening_packets(
    context: runner.Context, count: int, name: str
) -> None:
    deployed = context.deployment
    target = deployed.address(name), deployed.entry_port('storefront')
    for _ in range(count):
        # The source port decides who owns the flow, so each packet uses its own.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((deployed.caller_address, 0))
            sender.sendto(datagrams.opening(), target)
        time.sleep(PACKET_INTERVAL_S)


@behave.then(
    'the test receives {count:d} packets at the data port in {seconds:d} s'
)
def check_received_packets(
    context: runner.Context, count: int, seconds: int
) -> None:
    time.sleep(seconds)
    received = 0
    while True:
        try:
            context.port.recv(65536)
        except BlockingIOError:
            break
        received += 1
    assert received == count, f'{received} packets'


@behave.then(
    'the last document is in force at all running processes within {seconds:d} s'
)
def check_running_processes(context: runner.Context, seconds: int) -> None:
    names = set(_names(context)) - {getattr(context, 'killed', '')}
    elapsed_s = context.watch.wait_for(context.version, names, seconds)
    print(f'in force at all running processes after {elapsed_s:.2f} s')


@behave.then(
    'the last document is in force at all processes not suspended within '
    '{seconds:d} s'
)
def check_processes_not_suspended(
    context: runner.Context, seconds: int
) -> None:
    names = set(_names(context)) - context.watch.skipped
    elapsed_s = context.watch.wait_for(context.version, names, seconds)
    print(f'in force at all processes not suspended after {elapsed_s:.2f} s')


@behave.then('no process reported a lower document version than before')
def check_no_regression(context: runner.Context) -> None:
    regressions = context.watch.regressions()
    print(f'{len(context.watch.samples)} samples of the document version')
    assert not regressions, regressions
