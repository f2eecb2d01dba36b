"""Page that edits one service of a draft."""

import functools
from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, context, errors, forms
from kumquatport.process.console.pages import editing
from kumquatport.version import document


async def async_service(request: web.Request) -> web.Response:
    """Show the form of a service, add empty rows to it or save it."""
    draft = await context.async_read_draft(request)
    verb, target = await context.async_read_action(request)
    if verb == 'open':
        row = document.service(draft, target) if target else None
        return _form_page(request, draft, forms.service_form(row), target)
    name = await context.async_read_field(request, const.FIELD_SERVICE)
    form = forms.ServiceForm(await request.post())
    if verb == 'rows':
        forms.add_empty_rows(form)
        return _form_page(request, draft, form, name)
    if verb == 'save':
        return await _async_save(request, draft, form, name)
    raise errors.UnknownActionError(verb)


async def _async_save(
    request: web.Request,
    draft: document.Document,
    form: forms.ServiceForm,
    name: str,
) -> web.Response:
    """Save the service in the draft, or show the errors."""
    if not form.validate():
        return _form_page(request, draft, form, name, forms.faults(form))
    change = functools.partial(
        document.with_service, name=name, replacement=forms.service_row(form)
    )
    try:
        changed = await editing.async_apply_change(draft, change)
    except exceptions.DocumentRejectedError as rejected:
        faults = [f'{fault.path}: {fault.reason}' for fault in rejected.faults]
        return _form_page(request, draft, form, name, faults)
    return await editing.async_draft_page(request, changed)


def _form_page(
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
        'sealed': context.sign_draft(request, draft),
        'faults': faults,
    }
    return context.render_page(request, 'service.html', content, status)
