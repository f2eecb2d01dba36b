"""Page that edits the rules of a draft."""

import functools
from collections import abc

from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, context, errors, forms
from kumquatport.process.console.pages import editing
from kumquatport.version import document


async def async_rules(request: web.Request) -> web.Response:
    """Show the rules, or set or remove one."""
    draft = await context.async_read_draft(request)
    verb, target = await context.async_read_action(request)
    if verb == 'open':
        return await _async_rules_page(request, draft, forms.rule_form(draft))
    if verb == 'remove':
        service, _, failure_domain = target.partition('/')
        draft = document.without_rule(draft, service, failure_domain)
        return await _async_rules_page(request, draft, forms.rule_form(draft))
    if verb == 'set':
        return await _async_set_rule(request, draft)
    raise errors.UnknownActionError(verb)


async def _async_set_rule(
    request: web.Request, draft: document.Document
) -> web.Response:
    """Set the weight of a service in a failure domain, or show the errors."""
    form = forms.rule_form(draft, await request.post())
    if not form.validate():
        return await _async_rules_page(request, draft, form, forms.faults(form))
    form_data = form.data
    added: document.Rule = {
        'service': form_data['service'],
        'failure_domain': form_data['failure_domain'],
        'weight': form_data['weight'],
    }
    change = functools.partial(document.with_rule, added=added)
    try:
        draft = await editing.async_apply_change(draft, change)
    except exceptions.DocumentRejectedError as rejected:
        faults = [fault.reason for fault in rejected.faults]
        return await _async_rules_page(request, draft, form, faults)
    return await _async_rules_page(request, draft, forms.rule_form(draft))


async def _async_rules_page(
    request: web.Request,
    draft: document.Document,
    form: forms.RuleForm,
    faults: abc.Sequence[str] = (),
) -> web.Response:
    search_text = await context.async_read_field(request, const.FIELD_FIND)
    matching_rules = [
        rule for rule in draft['rules'] if search_text in rule['service']
    ]
    content = {
        'form': form,
        'sealed': context.sign_draft(request, draft),
        'faults': faults,
        'find': search_text,
        'rules': matching_rules[: const.MAX_SHOWN_ROWS],
        'found': len(matching_rules),
    }
    status = web.HTTPUnprocessableEntity.status_code if faults else 200
    return context.render_page(request, 'rules.html', content, status)
