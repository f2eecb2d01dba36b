"""Steps of accepting documents: races, spoiled updates, broken documents."""

import asyncio
import collections
import contextlib
import functools
import io
import json
import random
import typing
from collections import abc

import behave
import hypothesis
from behave import runner

from kumquatport.platform import client as platform
from kumquatport.process.ctl import __main__ as ctl
from kumquatport.version import acceptance, document
from tests import browser, consoles
from tests.builders import broken_documents, documents
from tests.standins import runner as standin_runner
from tests.standins import update_relay

RELAY_PORT = 9300
SEED = 6
ACCEPTED = 'Accepted'
CONFLICT = 'Conflict'
UNKNOWN = 'Not known yet'
OTHERS_ON_TOP = 40


class Race(typing.NamedTuple):
    """What came of one race."""

    pages: tuple[browser.Page, browser.Page]
    marks: tuple[float, float]
    in_force: documents.Entry
    version: int


class Told(typing.NamedTuple):
    """What the operator was told about one attempt, and what was true."""

    identifier: str
    first: str
    last: str
    effective: bool


def _start(context: runner.Context) -> consoles.Consoles:
    system = consoles.Consoles()
    context.deployments.append(system)
    context.consoles = system
    system.put(documents.encode(system.document()))
    return system


@behave.given(
    '2 consoles behind the fault proxy with up to {jitter:d} ms of jitter'
)
def two_consoles(context: runner.Context, jitter: int) -> None:
    system = _start(context)
    links = system.add_fault_proxy(2, jitter / 1000)
    context.urls = [system.add_console(link) for link in links]


@behave.when('two operators race {count:d} times through different consoles')
def race(context: runner.Context, count: int) -> None:
    context.races = context.run(_async_races(context, count))


async def _async_races(context: runner.Context, count: int) -> list[Race]:
    names = tuple(consoles.OPERATORS)
    browsers = [browser.Browser(url) for url in context.urls]
    for one, name in zip(browsers, names, strict=True):
        await one.async_sign_in(name, consoles.OPERATORS[name])
    draw = random.Random(SEED)
    races = [
        await _async_race(context.consoles, browsers, number, draw)
        for number in range(count)
    ]
    return races


async def _async_race(
    system: consoles.Consoles,
    browsers: list[browser.Browser],
    number: int,
    draw: random.Random,
) -> Race:
    """Let both edit the same fields, then apply at the same time."""
    marks = (number + 0.25, number + 0.75)
    reviews = await asyncio.gather(
        *map(_async_marked, browsers, marks),
    )
    pages = await asyncio.gather(
        *(
            _async_apply(one, review, draw.uniform(0, 0.01))
            for one, review in zip(browsers, reviews, strict=True)
        )
    )
    version, value = await asyncio.to_thread(system.in_force)
    return Race(
        typing.cast(typing.Any, tuple(pages)),
        marks,
        consoles.decode_document(value),
        version,
    )


async def _async_marked(one: browser.Browser, mark: float) -> browser.Page:
    """Make a draft whose rules all carry the same mark."""
    page = await one.async_get('/edit')
    for service in ('storefront', 'manuals'):
        for domain in consoles.DOMAINS:
            page = await one.async_set_rule(page, service, domain, mark)
    return await one.async_post('/review', page.hidden)


async def _async_apply(
    one: browser.Browser, review: browser.Page, pause_s: float
) -> browser.Page:
    await asyncio.sleep(pause_s)
    return await one.async_post('/apply', review.hidden)


@behave.then('exactly one operator wins each configuration race')
def one_winner(context: runner.Context) -> None:
    told = collections.Counter(
        tuple(sorted(page.heading for page in one.pages))
        for one in context.races
    )
    assert told == {(ACCEPTED, CONFLICT): len(context.races)}, told
    versions = [one.version for one in context.races]
    assert versions == list(range(2, len(versions) + 2)), versions


@behave.then('the other operator is shown both documents each time')
def shown_both(context: runner.Context) -> None:
    for one in context.races:
        loser = next(p for p in one.pages if p.heading == CONFLICT)
        assert loser.status == 409, loser.status
        for mark in one.marks:
            assert f'&#34;weight&#34;: {mark}' in loser.text, loser.text


@behave.then("what is in force after each race is the winner's draft whole")
def not_mixed(context: runner.Context) -> None:
    wins: collections.Counter[int] = collections.Counter()
    for one in context.races:
        headings = [page.heading for page in one.pages]
        winner = headings.index(ACCEPTED)
        wins[winner] += 1
        weights = {rule['weight'] for rule in one.in_force['rules']}
        assert weights == {one.marks[winner]}, (weights, one.marks)
        operator = tuple(consoles.OPERATORS)[winner]
        assert one.in_force['operator'] == operator, one.in_force
    context.config_wins = wins
    print('races won by each operator:', dict(wins))


@behave.then('the audit has an entry for every accepted document')
def audited(context: runner.Context) -> None:
    system = context.consoles
    newest = context.races[-1].version
    count = min(newest, 200)
    done = system.run_ctl('--json', 'history', '--count', str(count))
    entries = json.loads(done.stdout)['entries']
    versions = [entry['version'] for entry in entries]
    assert versions == list(range(newest, newest - count, -1)), versions
    empty = [e['version'] for e in entries[:-2] if not e['changes']]
    assert not empty, empty


@behave.given('a console behind a relay that spoils updates')
def relayed(context: runner.Context) -> None:
    system = _start(context)
    context.relay = update_relay.UpdateRelay(system.platform_url)
    endpoint = (system.network.faults, RELAY_PORT)
    context.config_served = context.run(
        standin_runner.async_serve_in_background(
            context.relay.application(), endpoint
        )
    )
    url = f'http://{endpoint[0]}:{endpoint[1]}'
    context.urls = [system.add_console(url)]


@behave.when('{count:d} updates meet the fault "{fault}"')
def spoil(context: runner.Context, count: int, fault: str) -> None:
    context.told = context.run(_async_spoil(context, count, fault))
    told = collections.Counter(one[1:] for one in context.told)
    print(f'{fault}: first told, last told, took effect: {dict(told)}')


async def _async_spoil(
    context: runner.Context, count: int, fault: str
) -> list[Told]:
    one = browser.Browser(context.urls[0])
    await one.async_sign_in('ama', consoles.OPERATORS['ama'])
    other = platform.PlatformClient(context.consoles.platform_url, 5.0)
    await other.async_setup()
    told = [
        await _async_attempt(context.relay, one, _plan(fault, other), number)
        for number in range(count)
    ]
    await other.async_stop()
    return told


def _plan(
    fault: str, client: platform.PlatformClient
) -> update_relay.UpdateFaults:
    another = functools.partial(_async_another, client, 1)
    many = functools.partial(_async_another, client, OTHERS_ON_TOP)
    lost = update_relay.UpdateFaults(answers=False)
    unsent = update_relay.UpdateFaults(forwards=0, answers=False)
    return {
        'answer lost': lost,
        'lost on the way': unsent,
        'repeated on the way': update_relay.UpdateFaults(forwards=2),
        'late after its connection broke': unsent._replace(delayed=True),
        'answer lost, another operator on top': lost._replace(after=another),
        'answer lost, 40 other updates on top': lost._replace(after=many),
        'another operator first, answer lost': lost._replace(before=another),
        'another operator first, late arrival': unsent._replace(
            before=another, delayed=True
        ),
        'answer lost, then silence': lost._replace(unresponsive=True),
        'lost on the way, then silence': unsent._replace(unresponsive=True),
    }[fault]


async def _async_another(client: platform.PlatformClient, count: int) -> None:
    """Accept documents of another operator, straight at the platform."""
    for _ in range(count):
        in_force = await acceptance.async_read_in_force(client)
        weight = in_force.document['rules'][-1]['weight'] + 0.5
        edit = functools.partial(_heavier, weight=weight)
        accepted = await acceptance.async_change(
            client, edit, acceptance.async_skip_check
        )
        await acceptance.async_record(client, accepted)


def _heavier(current: document.Document, *, weight: float) -> document.Document:
    last = current['rules'][-1]
    changed = document.with_rule(current, {**last, 'weight': weight})
    changed['operator'] = 'kofi'
    return changed


async def _async_attempt(
    relay: update_relay.UpdateRelay,
    one: browser.Browser,
    plan: update_relay.UpdateFaults,
    number: int,
) -> Told:
    """Apply one draft under a fault and follow it to its end."""
    page = await one.async_get('/edit')
    page = await one.async_set_rule(
        page, 'storefront', 'accra-a', number + 0.25
    )
    review = await one.async_post('/review', page.hidden)
    relay.faults = plan
    page = await one.async_post('/apply', review.hidden)
    first = page.heading
    relay.clear_faults()
    await relay.async_wait_delayed_updates()
    identifier = review.hidden['identifier']
    for path in ('/outcome', '/apply'):
        if page.heading == UNKNOWN:
            page = await one.async_post(path, page.hidden)
    effective = relay.was_applied(identifier)
    return Told(identifier, first, page.heading, effective)


@behave.then('{count:d} of them are reported as failed that took effect')
def none_failed(context: runner.Context, count: int) -> None:
    wrong = [
        one for one in context.told if one.effective and one.last != ACCEPTED
    ]
    wrong += [
        one for one in context.told if one.effective and one.first == CONFLICT
    ]
    assert len(wrong) == count, wrong


@behave.then('{count:d} of them are reported as accepted that did not')
def none_accepted(context: runner.Context, count: int) -> None:
    wrong = [
        one
        for one in context.told
        if not one.effective and ACCEPTED in {one.first, one.last}
    ]
    assert len(wrong) == count, wrong


@behave.then('{count:d} of them are told as "{heading}" at first')
def first_told(context: runner.Context, count: int, heading: str) -> None:
    told = collections.Counter(one.first for one in context.told)
    assert told[heading] == count, told
    assert all(one.last != UNKNOWN for one in context.told), context.told


@behave.given('a platform with a document in force')
def with_document(context: runner.Context) -> None:
    _start(context)


@behave.when(
    '{count:d} broken documents are applied, '
    '{processes:d} of them by a process each'
)
def apply_broken(context: runner.Context, count: int, processes: int) -> None:
    system = context.consoles
    context.before = system.in_force()
    context.puts_before = _puts(system)
    context.refusals = []
    context.afters = set()
    for number, raw in enumerate(_broken(count)):
        by_process = number % (count // processes) == 0
        context.refusals.append(_apply(system, raw, by_process=by_process))
        context.afters.add(system.in_force())


def _broken(count: int) -> list[bytes]:
    """Draw that many different broken documents, the same each run."""
    drawn: dict[bytes, None] = {}

    @hypothesis.settings(
        max_examples=count * 2,
        deadline=None,
        database=None,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(broken_documents.broken())
    def _draw(raw: bytes) -> None:
        drawn[raw] = None

    _draw()
    assert len(drawn) >= count, len(drawn)
    return list(drawn)[:count]


def _apply(
    system: consoles.Consoles, raw: bytes, *, by_process: bool
) -> tuple[int, abc.Sequence[abc.Sequence[str]]]:
    """Apply a document; return the exit code and the faults."""
    path = system.write('broken.json', raw)
    if by_process:
        done = system.run_ctl('--json', 'apply', path)
        return done.returncode, json.loads(done.stdout)['faults']
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        code = ctl.main(
            ['--platform', system.platform_url, '--json', 'apply', path]
        )
    return code, json.loads(printed.getvalue())['faults']


def _puts(system: consoles.Consoles) -> int:
    return system.control({})['calls'].get('put', 0)


@behave.then('each broken document is refused with every fault at a path')
def refused(context: runner.Context) -> None:
    codes = collections.Counter(code for code, _ in context.refusals)
    assert codes == {2: len(context.refusals)}, codes
    for _, faults in context.refusals:
        assert faults, faults
        assert all(reason for _, reason in faults), faults


@behave.then('what is in force stays byte for byte the same throughout')
def unchanged(context: runner.Context) -> None:
    assert context.afters == {context.before}, len(context.afters)
    assert _puts(context.consoles) == context.puts_before
