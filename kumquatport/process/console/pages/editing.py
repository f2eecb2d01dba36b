"""Draft page: edits failure domains, removes services and links to the rest."""

import asyncio
import functools
from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, context, errors, forms
from kumquatport.version import acceptance, document

DraftChange = abc.Callable[[document.Document], document.Document]


async def async_start(request: web.Request) -> web.Response:
    """Start a draft from the document in force."""
    in_force = await acceptance.async_read_in_force(
        context.from_request(request).client
    )
    draft = document.draft(in_force.document, in_force.version)
    return await async_draft_page(request, draft)


async def async_edit(request: web.Request) -> web.Response:
    """Apply one change to a draft, or only show it."""
    draft = await context.async_read_draft(request)
    verb, target = await context.async_read_action(request)
    if not verb:
        return await async_draft_page(request, draft)
    change = await _async_parse_change(request, verb, target)
    try:
        changed = await async_apply_change(draft, change)
    except exceptions.DocumentRejectedError as rejected:
        return await async_draft_page(request, draft, rejected.faults)
    return await async_draft_page(request, changed)


async def async_apply_change(
    draft: document.Document, change: DraftChange
) -> document.Document:
    """Return the changed draft, validated in a worker thread.

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
    """Show the page of a draft."""
    search_text = await _async_read_search_text(request)
    names = [
        row['name'] for row in draft['services'] if search_text in row['name']
    ]
    status = 200
    if faults:
        status = web.HTTPUnprocessableEntity.status_code
    content = {
        'draft': draft,
        'sealed': context.sign_draft(request, draft),
        'faults': faults,
        'find': search_text,
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
    request: web.Request, verb: str, target: str
) -> DraftChange:
    """Return the change that an action requests.

    Raises:
        UnknownActionError: The page does not support the action.
    """
    if verb == 'add-domain':
        form_data = forms.FailureDomainForm(await request.post()).data
        return functools.partial(
            document.with_failure_domain,
            name=form_data['domain'],
            region=form_data['region'],
        )
    if verb in {'out', 'in'}:
        return functools.partial(
            document.with_domain_out, name=target, out=verb == 'out'
        )
    if verb == 'remove-domain':
        return functools.partial(document.without_failure_domain, name=target)
    if verb == 'remove-service':
        return functools.partial(document.without_service, name=target)
    raise errors.UnknownActionError(verb)
