"""Editing a draft: the hub, failure domains, removal of services."""

import asyncio
import functools
from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, context, errors, forms
from kumquatport.version import acceptance, document

DraftChange = abc.Callable[[document.Document], document.Document]


async def async_start(request: web.Request) -> web.Response:
    """Start a draft from what is in force."""
    in_force = await acceptance.async_read_in_force(
        context.from_request(request).client
    )
    draft = document.draft(in_force.document, in_force.version)
    return await async_draft_page(request, draft)


async def async_edit(request: web.Request) -> web.Response:
    """Make one change to a draft, or just show it."""
    draft = await context.async_read_draft(request)
    verb, subject = await context.async_read_action(request)
    if not verb:
        return await async_draft_page(request, draft)
    change = await _async_parse_change(request, verb, subject)
    try:
        changed = await async_apply_change(draft, change)
    except exceptions.DocumentRejectedError as rejected:
        return await async_draft_page(request, draft, rejected.faults)
    return await async_draft_page(request, changed)


async def async_apply_change(
    draft: document.Document, change: DraftChange
) -> document.Document:
    """Return the changed draft, checked off the event loop.

    Raises:
        DocumentRejectedError: The change makes the draft invalid.
    """
    return await asyncio.to_thread(
        lambda: document.check(change(draft)),
    )


async def async_draft_page(
    request: web.Request,
    draft: document.Document,
    faults: abc.Sequence[exceptions.Fault] = (),
) -> web.Response:
    """Show the draft as a whole."""
    find = await _async_read_search_text(request)
    names = [row['name'] for row in draft['services'] if find in row['name']]
    status = 200
    if faults:
        status = web.HTTPUnprocessableEntity.status_code
    content = {
        'draft': draft,
        'sealed': context.sign_draft(request, draft),
        'faults': faults,
        'find': find,
        'names': names[: const.MAX_SHOWN_ROWS],
        'found': len(names),
        'form': forms.FailureDomainForm(),
    }
    return context.render_page(request, 'edit.html', content, status)


async def _async_read_search_text(request: web.Request) -> str:
    if request.method != 'POST':
        return ''
    return await context.async_read_field(request, const.FIELD_FIND)


async def _async_parse_change(
    request: web.Request, verb: str, subject: str
) -> DraftChange:
    """Return the change that an action stands for.

    Raises:
        UnknownActionError: There is no such action.
    """
    if verb == 'add-domain':
        typed = forms.FailureDomainForm(await request.post()).data
        return functools.partial(
            document.with_failure_domain,
            name=typed['domain'],
            region=typed['region'],
        )
    if verb in {'out', 'in'}:
        return functools.partial(
            document.with_domain_out, name=subject, out=verb == 'out'
        )
    if verb == 'remove-domain':
        return functools.partial(document.without_failure_domain, name=subject)
    if verb == 'remove-service':
        return functools.partial(document.without_service, name=subject)
    raise errors.UnknownActionError(verb)
