"""What every request passes: sessions, forms of this site only, errors."""

import typing
from collections import abc
from urllib import parse as urllib_parse

import structlog
from aiohttp import web

from kumquatport import exceptions
from kumquatport.process.console import const, context, errors, sessions

_LOGGER = structlog.get_logger(__name__)

Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]

_SECURITY_HEADERS: typing.Final = (
    ('Cache-Control', 'no-store'),
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'",
    ),
    ('Cross-Origin-Opener-Policy', 'same-origin'),
    ('Referrer-Policy', 'same-origin'),
    ('X-Content-Type-Options', 'nosniff'),
    ('X-Frame-Options', 'DENY'),
)

_STATUS_CODES: typing.Final = (
    (errors.CrossSiteError, web.HTTPForbidden.status_code),
    (errors.TokenError, web.HTTPBadRequest.status_code),
    (errors.UnknownActionError, web.HTTPBadRequest.status_code),
    (exceptions.NotInDocumentError, web.HTTPNotFound.status_code),
    (exceptions.DocumentRejectedError, web.HTTPUnprocessableEntity.status_code),
    (
        exceptions.PlatformUnavailableError,
        web.HTTPServiceUnavailable.status_code,
    ),
)


@web.middleware
async def async_protect(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Let a request pass only with a session and from this site."""
    try:
        response = await _async_handle(request, handler)
    except web.HTTPException as answer:
        answer.headers.update(_SECURITY_HEADERS)
        raise
    response.headers.update(_SECURITY_HEADERS)
    return response


async def _async_handle(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Answer a request; typed failures become pages."""
    if request.path.startswith(const.PATH_STATIC):
        return await handler(request)
    key = context.from_request(request).signing_key
    session = sessions.load(key, request)
    if session is not None:
        request[context.SESSION] = session
    try:
        await _async_check_access(request, session)
        return await handler(request)
    except exceptions.KumquatportError as error:
        return _problem_page(request, error)


async def _async_check_access(
    request: web.Request, session: sessions.Session | None
) -> None:
    """Check where a request comes from and who sent it.

    Raises:
        CrossSiteError: Another site made the browser send it.
        HTTPSeeOther: It has to sign in first.
    """
    if request.method == 'POST':
        _check_origin(request)
        given = await context.async_read_field(request, const.FIELD_CSRF)
        sessions.check_form_token(
            context.from_request(request).signing_key, session, given
        )
    if request.path == const.PATH_SIGN_IN:
        return
    known = context.from_request(request).password_checker.is_operator(
        context.operator(request)
    )
    if not known:
        raise web.HTTPSeeOther(const.PATH_SIGN_IN)


def _check_origin(request: web.Request) -> None:
    """Check what the browser says about the form's site.

    Raises:
        CrossSiteError: It says that it is another one.
    """
    site = request.headers.get('Sec-Fetch-Site', 'same-origin')
    if site not in {'same-origin', 'none'}:
        raise errors.CrossSiteError(f'posted from {site}')
    origin = request.headers.get('Origin')
    if (
        origin is not None
        and urllib_parse.urlsplit(origin).netloc != request.host
    ):
        raise errors.CrossSiteError('posted from another origin')


def _problem_page(
    request: web.Request, error: exceptions.KumquatportError
) -> web.Response:
    """Show a failure."""
    status = web.HTTPInternalServerError.status_code
    for kind, code in _STATUS_CODES:
        if isinstance(error, kind):
            status = code
    _LOGGER.info('request refused', path=request.path, error=error)
    return context.render_page(
        request, 'problem.html', {'error': error}, status
    )
