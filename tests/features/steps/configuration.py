"""Steps of document updates: concurrent, with faults and invalid."""

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
LATER_UPDATES = 40


class ConcurrentUpdate(typing.NamedTuple):
    """Result of two concurrent updates.

    Attributes:
        pages: Page that each operator received.
        draft_weights: Weight of all rules in the draft of each operator.
        in_force: Document in force afterwards.
        version: Version of that document.
    """

    pages: tuple[browser.Page, browser.Page]
    draft_weights: tuple[float, float]
    in_force: documents.Entry
    version: int


class UpdateReport(typing.NamedTuple):
    """Outcome of an update as reported to the operator and in fact.

    Attributes:
        identifier: Identifier of the attempt.
        first_heading: Heading of the first page.
        last_heading: Heading of the last page.
        took_effect: Whether the platform accepted the update.
    """

    identifier: str
    first_heading: str
    last_heading: str
    took_effect: bool


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


@behave.when(
    'two operators apply drafts concurrently {count:d} times '
    'at different consoles'
)
def apply_concurrently(context: runner.Context, count: int) -> None:
    context.concurrent_updates = context.run(
        _async_update_concurrently(context, count)
    )


async def _async_update_concurrently(
    context: runner.Context, count: int
) -> list[ConcurrentUpdate]:
    names = tuple(consoles.OPERATORS)
    browsers = [browser.Browser(url) for url in context.urls]
    for operator_browser, name in zip(browsers, names, strict=True):
        await operator_browser.async_sign_in(name, consoles.OPERATORS[name])
    generator = random.Random(SEED)
    updates = [
        await _async_update_once(context.consoles, browsers, number, generator)
        for number in range(count)
    ]
    return updates


async def _async_update_once(
    system: consoles.Consoles,
    browsers: list[browser.Browser],
    number: int,
    generator: random.Random,
) -> ConcurrentUpdate:
    """Edit the same fields in both browsers, then apply concurrently."""
    draft_weights = (number + 0.25, number + 0.75)
    reviews = await asyncio.gather(
        *map(_async_review_weight, browsers, draft_weights),
    )
    pages = await asyncio.gather(
        *(
            _async_apply(operator_browser, review, generator.uniform(0, 0.01))
            for operator_browser, review in zip(browsers, reviews, strict=True)
        )
    )
    version, value = await asyncio.to_thread(system.in_force)
    return ConcurrentUpdate(
        typing.cast(typing.Any, tuple(pages)),
        draft_weights,
        consoles.decode_document(value),
        version,
    )


async def _async_review_weight(
    operator_browser: browser.Browser, weight: float
) -> browser.Page:
    """Make a draft whose rules all have the same weight."""
    page = await operator_browser.async_get('/edit')
    for service in ('storefront', 'manuals'):
        for domain in consoles.DOMAINS:
            page = await operator_browser.async_set_rule(
                page, service, domain, weight
            )
    return await operator_browser.async_post('/review', page.hidden)


async def _async_apply(
    operator_browser: browser.Browser, review: browser.Page, pause_s: float
) -> browser.Page:
    await asyncio.sleep(pause_s)
    return await operator_browser.async_post('/apply', review.hidden)


@behave.then('exactly one of the two drafts is accepted each time')
def one_accepted(context: runner.Context) -> None:
    headings = collections.Counter(
        tuple(sorted(page.heading for page in update.pages))
        for update in context.concurrent_updates
    )
    assert headings == {
        (ACCEPTED, CONFLICT): len(context.concurrent_updates)
    }, headings
    versions = [update.version for update in context.concurrent_updates]
    assert versions == list(range(2, len(versions) + 2)), versions


@behave.then('the other operator is shown both documents each time')
def shown_both(context: runner.Context) -> None:
    for update in context.concurrent_updates:
        rejected = next(
            page for page in update.pages if page.heading == CONFLICT
        )
        assert rejected.status == 409, rejected.status
        for weight in update.draft_weights:
            assert f'&#34;weight&#34;: {weight}' in rejected.text, rejected.text


@behave.then(
    'the document in force after each update is the accepted draft as a whole'
)
def accepted_draft_in_force(context: runner.Context) -> None:
    accepted_counts: collections.Counter[int] = collections.Counter()
    for update in context.concurrent_updates:
        headings = [page.heading for page in update.pages]
        accepted_index = headings.index(ACCEPTED)
        accepted_counts[accepted_index] += 1
        weights = {rule['weight'] for rule in update.in_force['rules']}
        assert weights == {update.draft_weights[accepted_index]}, (
            weights,
            update.draft_weights,
        )
        operator = tuple(consoles.OPERATORS)[accepted_index]
        assert update.in_force['operator'] == operator, update.in_force
    context.accepted_by_operator = accepted_counts
    print('updates accepted per operator:', dict(accepted_counts))


@behave.then('the audit log has an entry for every accepted document')
def audit_log_is_complete(context: runner.Context) -> None:
    system = context.consoles
    newest = context.concurrent_updates[-1].version
    count = min(newest, 200)
    completed = system.run_ctl('--json', 'history', '--count', str(count))
    entries = json.loads(completed.stdout)['entries']
    versions = [entry['version'] for entry in entries]
    assert versions == list(range(newest, newest - count, -1)), versions
    empty = [row['version'] for row in entries[:-2] if not row['changes']]
    assert not empty, empty


@behave.given('a console behind a relay that injects faults into updates')
def console_behind_relay(context: runner.Context) -> None:
    system = _start(context)
    context.relay = update_relay.UpdateRelay(system.platform_url)
    endpoint = (system.network.faults, RELAY_PORT)
    context.relay_task = context.run(
        standin_runner.async_serve_in_background(
            context.relay.application(), endpoint
        )
    )
    url = f'http://{endpoint[0]}:{endpoint[1]}'
    context.urls = [system.add_console(url)]


@behave.when('{count:d} updates are applied with the fault "{fault}"')
def apply_with_fault(context: runner.Context, count: int, fault: str) -> None:
    context.reports = context.run(
        _async_apply_with_fault(context, count, fault)
    )
    counts = collections.Counter(report[1:] for report in context.reports)
    print(
        f'{fault}: first reported, last reported, took effect: {dict(counts)}'
    )


async def _async_apply_with_fault(
    context: runner.Context, count: int, fault: str
) -> list[UpdateReport]:
    operator_browser = browser.Browser(context.urls[0])
    await operator_browser.async_sign_in('ama', consoles.OPERATORS['ama'])
    client = platform.PlatformClient(context.consoles.platform_url, 5.0)
    await client.async_setup()
    reports = [
        await _async_apply_and_follow(
            context.relay,
            operator_browser,
            _update_faults(fault, client),
            number,
        )
        for number in range(count)
    ]
    await client.async_stop()
    return reports


def _update_faults(
    fault: str, client: platform.PlatformClient
) -> update_relay.UpdateFaults:
    one_update = functools.partial(_async_apply_as_kofi, client, 1)
    many_updates = functools.partial(
        _async_apply_as_kofi, client, LATER_UPDATES
    )
    answer_lost = update_relay.UpdateFaults(answers=False)
    request_lost = update_relay.UpdateFaults(forwards=0, answers=False)
    return {
        'answer lost': answer_lost,
        'lost on the way': request_lost,
        'repeated on the way': update_relay.UpdateFaults(forwards=2),
        'late after its connection broke': request_lost._replace(delayed=True),
        'answer lost, another operator on top': answer_lost._replace(
            after=one_update
        ),
        'answer lost, 40 other updates on top': answer_lost._replace(
            after=many_updates
        ),
        'another operator first, answer lost': answer_lost._replace(
            before=one_update
        ),
        'another operator first, late arrival': request_lost._replace(
            before=one_update, delayed=True
        ),
        'answer lost, then silence': answer_lost._replace(unresponsive=True),
        'lost on the way, then silence': request_lost._replace(
            unresponsive=True
        ),
    }[fault]


async def _async_apply_as_kofi(
    client: platform.PlatformClient, count: int
) -> None:
    """Apply documents as another operator, directly at the platform."""
    for _ in range(count):
        in_force = await acceptance.async_read_in_force(client)
        weight = in_force.document['rules'][-1]['weight'] + 0.5
        edit = functools.partial(_with_last_weight, weight=weight)
        accepted = await acceptance.async_change(
            client, edit, acceptance.async_skip_check
        )
        await acceptance.async_record(client, accepted)


def _with_last_weight(
    current: document.Document, *, weight: float
) -> document.Document:
    last_rule = current['rules'][-1]
    changed = document.with_rule(current, {**last_rule, 'weight': weight})
    changed['operator'] = 'kofi'
    return changed


async def _async_apply_and_follow(
    relay: update_relay.UpdateRelay,
    operator_browser: browser.Browser,
    faults: update_relay.UpdateFaults,
    number: int,
) -> UpdateReport:
    """Apply a draft with a fault and query its outcome until it is known."""
    page = await operator_browser.async_get('/edit')
    page = await operator_browser.async_set_rule(
        page, 'storefront', 'accra-a', number + 0.25
    )
    review = await operator_browser.async_post('/review', page.hidden)
    relay.faults = faults
    page = await operator_browser.async_post('/apply', review.hidden)
    first_heading = page.heading
    relay.clear_faults()
    await relay.async_wait_delayed_updates()
    identifier = review.hidden['identifier']
    for path in ('/outcome', '/apply'):
        if page.heading == UNKNOWN:
            page = await operator_browser.async_post(path, page.hidden)
    took_effect = relay.was_applied(identifier)
    return UpdateReport(identifier, first_heading, page.heading, took_effect)


@behave.then('{count:d} updates that took effect are reported as failed')
def reported_as_failed(context: runner.Context, count: int) -> None:
    misreported = [
        report
        for report in context.reports
        if report.took_effect and report.last_heading != ACCEPTED
    ]
    misreported += [
        report
        for report in context.reports
        if report.took_effect and report.first_heading == CONFLICT
    ]
    assert len(misreported) == count, misreported


@behave.then(
    '{count:d} updates that did not take effect are reported as accepted'
)
def reported_as_accepted(context: runner.Context, count: int) -> None:
    misreported = [
        report
        for report in context.reports
        if not report.took_effect
        and ACCEPTED in {report.first_heading, report.last_heading}
    ]
    assert len(misreported) == count, misreported


@behave.then('{count:d} updates are first reported as "{heading}"')
def first_reported(context: runner.Context, count: int, heading: str) -> None:
    headings = collections.Counter(
        report.first_heading for report in context.reports
    )
    assert headings[heading] == count, headings
    assert all(report.last_heading != UNKNOWN for report in context.reports), (
        context.reports
    )


@behave.given('a platform with a document in force')
def with_document(context: runner.Context) -> None:
    _start(context)


@behave.when(
    '{count:d} invalid documents are applied, '
    '{processes:d} of them by separate processes'
)
def apply_invalid(context: runner.Context, count: int, processes: int) -> None:
    system = context.consoles
    context.in_force_before = system.in_force()
    context.puts_before = _puts(system)
    context.rejections = []
    context.in_force_after = set()
    for number, raw in enumerate(_invalid_documents(count)):
        separate_process = number % (count // processes) == 0
        context.rejections.append(
            _apply(system, raw, separate_process=separate_process)
        )
        context.in_force_after.add(system.in_force())


def _invalid_documents(count: int) -> list[bytes]:
    """Generate distinct invalid documents, the same in each run.

    Hypothesis derives the seed from the source of ``_draw``.
    """
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
    system: consoles.Consoles, raw: bytes, *, separate_process: bool
) -> tuple[int, abc.Sequence[abc.Sequence[str]]]:
    """Apply a document; return the exit code and the faults."""
    path = system.write('broken.json', raw)
    if separate_process:
        completed = system.run_ctl('--json', 'apply', path)
        return completed.returncode, json.loads(completed.stdout)['faults']
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        code = ctl.main(
            ['--platform', system.platform_url, '--json', 'apply', path]
        )
    return code, json.loads(output.getvalue())['faults']


def _puts(system: consoles.Consoles) -> int:
    return system.control({})['calls'].get('put', 0)


@behave.then('each invalid document is rejected with the path of every fault')
def each_rejected(context: runner.Context) -> None:
    codes = collections.Counter(code for code, _ in context.rejections)
    assert codes == {2: len(context.rejections)}, codes
    for _, faults in context.rejections:
        assert faults, faults
        assert all(reason for _, reason in faults), faults


@behave.then(
    'the document in force is byte for byte the same after each attempt'
)
def unchanged(context: runner.Context) -> None:
    assert context.in_force_after == {context.in_force_before}, len(
        context.in_force_after
    )
    assert _puts(context.consoles) == context.puts_before
