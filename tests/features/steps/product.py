"""Steps for settings, exit codes, logs, metrics and certificates."""

import asyncio
import json
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time
from collections import abc

import behave
import yaml
from behave import runner

from tests import deployment, metrics_page, processes, workload
from tests.builders import settings
from tests.standins import caller
from tests.standins import caller_errors as errors

SERVICE = 'storefront'
KINDS = ('small', 'order', 'pull', 'feed')
POLL_S = 0.2
END_TIMEOUT_S = 20.0
FEED_LINES = 3
OPERATORS = [{'name': 'ama', 'password_hash': '$argon2id$hash'}]
COMMON = settings.Common(
    'accra', 'http://127.0.0.1:9', ('127.0.0.1', 9), ('127.0.0.1:9',)
)
PROGRAMS_BY_INSTANCE = {'balancer-1': 'balancer', 'storefront-1': 'agent'}
PREFIX = 'kumquatport'


def _entries(program: str) -> settings.Settings:
    place = (COMMON, 'product-1', 'accra-a', '127.0.0.1')
    if program == 'agent':
        return settings.agent(*place, SERVICE, ('127.0.0.1', 9))
    if program == 'console':
        return settings.console(*place, OPERATORS)
    return settings.process(*place)


def _run(
    program: str, path: pathlib.Path, *options: str
) -> subprocess.CompletedProcess:
    module = f'kumquatport.process.{program}'
    return subprocess.run(
        [sys.executable, '-m', module, '--settings', str(path), *options],
        capture_output=True,
        text=True,
        timeout=END_TIMEOUT_S,
        cwd=processes.ROOT,
        check=False,
    )


def _make_certificate(folder: pathlib.Path) -> None:
    script = processes.ROOT / 'script' / 'dev-certificate'
    subprocess.run([sys.executable, script, folder], check=True)


def _programs(context: runner.Context) -> list[processes.Process]:
    target = context.deployment
    return [
        target.processes[name] for name in (*target.balancers, *target.agents)
    ]


def _lines(process: processes.Process) -> list[dict]:
    return [json.loads(line) for line in process.log_text().splitlines()]


def _wait_until(seconds: float, holds: abc.Callable[[], bool]) -> bool:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if holds():
            return True
        time.sleep(POLL_S)
    return holds()


def _is_served(context: runner.Context, ca: pathlib.Path) -> bool:
    async def _async_ask() -> bool:
        target = context.deployment
        async with caller.connected(
            target.service_endpoint(SERVICE),
            ca,
            SERVICE,
            local=(target.caller_address, 0),
        ) as connection:
            return (await workload.async_small(connection, SERVICE)).is_correct

    try:
        return context.run(_async_ask())
    except errors.CallerError:
        return False


@behave.given('a deployment of balancers and agents')
def step_deployment(context: runner.Context) -> None:
    plan = deployment.accra(1, 1, 2)
    context.deployment = deployment.Deployment(plan)
    context.deployments.append(context.deployment)
    context.deployment.start()


@behave.given('a caller that reads a feed of storefront')
def step_feed(context: runner.Context) -> None:
    async def _async_open() -> None:
        target = context.deployment
        context.feeder = await caller.async_connect(
            target.service_endpoint(SERVICE),
            target.ca,
            SERVICE,
            local=(target.caller_address, 0),
        )
        exchange = context.feeder.start('GET', '/feed', workload.CLIENT_ACCOUNT)
        context.feed = exchange.async_lines()
        context.last = await anext(context.feed)

    context.run(_async_open())


@behave.when('the {program} is started with the malformed setting {change}')
def step_malformed(context: runner.Context, program: str, change: str) -> None:
    key, _, value = change.partition(': ')
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        settings.write_keys(folder)
        entries = {**_entries(program), key: yaml.safe_load(value)}
        context.ended = _run(program, settings.write(folder, entries))


@behave.when('the certificate and the private key are replaced')
def step_replace(context: runner.Context) -> None:
    folder = context.deployment.folder
    context.old_ca = folder / 'old.pem'
    shutil.copy(context.deployment.ca, context.old_ca)
    _make_certificate(folder)


@behave.when('only the private key is replaced')
def step_replace_key(context: runner.Context) -> None:
    with tempfile.TemporaryDirectory() as name:
        _make_certificate(pathlib.Path(name))
        key = pathlib.Path(name) / 'key.pem'
        shutil.copy(key, context.deployment.folder / 'key.pem')


@behave.when('the process of {name} has stopped')
def step_stop(context: runner.Context, name: str) -> None:
    process = context.deployment.processes[name]
    process.term()
    assert process.wait(END_TIMEOUT_S) == 0


@behave.when('another process is started with the settings of {name}')
def step_second(context: runner.Context, name: str) -> None:
    path = context.deployment.folder / f'{name}.yaml'
    context.ended = _run(PROGRAMS_BY_INSTANCE[name], path)


@behave.when('the settings of {name} are checked with --check')
def step_check(context: runner.Context, name: str) -> None:
    path = context.deployment.folder / f'{name}.yaml'
    context.ended = _run(PROGRAMS_BY_INSTANCE[name], path, '--check')


@behave.when('one request of each kind is sent to storefront')
def step_requests(context: runner.Context) -> None:
    outcomes = context.run(
        workload.async_call(context.deployment, SERVICE, KINDS)
    )
    assert all(outcome.is_correct for outcome in outcomes), outcomes


@behave.then(
    'the program exits with {code:d} and logs one line with {error_code}, '
    'a line number and {key}'
)
def step_refused(
    context: runner.Context, code: int, error_code: str, key: str
) -> None:
    assert context.ended.returncode == code, context.ended
    (line,) = context.ended.stderr.splitlines()
    logged = json.loads(line)
    assert logged['code'] == error_code, logged
    assert re.search(rf':\d+: {re.escape(key)}: ', logged['error']), logged


def _codes(context: runner.Context) -> list[str]:
    lines = [json.loads(line) for line in context.ended.stderr.splitlines()]
    return [line['code'] for line in lines if 'code' in line]


@behave.then(
    'the program exits with {code:d} '
    'and logs the single error code {error_code}'
)
def step_ended(context: runner.Context, code: int, error_code: str) -> None:
    assert context.ended.returncode == code, context.ended
    assert _codes(context) == [error_code], context.ended


@behave.then('the program exits with {code:d} and logs no error code')
def step_ended_well(context: runner.Context, code: int) -> None:
    assert context.ended.returncode == code, context.ended
    assert not _codes(context), context.ended


@behave.then(
    'within {seconds:d} seconds new connections receive the new certificate'
)
def step_new_certificate(context: runner.Context, seconds: int) -> None:
    ca = context.deployment.ca
    assert _wait_until(seconds, lambda: _is_served(context, ca))
    assert not _is_served(context, context.old_ca)


@behave.then('the feed continues without a gap')
def step_feed_goes_on(context: runner.Context) -> None:
    async def _async_read() -> list[str]:
        async with asyncio.timeout(END_TIMEOUT_S):
            return [await anext(context.feed) for _ in range(FEED_LINES)]

    numbers = [int(context.last.split()[1])]
    numbers += [int(line.split()[1]) for line in context.run(_async_read())]
    first = numbers[0]
    assert numbers == list(range(first, first + FEED_LINES + 1)), numbers
    context.run(context.feeder.async_close())


@behave.then('new connections are still served')
def step_still_served(context: runner.Context) -> None:
    assert _is_served(context, context.deployment.ca)


@behave.then('within {seconds:d} seconds each agent logs {code} once')
def step_logged_once(context: runner.Context, seconds: int, code: str) -> None:
    def _counts() -> list[int]:
        agents = [
            context.deployment.processes[name]
            for name in context.deployment.agents
        ]
        return [
            sum(line.get('code') == code for line in _lines(agent))
            for agent in agents
        ]

    assert _wait_until(seconds, lambda: all(_counts())), _counts()
    time.sleep(seconds / 2)
    assert set(_counts()) == {1}, _counts()


@behave.then('no log contains a secret key')
def step_no_key(context: runner.Context) -> None:
    folder = context.deployment.folder
    private = (folder / 'key.pem').read_text().splitlines()[1:-1]
    secrets = [*private, settings.SHARED_KEY, settings.SESSION_KEY]
    for process in _programs(context):
        text = process.log_text()
        assert text
        assert not any(secret in text for secret in secrets), process.name


@behave.then('within {seconds:d} seconds the StatsD receiver has')
def step_metrics(context: runner.Context, seconds: int) -> None:
    wanted = {f'{PREFIX}.{row["metric"]}' for row in context.table}

    def _missing() -> set[str]:
        report = context.deployment.status('statsd')
        assert not report['malformed'], report
        return wanted - set(report['counters']) - set(report['gauges'])

    assert _wait_until(seconds, lambda: not _missing()), _missing()


@behave.then('every received metric is documented')
def step_on_page(context: runner.Context) -> None:
    report = context.deployment.status('statsd')
    names = {
        name.split('.', maxsplit=3)[3]
        for name in (*report['counters'], *report['gauges'])
    }
    unknown = [name for name in names if not metrics_page.covers(name)]
    assert not unknown, unknown


@behave.then('every log line names its instance and failure domain')
def step_lines(context: runner.Context) -> None:
    for process in _programs(context):
        lines = _lines(process)
        assert lines
        for line in lines:
            assert line['instance'] == process.name, line
            domain = context.deployment.plan.failure_domain(process.name)
            assert line['failure_domain'] == domain, line


@behave.then('each program exits with {code:d} on SIGTERM')
def step_sigterm(context: runner.Context, code: int) -> None:
    ending = _programs(context)
    for process in ending:
        process.term()
    codes = {process.name: process.wait(END_TIMEOUT_S) for process in ending}
    assert set(codes.values()) == {code}, codes
