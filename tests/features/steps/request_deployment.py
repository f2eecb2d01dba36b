"""Steps for requests through a complete deployment."""

import time

import behave
from behave import runner

from tests import deployment, traffic
from tests.builders import plans

SERVICE = 'storefront'
WATCH_S = 4.0
JOIN_S = 2.0
WAVE_S = 2.0


@behave.given(
    'a deployment of {servers:d} storefront servers'
    ' with {median:d} ms median service time'
)
def step_deployment(context: runner.Context, servers: int, median: int) -> None:
    options = deployment.Options(
        seed=20261204, backend=(f'--service-s={median / 1000}',)
    )
    context.deployment = deployment.Deployment(plans.accra(servers, 1), options)
    context.deployments.append(context.deployment)
    context.deployment.start()


@behave.given(
    '{feeds:d} feeds and {workers:d} workers that send requests to storefront'
)
def step_traffic(context: runner.Context, feeds: int, workers: int) -> None:
    context.traffic = traffic.Traffic(context.deployment)
    context.run(context.traffic.async_start(feeds, workers, [SERVICE]))
    time.sleep(2)


def _report(context: runner.Context, name: str) -> dict:
    return context.deployment.control(f'{name}-server', {})


@behave.when('the first storefront server reports that it is leaving')
def step_leaving(context: runner.Context) -> None:
    context.deployment.control(f'{SERVICE}-1-server', {'leaving': True})


@behave.then('the leaving server receives no new requests from {since:d} s on')
def step_no_new_work(context: runner.Context, since: int) -> None:
    time.sleep(since)
    before = _report(context, f'{SERVICE}-1')
    time.sleep(WATCH_S)
    after = _report(context, f'{SERVICE}-1')
    print(
        f'FIGURE {context.scenario.name}:'
        f' new work after leaving={before["after_leaving"]}'
        f' of it after {since} s='
        f'{after["after_leaving"] - before["after_leaving"]}'
    )
    assert after['after_leaving'] == before['after_leaving']


@behave.when('a cold storefront server joins')
def step_joins(context: runner.Context) -> None:
    joined = context.deployment.add_backend_server(SERVICE)
    context.deployment.start_processes([f'{joined}-server'])
    context.deployment.control(
        f'{joined}-server', {'cold': True, 'announced': False}
    )
    context.deployment.start_processes([joined])
    context.joined = joined
    time.sleep(JOIN_S)


@behave.when('{waves:d} waves of {workers:d} workers start')
def step_waves(context: runner.Context, waves: int, workers: int) -> None:
    context.wave_workers = workers
    for _ in range(waves):
        _begin_wave(context)


def _begin_wave(context: runner.Context) -> None:
    workers = context.wave_workers
    context.run(context.traffic.async_start(0, workers, [SERVICE]))
    time.sleep(WAVE_S)


@behave.when(
    'up to {waves:d} more waves start until the joined server has served'
    ' {count:d} requests'
)
def step_more_waves(context: runner.Context, waves: int, count: int) -> None:
    for made in range(waves):
        served = _report(context, context.joined)['started']
        print(
            f'FIGURE {context.scenario.name}: waves_more={made} served={served}'
        )
        if served >= count:
            return
        _begin_wave(context)


@behave.then('no storefront server has collapsed')
def step_none_collapsed(context: runner.Context) -> None:
    for name in context.deployment.agents:
        report = _report(context, name)
        print(
            f'FIGURE {context.scenario.name}: {name}'
            f' started={report["started"]} collapses={report["collapses"]}'
        )
        assert report['collapses'] == 0, report


@behave.then('the joined server has served at least {count:d} requests')
def step_joined_served(context: runner.Context, count: int) -> None:
    assert _report(context, context.joined)['started'] >= count


@behave.then('no flow of the callers is broken')
def step_unbroken(context: runner.Context) -> None:
    context.run(context.traffic.async_stop())
    print(f'FIGURE {context.scenario.name}: {dict(context.traffic.results())}')
    assert not context.traffic.broken, context.traffic.broken
