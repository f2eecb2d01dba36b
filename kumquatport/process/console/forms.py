"""Forms of the console and what they turn into."""

import re
import typing
from collections import abc

import wtforms

from kumquatport.version import document
from kumquatport.version.document import const as document_const

_SEPARATORS = re.compile('[ ,]+')

FormData: typing.TypeAlias = typing.Any


def _text_field(label: str) -> wtforms.StringField:
    return wtforms.StringField(
        label, filters=[lambda typed: (typed or '').strip()]
    )


def _float_field(label: str) -> wtforms.FloatField:
    return wtforms.FloatField(label, [wtforms.validators.InputRequired()])


def _integer_field(label: str) -> wtforms.IntegerField:
    return wtforms.IntegerField(label, [wtforms.validators.InputRequired()])


class SignInForm(wtforms.Form):
    """Name and password."""

    name = _text_field('Name')
    password = wtforms.PasswordField('Password')


class FailureDomainForm(wtforms.Form):
    """One more failure domain."""

    domain = _text_field('Failure domain')
    region = _text_field('Region')


class ClassForm(wtforms.Form):
    """One class of a service; without a name it does not count."""

    name = _text_field('Class')
    methods = _text_field('Methods')
    path_prefix = _text_field('Path starts with')
    repeatable = wtforms.BooleanField('May be repeated')
    holds_slot = wtforms.BooleanField('Holds a slot')
    deadline_s = wtforms.FloatField(
        'Deadline (s), empty for none', [wtforms.validators.Optional()]
    )


class ClientAccountForm(wtforms.Form):
    """One client account of a service; without a name it does not count."""

    name = _text_field('Client account')
    share = wtforms.FloatField('Share', [wtforms.validators.Optional()])


class ServiceForm(wtforms.Form):
    """One service."""

    name = _text_field('Name')
    address = _text_field('Address and port')
    entry_port = _integer_field('Entry port')
    slots = _integer_field('Slots of a backend server')
    connections = _integer_field('Connections of a backend server')
    queue_s = _float_field('Longest wait in the queue (s)')
    queue_length = _integer_field('Most requests in the queue')
    retry_budget = _float_field('Retries for each request')
    start_share = _float_field('Share of full work at the start')
    double_s = _float_field('Time in which work doubles (s)')
    classes = wtforms.FieldList(wtforms.FormField(ClassForm))
    client_accounts = wtforms.FieldList(wtforms.FormField(ClientAccountForm))


class RuleForm(wtforms.Form):
    """One rule."""

    service = wtforms.SelectField('Service')
    failure_domain = wtforms.SelectField('Failure domain')
    weight = _float_field('Weight')


def service_form(row: document.Service | None) -> ServiceForm:
    """Return the form of a service, or of a new one, with rows to spare."""
    content: dict[str, typing.Any] = {
        'slots': document_const.DEFAULT_SLOTS,
        'connections': document_const.DEFAULT_CONNECTIONS,
        'queue_s': document_const.DEFAULT_QUEUE_S,
        'queue_length': document_const.DEFAULT_QUEUE_LENGTH,
        'retry_budget': document_const.DEFAULT_RETRY_BUDGET,
        'start_share': document_const.DEFAULT_START_SHARE,
        'double_s': document_const.DEFAULT_DOUBLE_S,
    }
    if row is not None:
        content.update(row['limits'])
        content.update(row['ramp'])
        content.update({key: row[key] for key in ('name', 'address')})
        content['entry_port'] = row['entry_port']
        content['client_accounts'] = list(row['client_accounts'])
        content['classes'] = [
            {**one, 'methods': ', '.join(one['methods'])}
            for one in row['classes']
        ]
    form = ServiceForm(data=content)
    add_empty_rows(form)
    return form


def add_empty_rows(form: ServiceForm) -> None:
    """Add an empty row for one more class and one more client account."""
    form.classes.append_entry(
        {'path_prefix': '/', 'holds_slot': True, 'repeatable': False}
    )
    form.client_accounts.append_entry({'share': document_const.DEFAULT_SHARE})


def service_row(form: ServiceForm) -> typing.Any:
    """Return the service that a filled in form describes, not yet checked."""
    typed = form.data
    return {
        'name': typed['name'],
        'address': typed['address'],
        'entry_port': typed['entry_port'],
        'limits': _select_keys(typed, document.Limits),
        'ramp': _select_keys(typed, document.Ramp),
        'classes': [_class_row(one) for one in typed['classes'] if one['name']],
        'client_accounts': [
            {
                'name': one['name'],
                'share': one['share'] or document_const.DEFAULT_SHARE,
            }
            for one in typed['client_accounts']
            if one['name']
        ],
    }


def rule_form(draft: document.Document, posted: FormData = None) -> RuleForm:
    """Return the form of one more rule."""
    form = RuleForm(posted, weight=document_const.DEFAULT_WEIGHT)
    form.service.choices = [row['name'] for row in draft['services']]
    form.failure_domain.choices = [
        row['name'] for row in draft['failure_domains']
    ]
    return form


def faults(form: wtforms.Form) -> list[str]:
    """Return what does not fit in a form, one line each."""
    return [
        f'{path}: {reason}' for path, reason in _flatten_errors(form.errors, '')
    ]


def _flatten_errors(
    found: typing.Any, path: str
) -> abc.Iterator[tuple[str, str]]:
    """Yield path and reason of each error in a form and its rows."""
    if isinstance(found, dict):
        for key, under in found.items():
            yield from _flatten_errors(under, f'{path}.{key}'.lstrip('.'))
        return
    for index, one in enumerate(found):
        if isinstance(one, str):
            yield path, one
        else:
            yield from _flatten_errors(one, f'{path}[{index}]')


def _class_row(typed: dict[str, typing.Any]) -> dict[str, typing.Any]:
    methods = _SEPARATORS.split(typed['methods'].upper())
    return {**typed, 'methods': [method for method in methods if method]}


def _select_keys(
    typed: dict[str, typing.Any], keys: type[typing.Any]
) -> dict[str, typing.Any]:
    """Return the typed values that a part of the service has."""
    return {key: typed[key] for key in keys.__annotations__}
