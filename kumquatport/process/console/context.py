"""What the pages share, and how they are shown."""

import typing
from collections import abc

import aiohttp_jinja2
from aiohttp import web

from kumquatport import objects
from kumquatport.process.console import const, drafts, passwords, sessions
from kumquatport.version import document

RecordAcceptance = abc.Callable[[typing.Any], None]


class PageContext(typing.NamedTuple):
    """What the pages share.

    Attributes:
        client: Access to the platform.
        passwords: Checks sign-ins.
        key: Signs sessions, forms and drafts.
        instances: Roots of instances' status servers, for the load.
        secure: Whether the forms are served over TLS.
        record: Writes an acceptance's audit entry in the background.
        count_event: Adds one to a counter of the metrics.
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
    """Return the parts of the console that got the request."""
    return request.app[PAGE_CONTEXT]


def operator(request: web.Request) -> str:
    """Return who signed in; empty before that."""
    session = request.get(SESSION)
    return session.operator if session is not None else ''


def render_page(
    request: web.Request,
    template: str,
    content: abc.Mapping[str, object],
    status: int = 200,
) -> web.Response:
    """Show a page.

    Args:
        request: What is answered.
        template: File name of the template.
        content: What the template shows.
        status: HTTP status code.
    """
    session = request.get(SESSION)
    token = ''
    if session is not None:
        token = sessions.form_token(from_request(request).signing_key, session)
    shared = {'operator': operator(request), 'csrf': token, 'const': const}
    return aiohttp_jinja2.render_template(
        template, request, {**shared, **content}, status=status
    )


def sign_draft(request: web.Request, draft: document.Document) -> str:
    """Return the draft as a signed field for this operator's forms."""
    return drafts.sign(
        from_request(request).signing_key, operator(request), draft
    )


def verify_draft(request: web.Request, token: str) -> document.Document:
    """Return the draft that this operator's form carried.

    Raises:
        TokenError: It is not this operator's draft.
    """
    return drafts.verify(
        from_request(request).signing_key, operator(request), token
    )


async def async_read_field(request: web.Request, name: str) -> str:
    """Return a field of the posted form, empty when it is absent."""
    posted = await request.post()
    typed = posted.get(name, '')
    return typed if isinstance(typed, str) else ''


async def async_read_draft(request: web.Request) -> document.Document:
    """Return the draft that the posted form carried.

    Raises:
        TokenError: It is not this operator's draft.
    """
    return verify_draft(
        request, await async_read_field(request, const.FIELD_DRAFT)
    )


async def async_read_action(request: web.Request) -> tuple[str, str]:
    """Return the action of the posted form and what it is about."""
    action = await async_read_field(request, const.FIELD_ACTION)
    verb, _, subject = action.partition(':')
    return verb, subject
