"""Editing the rules of a draft."""

import functools
from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, errors, forms, parts
from kumquatport.process.console.pages import editing
from kumquatport.version import document


async def async_rules(request: web.Request) -> web.Response:
    """Show the rules, set one or remove one."""
    draft = await parts.async_draft(request)
    verb, subject = await parts.async_action(request)
    if verb == 'open':
        return await _async_page(request, draft, forms.rule_form(draft))
    if verb == 'remove':
        service, _, failure_domain = subject.partition('/')
        draft = document.without_rule(draft, service, failure_domain)
        return await _async_page(request, draft, forms.rule_form(draft))
    if verb == 'set':
        return await _async_set(request, draft)
    raise errors.UnknownActionError(verb)


async def _async_set(
    request: web.Request, draft: document.Document
) -> web.Response:
    """Set the weight of one pair, or show what does not fit."""
    form = forms.rule_form(draft, await request.post())
    if not form.validate():
        return await _async_page(request, draft, form, forms.faults(form))
    typed = form.data
    added: document.Rule = {
        'service': typed['service'],
        'failure_domain': typed['failure_domain'],
        'weight': typed['weight'],
    }
    change = functools.partial(document.with_rule, added=added)
    try:
        draft = await editing.async_changed(draft, change)
    except exceptions.DocumentRejectedError as rejected:
        faults = [fault.reason for fault in rejected.faults]
        return await _async_page(request, draft, form, faults)
    return await _async_page(request, draft, forms.rule_form(draft))


async def _async_page(
    request: web.Request,
    draft: document.Document,
    form: forms.RuleForm,
    faults: abc.Sequence[str] = (),
) -> web.Response:
    find = await parts.async_field(request, const.FIELD_FIND)
    found = [rule for rule in draft['rules'] if find in rule['service']]
    content = {
        'form': form,
        'sealed': parts.seal(request, draft),
        'faults': faults,
        'find': find,
        'rules': found[: const.MAX_SHOWN_ROWS],
        'found': len(found),
    }
    status = web.HTTPUnprocessableEntity.status_code if faults else 200
    return parts.page(request, 'rules.html', content, status)
