"""Editing one service of a draft."""

import functools
from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, errors, forms, parts
from kumquatport.process.console.pages import editing
from kumquatport.version import document


async def async_service(request: web.Request) -> web.Response:
    """Show, extend or save the form of one service."""
    draft = await parts.async_draft(request)
    verb, subject = await parts.async_action(request)
    if verb == 'open':
        row = document.service(draft, subject) if subject else None
        return _form(request, draft, forms.service_form(row), subject)
    name = await parts.async_field(request, const.FIELD_SERVICE)
    form = forms.ServiceForm(await request.post())
    if verb == 'rows':
        forms.add_rows(form)
        return _form(request, draft, form, name)
    if verb == 'save':
        return await _async_save(request, draft, form, name)
    raise errors.UnknownActionError(verb)


async def _async_save(
    request: web.Request,
    draft: document.Document,
    form: forms.ServiceForm,
    name: str,
) -> web.Response:
    """Take the service into the draft, or show what does not fit."""
    if not form.validate():
        return _form(request, draft, form, name, forms.faults(form))
    change = functools.partial(
        document.with_service, name=name, replacement=forms.service_row(form)
    )
    try:
        changed = await editing.async_changed(draft, change)
    except exceptions.DocumentRejectedError as rejected:
        faults = [f'{fault.path}: {fault.reason}' for fault in rejected.faults]
        return _form(request, draft, form, name, faults)
    return await editing.async_hub(request, changed)


def _form(
    request: web.Request,
    draft: document.Document,
    form: forms.ServiceForm,
    name: str,
    faults: abc.Sequence[str] = (),
) -> web.Response:
    status = web.HTTPUnprocessableEntity.status_code if faults else 200
    content = {
        'form': form,
        'name': name,
        'sealed': parts.seal(request, draft),
        'faults': faults,
    }
    return parts.page(request, 'service.html', content, status)
