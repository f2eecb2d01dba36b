"""Steps of kumquatportctl, each verb as a process."""

import concurrent.futures
import functools
import json
import subprocess
import time
import typing

import behave
from behave import runner

from kumquatport.version import document
from tests import consoles
from tests.builders import documents
from tests.standins import runner as standin_runner
from tests.standins import update_relay

RELAY_PORT = 9300
SILENCE_S = 0.2


def _run(
    context: runner.Context, code: int, *arguments: str
) -> dict[str, typing.Any]:
    """Run a verb, check its exit code and return its JSON."""
    done = context.consoles.run_ctl('--json', *arguments)
    return _answer(done, code)


def _answer(
    done: 'subprocess.CompletedProcess[bytes]', code: int
) -> dict[str, typing.Any]:
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)
    assert b'Traceback' not in done.stderr, done.stderr
    return json.loads(done.stdout)


def _file(context: runner.Context, name: str, entry: documents.Entry) -> str:
    return context.consoles.write(name, documents.encode(entry))


def _in_force(context: runner.Context) -> documents.Entry:
    return consoles.decode_document(context.consoles.in_force()[1])


def _changed(context: runner.Context, weight: float) -> documents.Entry:
    """Return what is in force with another weight in every rule."""
    version, value = context.consoles.in_force()
    entry = consoles.decode_document(value)
    for rule in entry['rules']:
        rule['weight'] = weight
    return {**entry, 'base_version': version}


def _out(context: runner.Context) -> list[str]:
    rows = _in_force(context)['failure_domains']
    return [row['name'] for row in rows if row['out']]


@behave.given('a platform that kumquatportctl reaches')
def given_platform(context: runner.Context) -> None:
    context.consoles = consoles.Consoles()
    context.deployments.append(context.consoles)
    context.ctl_document = context.consoles.document()


@behave.given('a document of version 1 that kumquatportctl applied')
def given_applied(context: runner.Context) -> None:
    path = _file(context, 'document.json', context.ctl_document)
    _run(context, 0, 'apply', path)
    context.ctl_before = context.consoles.in_force()


@behave.then('"validate" of a valid document exits with {code:d}')
def validates(context: runner.Context, code: int) -> None:
    path = _file(context, 'document.json', context.ctl_document)
    assert _run(context, code, 'validate', path) == {'valid': True}


@behave.then(
    '"diff" of a valid document exits with {code:d} and names what is added'
)
def differs(context: runner.Context, code: int) -> None:
    path = _file(context, 'document.json', context.ctl_document)
    answer = _run(context, code, 'diff', path)
    added = [path for path, before, _ in answer['changes'] if not before]
    assert 'services[storefront]' in added, answer
    assert context.consoles.in_force() == (0, b'')


@behave.then(
    '"apply" of a valid document exits with {code:d} and it is in force whole'
)
def applies(context: runner.Context, code: int) -> None:
    path = _file(context, 'document.json', context.ctl_document)
    answer = _run(context, code, '--operator', 'ama', 'apply', path)
    version, value = context.consoles.in_force()
    assert answer['version'] == version == 1, answer
    parsed = document.parse(value)
    given = document.parse(documents.encode(context.ctl_document))
    assert not document.compare(parsed, given)
    assert parsed['identifier'] == answer['identifier'], parsed
    assert parsed['operator'] == 'ama', parsed


@behave.then(
    '"show" exits with {code:d} and its answer applies again after an edit'
)
def shows(context: runner.Context, code: int) -> None:
    done = context.consoles.run_ctl('show')
    assert done.returncode == code, done
    draft = json.loads(done.stdout)
    draft['failure_domains'][0]['out'] = True
    stdin = json.dumps(draft).encode()
    done = context.consoles.run_ctl('--json', 'apply', '-', stdin=stdin)
    assert _answer(done, 0)['version'] == 2


@behave.then(
    '"history" exits with {code:d} and lists both versions with their changes'
)
def lists(context: runner.Context, code: int) -> None:
    entries = _run(context, code, 'history')['entries']
    assert [entry['version'] for entry in entries] == [2, 1], entries
    assert entries[0]['changes'] == [
        'failure_domains[accra-a].out: false -> true'
    ], entries
    assert entries[1]['operator'] == 'ama', entries


@behave.then(
    '"status" exits with {code:d} and tells the version and what is out'
)
def tells(context: runner.Context, code: int) -> None:
    answer = _run(context, code, 'status', '--instance', 'http://127.30.0.1:9')
    assert answer['version'] == 2, answer
    assert answer['failure_domains_out'] == ['accra-a'], answer
    assert answer['instances'][0]['document_version'] is None, answer


@behave.then(
    '"{verb}" of a broken document exits with {code:d} '
    'and names {count:d} faults'
)
def names_faults(
    context: runner.Context, verb: str, code: int, count: int
) -> None:
    entry = json.loads(documents.encode(context.ctl_document))
    entry['services'][1]['entry_port'] = entry['services'][0]['entry_port']
    entry['services'][0]['limits']['slots'] = 0
    entry['rules'][0]['service'] = 'desk'
    path = _file(context, 'broken.json', entry)
    faults = _run(context, code, verb, path)['faults']
    assert len(faults) == count, faults
    assert {at for at, _ in faults} == {
        'rules[0].service',
        'services[0].limits.slots',
        'services[1].entry_port',
    }, faults


@behave.then(
    '"apply" of a missing file exits with {code:d} and names {count:d} faults'
)
def missing(context: runner.Context, code: int, count: int) -> None:
    answer = _run(context, code, 'apply', '/nowhere/document.json')
    assert len(answer['faults']) == count, answer


@behave.then('nothing was written by kumquatportctl')
def nothing_written(context: runner.Context) -> None:
    calls = context.consoles.control({})['calls']
    assert not calls.get('put'), calls


@behave.then('kumquatportctl exits with {code:d} for each wrong usage')
def wrong_usage(context: runner.Context, code: int) -> None:
    for arguments in (
        (),
        ('unknown',),
        ('apply',),
        ('domain', 'sideways', 'accra-a'),
        ('history', '--count', '0'),
        ('--settings', '/nowhere.yaml', 'show'),
        ('--operator', 'two words', 'show'),
    ):
        done = context.consoles.run_ctl(*arguments)
        assert done.returncode == code, (arguments, done)
        assert b'Traceback' not in done.stderr, done.stderr
        assert done.stderr, arguments


@behave.then(
    '"apply" of a document on version {base:d} exits with {code:d} '
    'and shows both'
)
def conflicts(context: runner.Context, base: int, code: int) -> None:
    entry = {**_changed(context, 3.0), 'base_version': base}
    answer = _run(context, code, 'apply', _file(context, 'late.json', entry))
    assert answer['version'] == 1, answer
    assert answer['in_force']['rules'][0]['weight'] == 1.0, answer
    assert answer['submitted']['rules'][0]['weight'] == 3.0, answer
    assert context.consoles.in_force() == context.ctl_before


@behave.then(
    'of {count:d} shells that apply on version 1 at once '
    'one exits with 0, {lost:d} with 3'
)
def shells_race(context: runner.Context, count: int, lost: int) -> None:
    paths = [
        _file(context, f'race-{number}.json', _changed(context, number + 2.0))
        for number in range(count)
    ]
    run = functools.partial(context.consoles.run_ctl, '--json', 'apply')
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        done = list(pool.map(run, paths))
    codes = [one.returncode for one in done]
    assert sorted(codes) == [0] + [3] * lost, codes
    winner = codes.index(0)
    weights = {rule['weight'] for rule in _in_force(context)['rules']}
    assert weights == {winner + 2.0}, weights


@behave.then(
    '{count:d} shells that take out different failure domains '
    'both exit with {code:d}'
)
def shells_out(context: runner.Context, count: int, code: int) -> None:
    names = consoles.DOMAINS[:count]
    run = functools.partial(context.consoles.run_ctl, '--json', 'domain', 'out')
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        done = list(pool.map(run, names))
    assert [one.returncode for one in done] == [code] * count, done
    assert _out(context) == list(names)
    assert context.consoles.in_force()[0] == 1 + count


@behave.then(
    '"domain {direction} {name}" exits with {code:d} and only that field '
    'differs'
)
def domain_moves(
    context: runner.Context, direction: str, name: str, code: int
) -> None:
    before = document.parse(context.consoles.in_force()[1])
    _run(context, code, 'domain', direction, name)
    after = document.parse(context.consoles.in_force()[1])
    paths = [change.path for change in document.compare(before, after)]
    assert paths == [f'failure_domains[{name}].out'], paths
    assert (name in _out(context)) == (direction == 'out')


@behave.then('"domain out {name}" again exits with {code:d} and writes nothing')
def domain_again(context: runner.Context, name: str, code: int) -> None:
    before = context.consoles.in_force()
    _run(context, code, 'domain', 'out', name)
    assert context.consoles.in_force() == before


@behave.when('each call of the platform takes {delay_s:f} s')
def platform_slow(context: runner.Context, delay_s: float) -> None:
    context.consoles.control({'mode': 'slow', 'delay_s': delay_s})


@behave.then('"domain out {name}" is in force within {limit_s:d} s')
def quickly_out(context: runner.Context, name: str, limit_s: int) -> None:
    """Time it until the command says so, which is before its audit entry."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        started = time.monotonic()
        done = pool.submit(
            context.consoles.run_ctl, '--json', 'domain', 'out', name
        )
        took_s = _seconds_until_written(context, started, limit_s)
        assert done.result().returncode == 0, done.result()
    print(f'domain out in force after {took_s:.1f} s')
    context.consoles.control({'mode': 'up'})
    assert _out(context) == [name]
    entries = _run(context, 0, 'history')['entries']
    assert entries[0]['changes'], entries


def _seconds_until_written(
    context: runner.Context, started: float, limit_s: float
) -> float:
    """Return the time until the platform counts one more write."""
    writes = context.consoles.control({})['revision']
    while time.monotonic() < started + limit_s:
        if context.consoles.control({})['revision'] > writes:
            return time.monotonic() - started
        time.sleep(0.05)
    raise AssertionError(f'not in force after {limit_s} s')


@behave.then(
    'taking out the last failure domain exits with {code:d}, '
    'confirmed with {confirmed:d}'
)
def guard_rail(context: runner.Context, code: int, confirmed: int) -> None:
    *most, last = consoles.DOMAINS
    for name in most:
        _run(context, 0, 'domain', 'out', name)
    before = context.consoles.in_force()
    answer = _run(context, code, 'domain', 'out', last)
    services = [service for service, _ in answer['concerns']]
    assert services == ['storefront', 'manuals'], answer
    entry = _changed(context, 1.0)
    entry['failure_domains'][-1]['out'] = True
    path = _file(context, 'all-out.json', entry)
    assert _run(context, code, 'apply', path)['concerns'], path
    assert context.consoles.in_force() == before
    _run(context, confirmed, 'domain', 'out', last, '--confirm')
    assert _out(context) == list(consoles.DOMAINS)


@behave.when('the platform goes away')
def platform_away(context: runner.Context) -> None:
    context.consoles.control({'mode': 'down'})


@behave.then('"{verb}" exits with {code:d}')
def exits(context: runner.Context, verb: str, code: int) -> None:
    _run(context, code, *verb.split(' '))


@behave.then('"apply" of the document in force exits with {code:d}')
def applies_again(context: runner.Context, code: int) -> None:
    _run(context, code, 'apply', str(context.consoles.folder / 'document.json'))


@behave.when('a shell applies a change whose answer is lost in an outage')
def lost_in_outage(context: runner.Context) -> None:
    system = context.consoles
    context.relay = update_relay.UpdateRelay(system.platform_url)
    context.relay.faults = update_relay.UpdateFaults(
        answers=False, unresponsive=True
    )
    endpoint = (system.network.faults, RELAY_PORT)
    context.ctl_served = context.run(
        standin_runner.async_serve_in_background(
            context.relay.application(), endpoint
        )
    )
    context.ctl_entry = _changed(context, 7.0)
    context.ctl_url = f'http://{endpoint[0]}:{endpoint[1]}'
    path = _file(context, 'lost.json', context.ctl_entry)
    context.ctl_done = system.run_ctl(
        '--platform', context.ctl_url, '--json', 'apply', path
    )


@behave.then('it exits with {code:d} and names its attempt')
def names_attempt(context: runner.Context, code: int) -> None:
    answer = _answer(context.ctl_done, code)
    context.ctl_attempt = answer['identifier']
    assert answer['base_version'] == 1, answer


@behave.when('the platform is back for kumquatportctl')
def platform_back(context: runner.Context) -> None:
    context.relay.clear_faults()


@behave.then('"outcome" of the attempt exits with {code:d}')
def outcome(context: runner.Context, code: int) -> None:
    answer = _run(context, code, 'outcome', context.ctl_attempt, '1')
    assert answer['version'] == 2, answer
    assert _in_force(context)['identifier'] == context.ctl_attempt


@behave.then(
    '"apply" with the attempt\'s identifier exits with {code:d} '
    'and writes nothing'
)
def apply_identified(context: runner.Context, code: int) -> None:
    before = context.consoles.in_force()
    path = str(context.consoles.folder / 'lost.json')
    _run(context, code, 'apply', path, '--identifier', context.ctl_attempt)
    assert context.consoles.in_force() == before
