"""Objects that the pages share, and helpers to read forms and render pages."""

import typing
from collections import abc

import aiohttp_jinja2
from aiohttp import web

from kumquatport import objects
from kumquatport.process.console import const, drafts, passwords, sessions
from kumquatport.version import document

RecordAcceptance = abc.Callable[[typing.Any], None]


class PageContext(typing.NamedTuple):
    """Objects that the pages share.

    Attributes:
        client: Client of the platform.
        password_checker: Checks sign-ins.
        signing_key: Signs sessions, forms and drafts.
        instances: Root URLs of the status servers of instances, to query the
            load.
        secure: Whether the forms are served over TLS.
        record_acceptance: Writes the audit entry of an accepted document in
            the background.
        count_event: Increments a counter of the metrics.
    """

    client: objects.ObjectStore
    password_checker: passwords.PasswordChecker
    signing_key: bytes
    instances: tuple[str, ...]
    secure: bool
    record_acceptance: RecordAcceptance
    count_event: abc.Callable[[str], None]


PAGE_CONTEXT: typing.Final = web.AppKey('parts', PageContext)
SESSION: typing.Final = web.RequestKey('session', sessions.Session)


def from_request(request: web.Request) -> PageContext:
    """Return the page context of the console that received the request."""
    return request.app[PAGE_CONTEXT]


def operator(request: web.Request) -> str:
    """Return the name of the signed-in operator, or an empty string."""
    session = request.get(SESSION)
    return session.operator if session is not None else ''


def render_page(
    request: web.Request,
    template: str,
    content: abc.Mapping[str, object],
    status: int = 200,
) -> web.Response:
    """Render a page.

    Args:
        request: The request.
        template: File name of the template.
        content: Variables of the template.
        status: HTTP status code.
    """
    session = request.get(SESSION)
    csrf_token = ''
    if session is not None:
        csrf_token = sessions.form_token(
            from_request(request).signing_key, session
        )
    common_variables = {
        'operator': operator(request),
        'csrf': csrf_token,
        'const': const,
    }
    return aiohttp_jinja2.render_template(
        template, request, {**common_variables, **content}, status=status
    )


def sign_draft(request: web.Request, draft: document.Document) -> str:
    """Return the draft as a signed token for the forms of this operator."""
    return drafts.sign(
        from_request(request).signing_key, operator(request), draft
    )


def verify_draft(request: web.Request, token: str) -> document.Document:
    """Return the draft of a signed token.

    Raises:
        TokenError: The token was not signed for this operator's drafts.
    """
    return drafts.verify(
        from_request(request).signing_key, operator(request), token
    )


async def async_read_field(request: web.Request, name: str) -> str:
    """Return a text field of the posted form; empty if it is absent."""
    form_data = await request.post()
    field_text = form_data.get(name, '')
    return field_text if isinstance(field_text, str) else ''


async def async_read_draft(request: web.Request) -> document.Document:
    """Return the draft in the posted form.

    Raises:
        TokenError: The draft was not signed for this operator.
    """
    return verify_draft(
        request, await async_read_field(request, const.FIELD_DRAFT)
    )


async def async_read_action(request: web.Request) -> tuple[str, str]:
    """Return the verb and the target of the posted action, ``verb:target``."""
    action = await async_read_field(request, const.FIELD_ACTION)
    verb, _, target = action.partition(':')
    return verb, target
