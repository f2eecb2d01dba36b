"""Forms of the console and their conversion to parts of a document."""

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
        label, filters=[lambda text: (text or '').strip()]
    )


def _float_field(label: str) -> wtforms.FloatField:
    return wtforms.FloatField(label, [wtforms.validators.InputRequired()])


def _integer_field(label: str) -> wtforms.IntegerField:
    return wtforms.IntegerField(label, [wtforms.validators.InputRequired()])


class SignInForm(wtforms.Form):
    """Form with name and password."""

    name = _text_field('Name')
    password = wtforms.PasswordField('Password')


class FailureDomainForm(wtforms.Form):
    """Form of a new failure domain."""

    domain = _text_field('Failure domain')
    region = _text_field('Region')


class ClassForm(wtforms.Form):
    """Form of one class of a service; ignored if the name is empty."""

    name = _text_field('Class')
    methods = _text_field('Methods')
    path_prefix = _text_field('Path starts with')
    repeatable = wtforms.BooleanField('May be repeated')
    holds_slot = wtforms.BooleanField('Holds a slot')
    deadline_s = wtforms.FloatField(
        'Deadline (s), empty for none', [wtforms.validators.Optional()]
    )


class ClientAccountForm(wtforms.Form):
    """Form of one client account of a service; ignored if the name is empty."""

    name = _text_field('Client account')
    share = wtforms.FloatField('Share', [wtforms.validators.Optional()])


class ServiceForm(wtforms.Form):
    """Form of a service."""

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
    """Form of a rule."""

    service = wtforms.SelectField('Service')
    failure_domain = wtforms.SelectField('Failure domain')
    weight = _float_field('Weight')


def service_form(row: document.Service | None) -> ServiceForm:
    """Return the form of a service, with an empty row for each list.

    Args:
        row: The service; None for a new one with default values.
    """
    initial_data: dict[str, typing.Any] = {
        'slots': document_const.DEFAULT_SLOTS,
        'connections': document_const.DEFAULT_CONNECTIONS,
        'queue_s': document_const.DEFAULT_QUEUE_S,
        'queue_length': document_const.DEFAULT_QUEUE_LENGTH,
        'retry_budget': document_const.DEFAULT_RETRY_BUDGET,
        'start_share': document_const.DEFAULT_START_SHARE,
        'double_s': document_const.DEFAULT_DOUBLE_S,
    }
    if row is not None:
        initial_data.update(row['limits'])
        initial_data.update(row['ramp'])
        initial_data.update({key: row[key] for key in ('name', 'address')})
        initial_data['entry_port'] = row['entry_port']
        initial_data['client_accounts'] = list(row['client_accounts'])
        initial_data['classes'] = [
            {**traffic_class, 'methods': ', '.join(traffic_class['methods'])}
            for traffic_class in row['classes']
        ]
    form = ServiceForm(data=initial_data)
    add_empty_rows(form)
    return form


def add_empty_rows(form: ServiceForm) -> None:
    """Add an empty row for one more class and one more client account."""
    form.classes.append_entry(
        {'path_prefix': '/', 'holds_slot': True, 'repeatable': False}
    )
    form.client_accounts.append_entry({'share': document_const.DEFAULT_SHARE})


def service_row(form: ServiceForm) -> typing.Any:
    """Return the service that a submitted form describes, not yet validated."""
    form_data = form.data
    return {
        'name': form_data['name'],
        'address': form_data['address'],
        'entry_port': form_data['entry_port'],
        'limits': _select_keys(form_data, document.Limits),
        'ramp': _select_keys(form_data, document.Ramp),
        'classes': [
            _class_row(row) for row in form_data['classes'] if row['name']
        ],
        'client_accounts': [
            {
                'name': account['name'],
                'share': account['share'] or document_const.DEFAULT_SHARE,
            }
            for account in form_data['client_accounts']
            if account['name']
        ],
    }


def rule_form(draft: document.Document, posted: FormData = None) -> RuleForm:
    """Return the form of a new rule, with the choices of the draft."""
    form = RuleForm(posted, weight=document_const.DEFAULT_WEIGHT)
    form.service.choices = [row['name'] for row in draft['services']]
    form.failure_domain.choices = [
        row['name'] for row in draft['failure_domains']
    ]
    return form


def faults(form: wtforms.Form) -> list[str]:
    """Return the validation errors of a form, one line per error."""
    return [
        f'{path}: {reason}' for path, reason in _flatten_errors(form.errors, '')
    ]


def _flatten_errors(
    errors: typing.Any, path: str
) -> abc.Iterator[tuple[str, str]]:
    """Yield the path and reason of each error in a form and its rows."""
    if isinstance(errors, dict):
        for key, nested in errors.items():
            yield from _flatten_errors(nested, f'{path}.{key}'.lstrip('.'))
        return
    for index, error in enumerate(errors):
        if isinstance(error, str):
            yield path, error
        else:
            yield from _flatten_errors(error, f'{path}[{index}]')


def _class_row(form_data: dict[str, typing.Any]) -> dict[str, typing.Any]:
    methods = _SEPARATORS.split(form_data['methods'].upper())
    return {**form_data, 'methods': [method for method in methods if method]}


def _select_keys(
    form_data: dict[str, typing.Any], row_type: type[typing.Any]
) -> dict[str, typing.Any]:
    """Return the form values of the keys that a ``TypedDict`` defines."""
    return {key: form_data[key] for key in row_type.__annotations__}
