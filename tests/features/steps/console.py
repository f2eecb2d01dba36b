"""Steps of operators who use the forms of the console."""

import asyncio
import html
import json
import random
import re
import typing

import aiohttp
import behave
from aiohttp import web
from behave import runner

from tests import browser, consoles
from tests.builders import documents, statuses
from tests.standins import runner as standin_runner

AGENT_PORT = 7200
APPLY_START_DELAY_S = 0.5
SLOW_CALL_S = 0.2
SEED = 10


def _sign_in(context: runner.Context, name: str, url: str) -> browser.Browser:
    async def _async_sign_in() -> browser.Browser:
        operator_browser = browser.Browser(url)
        page = await operator_browser.async_sign_in(
            name, consoles.OPERATORS[name]
        )
        assert page.heading == 'In force', page.text
        return operator_browser

    return context.run(_async_sign_in())


def _weights(entry: documents.Entry) -> dict[tuple[str, str], float]:
    return {
        (rule['service'], rule['failure_domain']): rule['weight']
        for rule in entry['rules']
    }


def _in_force(context: runner.Context) -> documents.Entry:
    return consoles.decode_document(context.consoles.in_force()[1])


@behave.given('two consoles with a document in force')
def two_consoles(context: runner.Context) -> None:
    system = consoles.Consoles()
    context.deployments.append(system)
    context.consoles = system
    system.put(documents.encode(system.document()))
    context.urls = [system.add_console(system.platform_url) for _ in range(2)]
    context.config_before = system.in_force()


@behave.given(
    'a third console that queries {count:d} agents '
    'with {slots_in_use:d} of 5 slots in use each'
)
def third_console(
    context: runner.Context, count: int, slots_in_use: int
) -> None:
    context.agent_tasks = []
    host = context.consoles.network.statsd[0]
    urls = [
        context.run(
            _async_serve_status(
                context,
                (host, AGENT_PORT + number),
                statuses.agent(
                    f'storefront-{number}',
                    'storefront',
                    consoles.DOMAINS[number % len(consoles.DOMAINS)],
                    slots_in_use,
                ),
            )
        )
        for number in range(count)
    ]
    system = context.consoles
    context.urls.append(system.add_console(system.platform_url, urls))


async def _async_serve_status(
    context: runner.Context,
    endpoint: tuple[str, int],
    status: dict[str, typing.Any],
) -> str:
    """Serve the status of an agent until the scenario ends."""

    async def _async_status(_request: web.Request) -> web.Response:
        return web.json_response(status)

    app = web.Application()
    app.router.add_get('/status', _async_status)
    task = await standin_runner.async_serve_in_background(app, endpoint)
    context.agent_tasks.append(task)
    return f'http://{endpoint[0]}:{endpoint[1]}'


@behave.when('ama signs in at the {which} console')
def ama_signs_in(context: runner.Context, which: str) -> None:
    url = context.urls[('first', 'second', 'third').index(which)]
    context.ama = _sign_in(context, 'ama', url)


@behave.when('ama takes out "{domain}" and adds the failure domain "{added}"')
def takes_out_and_adds(
    context: runner.Context, domain: str, added: str
) -> None:
    async def _async_edit() -> browser.Page:
        page = await context.ama.async_get('/edit')
        action = {'action': f'out:{domain}'}
        page = await context.ama.async_post('/edit', page.hidden | action)
        addition = {'action': 'add-domain', 'domain': added, 'region': 'accra'}
        return await context.ama.async_post('/edit', page.hidden | addition)

    context.page = context.run(_async_edit())


@behave.when('ama sets the weight of "{service}" in "{domain}" to {weight:f}')
def sets_weight(
    context: runner.Context, service: str, domain: str, weight: float
) -> None:
    context.page = context.run(
        context.ama.async_set_rule(context.page, service, domain, weight)
    )


@behave.when('ama renames the service "{name}" to "{other}"')
def renames(context: runner.Context, name: str, other: str) -> None:
    async def _async_rename() -> browser.Page:
        action = {'action': f'open:{name}'}
        page = await context.ama.async_post(
            '/service', context.page.hidden | action
        )
        fields = page.fields | {'action': 'save', 'name': other}
        return await context.ama.async_post('/service', fields)

    context.page = context.run(_async_rename())
    assert context.page.status == 200, context.page.text


@behave.then(
    'the review page lists {count:d} changes '
    'and the document in force is unchanged'
)
def review_lists_changes(context: runner.Context, count: int) -> None:
    context.page = context.run(
        context.ama.async_post('/review', context.page.hidden)
    )
    assert f'<h2>{count} changes</h2>' in context.page.text, context.page.text
    assert context.consoles.in_force() == context.config_before


@behave.when('ama applies the draft at the second console')
def applies_at_second_console(context: runner.Context) -> None:
    context.ama.url = context.urls[1]
    context.page = context.run(
        context.ama.async_post('/apply', context.page.hidden)
    )


@behave.then('the console reports accepted and the whole draft is in force')
def is_accepted(context: runner.Context) -> None:
    assert context.page.heading == 'Accepted', context.page.text
    entry = _in_force(context)
    assert entry['operator'] == 'ama', entry
    out = {row['name']: row['out'] for row in entry['failure_domains']}
    if 'accra-d' in out:
        assert out['accra-a'] and not out['accra-b'], out
        weights = _weights(entry)
        assert weights['leaflets', 'accra-b'] == 0.5, weights
        assert {service for service, _ in weights} == {
            'storefront',
            'leaflets',
        }
    else:
        assert all(out.values()), out


@behave.then(
    'the history page of the console lists ama and the change of "{domain}"'
)
def history_page_lists(context: runner.Context, domain: str) -> None:
    async def _async_history() -> str:
        for _ in range(50):
            page = await context.ama.async_get('/history')
            if domain in page.text:
                break
            await asyncio.sleep(0.1)
        return html.unescape(page.text)

    text = context.run(_async_history())
    assert f'failure_domains[{domain}].out: false -> true' in text, text
    assert ' ama' in text, text


@behave.when('ama takes out "{domain}" and posts the apply form twice')
def posts_twice(context: runner.Context, domain: str) -> None:
    async def _async_twice() -> list[browser.Page]:
        review = await context.ama.async_review(f'out:{domain}')
        first = await context.ama.async_post('/apply', review.hidden)
        return [first, await context.ama.async_post('/apply', review.hidden)]

    context.pages = context.run(_async_twice())


@behave.then('both responses report accepted with the same version')
def same_version(context: runner.Context) -> None:
    for page in context.pages:
        assert page.heading == 'Accepted', page.text
        assert '<strong>2</strong>' in page.text, page.text
    assert context.consoles.in_force()[0] == 2


@behave.when('ama takes out "{domain}" after kofi applied another draft')
def applies_after_kofi(context: runner.Context, domain: str) -> None:
    kofi = _sign_in(context, 'kofi', context.urls[1])

    async def _async_apply_after_kofi() -> browser.Page:
        review = await context.ama.async_review(f'out:{domain}')
        other = await kofi.async_review('out:accra-b')
        page = await kofi.async_post('/apply', other.hidden)
        assert page.heading == 'Accepted', page.text
        return await context.ama.async_post('/apply', review.hidden)

    context.page = context.run(_async_apply_after_kofi())


@behave.then('the console reports a conflict and shows both documents')
def is_conflict(context: runner.Context) -> None:
    page = context.page
    assert (page.status, page.heading) == (409, 'Conflict'), page.text
    shown = [
        json.loads(html.unescape(text))
        for text in re.findall('<pre>(.*?)</pre>', page.text, re.DOTALL)
    ]
    domains_out = [
        [row['name'] for row in document['failure_domains'] if row['out']]
        for document in shown
    ]
    assert domains_out == [['accra-b'], ['accra-a']], domains_out


@behave.then('the document of kofi stays in force')
def kofi_document_in_force(context: runner.Context) -> None:
    entry = _in_force(context)
    assert entry['operator'] == 'kofi', entry
    assert context.consoles.in_force()[0] == 2


@behave.when('ama takes out "{domain}" and the apply form is posted {how}')
def posts_forged(context: runner.Context, domain: str, how: str) -> None:
    kofi = _sign_in(context, 'kofi', context.urls[0])
    headers = {
        'from another origin': {'Origin': 'http://other.example'},
        'from a cross-site context': {'Sec-Fetch-Site': 'cross-site'},
    }.get(how, {})

    async def _async_post() -> browser.Page:
        review = await context.ama.async_review(f'out:{domain}')
        fields = dict(review.hidden)
        if how == 'without its token':
            fields.pop('csrf')
        if how == "with another session's token":
            fields['csrf'] = (await kofi.async_get('/edit')).hidden['csrf']
        return await context.ama.async_post('/apply', fields, headers)

    context.page = context.run(_async_post())


@behave.then(
    'the console refuses the post with {status:d} and the document is unchanged'
)
@behave.then('the console answers {status:d} and the document is unchanged')
def is_refused(context: runner.Context, status: int) -> None:
    assert context.page.status == status, context.page
    assert context.consoles.in_force() == context.config_before


@behave.when('ama posts the apply form with {what}')
def posts_tampered(context: runner.Context, what: str) -> None:
    kofi = _sign_in(context, 'kofi', context.urls[0])

    async def _async_post() -> browser.Page:
        review = await context.ama.async_review('out:accra-a')
        fields = dict(review.hidden)
        if what == 'a changed draft':
            fields['draft'] = f'A{fields["draft"][1:]}x'
        if what == 'a draft of kofi':
            other = await kofi.async_review('out:accra-b')
            fields['draft'] = other.hidden['draft']
        if what == 'a changed session cookie':
            context.ama.change_cookie(lambda token: f'{token[:-1]}x')
        if what == 'no session':
            context.ama.change_cookie(lambda _token: '')
        return await context.ama.async_post('/apply', fields)

    context.page = context.run(_async_post())


@behave.when('kofi tries {count:d} wrong passwords at the first console')
def wrong_passwords(context: runner.Context, count: int) -> None:
    async def _async_try() -> list[browser.Page]:
        context.kofi = browser.Browser(context.urls[0])
        return [
            await context.kofi.async_sign_in('kofi', f'wrong {number}')
            for number in range(count)
        ]

    context.pages = context.run(_async_try())


@behave.then('the console answers {status:d} each time')
def all_have_status(context: runner.Context, status: int) -> None:
    assert {page.status for page in context.pages} == {status}


@behave.then('the correct password is answered {status:d} during the limit')
def is_rate_limited(context: runner.Context, status: int) -> None:
    page = context.run(
        context.kofi.async_sign_in('kofi', consoles.OPERATORS['kofi'])
    )
    assert page.status == status, page
    assert int(page.headers['Retry-After']) > 0


@behave.then('ama can still sign in')
def ama_can_sign_in(context: runner.Context) -> None:
    _sign_in(context, 'ama', context.urls[0])


@behave.when(
    'ama enters a service with a used entry port and an invalid method'
)
def enters_invalid_service(context: runner.Context) -> None:
    async def _async_enter() -> browser.Page:
        page = await context.ama.async_get('/edit')
        page = await context.ama.async_post(
            '/service', page.hidden | {'action': 'open:'}
        )
        entered = {
            'action': 'save',
            'name': 'archive',
            'address': '127.30.0.3:4433',
            'entry_port': '20001',
            'classes-0-name': 'pull',
            'classes-0-methods': 'FETCH',
        }
        return await context.ama.async_post('/service', page.fields | entered)

    context.page = context.run(_async_enter())


@behave.then('the page lists both faults and keeps the entered values')
def lists_faults(context: runner.Context) -> None:
    page = context.page
    assert page.status == 422, page
    assert 'services[2].entry_port: repeats services[0]' in page.text, page.text
    assert 'services[2].classes[0].methods[0]: expected' in page.text
    assert page.fields['name'] == 'archive', page.fields
    assert page.fields['classes-0-methods'] == 'FETCH', page.fields


@behave.when('ama takes out all failure domains and applies the draft')
def takes_out_all(context: runner.Context) -> None:
    actions = [f'out:{domain}' for domain in consoles.DOMAINS]
    _review_and_apply(context, *actions)


@behave.when('ama takes out "{domain}" and applies the draft')
def takes_out(context: runner.Context, domain: str) -> None:
    _review_and_apply(context, f'out:{domain}')


def _review_and_apply(context: runner.Context, *actions: str) -> None:
    async def _async_apply() -> browser.Page:
        review = await context.ama.async_review(*actions)
        return await context.ama.async_post('/apply', review.hidden)

    context.page = context.run(_async_apply())


@behave.then('the console requires confirmation and names both services')
def needs_confirmation(context: runner.Context) -> None:
    page = context.page
    assert page.status == 422, page
    for service in ('storefront', 'manuals'):
        assert f'{service}: no failure domain is left' in page.text, page.text
    assert context.consoles.in_force() == context.config_before


@behave.when('ama applies the draft again with the confirmation box checked')
def confirms(context: runner.Context) -> None:
    fields = context.page.hidden | {'confirm': 'yes'}
    context.page = context.run(context.ama.async_post('/apply', fields))


@behave.then(
    'the console requires confirmation because '
    '{slots:d} slots are left for {slots_in_use:d} in use'
)
def needs_confirmation_for_load(
    context: runner.Context, slots: int, slots_in_use: int
) -> None:
    page = context.page
    assert page.status == 422, page.text
    assert f'the rest has {slots} slots for {slots_in_use} in use' in page.text
    assert context.consoles.in_force() == context.config_before


@behave.when(
    'ama takes out "{domain}" at a slow platform while the console stops'
)
def takes_out_while_stopping(context: runner.Context, domain: str) -> None:
    system = context.consoles

    async def _async_apply() -> browser.Page:
        review = await context.ama.async_review(f'out:{domain}')
        await asyncio.to_thread(system.control, {'mode': 'slow', 'delay_s': 1})
        apply_task = asyncio.create_task(
            context.ama.async_post('/apply', review.hidden)
        )
        await asyncio.sleep(APPLY_START_DELAY_S)
        system.processes['console-1'].term()
        return await apply_task

    context.page = context.run(_async_apply())


@behave.then('the console reports accepted before it exits with code {code:d}')
def completes_before_exit(context: runner.Context, code: int) -> None:
    assert context.page.heading == 'Accepted', context.page.text
    assert context.consoles.processes['console-1'].wait() == code
    context.consoles.control({'mode': 'up'})


@behave.then('the audit log lists the change of "{domain}"')
def audit_log_lists(context: runner.Context, domain: str) -> None:
    completed = context.consoles.run_ctl('--json', 'history')
    changes = json.loads(completed.stdout)['entries'][0]['changes']
    assert changes == [f'failure_domains[{domain}].out: false -> true'], (
        completed
    )


@behave.when(
    'the first console is killed {count:d} times while it applies drafts of ama'
)
def killed_while_applying(context: runner.Context, count: int) -> None:
    system = context.consoles
    generator = random.Random(SEED)
    context.kill_results = []
    for number in range(count):
        system.restart_console('console-1')
        review = context.run(_async_review_weight(context.ama, number))
        system.control({'mode': 'slow', 'delay_s': SLOW_CALL_S})
        pause_s = generator.uniform(0, 3 * SLOW_CALL_S)
        was_accepted = context.run(
            _async_apply_and_kill(context.ama, review, system, pause_s)
        )
        system.control({'mode': 'up'})
        context.ama.url = context.urls[1]
        page = context.run(context.ama.async_post('/apply', review.hidden))
        context.ama.url = context.urls[0]
        version = system.in_force()[0]
        context.kill_results.append((was_accepted, page.heading, version))
    print(
        'accepted before the kill, heading after the repeat, version in force:'
    )
    print(context.kill_results)


async def _async_review_weight(
    ama: browser.Browser, number: int
) -> browser.Page:
    page = await ama.async_get('/edit')
    page = await ama.async_set_rule(page, 'manuals', 'accra-a', number + 0.25)
    return await ama.async_post('/review', page.hidden)


async def _async_apply_and_kill(
    ama: browser.Browser,
    review: browser.Page,
    system: consoles.Consoles,
    pause_s: float,
) -> bool:
    """Kill the console during an update; return whether it was accepted."""
    apply_task = asyncio.create_task(ama.async_post('/apply', review.hidden))
    await asyncio.sleep(pause_s)
    await asyncio.to_thread(system.processes['console-1'].kill)
    try:
        return (await apply_task).heading == 'Accepted'
    except aiohttp.ClientError:
        return False


@behave.then('each draft is accepted when posted again at the second console')
def accepted_again(context: runner.Context) -> None:
    headings = [heading for _, heading, _ in context.kill_results]
    assert set(headings) == {'Accepted'}, context.kill_results


@behave.then('each draft took effect exactly once')
def took_effect_once(context: runner.Context) -> None:
    versions = [version for _, _, version in context.kill_results]
    expected = list(range(2, len(versions) + 2))
    assert versions == expected, context.kill_results


def _pages(context: runner.Context) -> list[browser.Page]:
    """Open one of each page."""

    async def _async_pages() -> list[browser.Page]:
        ama = context.ama
        pages = [await ama.async_get(path) for path in ('/', '/history')]
        edit = await ama.async_get('/edit')
        opened = edit.hidden | {'action': 'open:storefront'}
        pages += [edit, await ama.async_post('/service', opened)]
        rules = edit.hidden | {'action': 'open'}
        pages += [await ama.async_post('/rules', rules)]
        review = await ama.async_post('/review', edit.hidden)
        pages += [review, await ama.async_post('/apply', review.hidden)]
        anonymous = browser.Browser(context.urls[0])
        pages += [await anonymous.async_get('/')]
        return pages

    return context.run(_async_pages())


@behave.then('every console page has a mobile viewport and no script')
def has_mobile_viewport(context: runner.Context) -> None:
    context.pages = _pages(context)
    headings = [page.heading for page in context.pages]
    assert len(set(headings)) == len(headings) == 8, headings
    for page in context.pages:
        assert page.status == 200, page
        assert 'width=device-width' in page.text
        assert '<script' not in page.text
        assert not re.search(r'\son\w+=', page.text), page.text


@behave.then('every console page forbids scripts, frames and caching')
def forbids_scripts(context: runner.Context) -> None:
    for page in context.pages:
        policy = page.headers['Content-Security-Policy']
        assert "default-src 'none'" in policy, policy
        assert "frame-ancestors 'none'" in policy, policy
        assert page.headers['Cache-Control'] == 'no-store'
        cookies = page.headers.getall('Set-Cookie', [])
        assert all('SameSite=Strict' in cookie for cookie in cookies)
        assert all('HttpOnly' in cookie for cookie in cookies)
