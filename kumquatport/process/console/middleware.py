"""Middleware for sessions, cross-site request protection and error pages."""

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
    """Require a session and a same-site origin, and add security headers."""
    try:
        response = await _async_handle(request, handler)
    except web.HTTPException as http_error:
        http_error.headers.update(_SECURITY_HEADERS)
        raise
    response.headers.update(_SECURITY_HEADERS)
    return response


async def _async_handle(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Handle a request; a ``KumquatportError`` becomes an error page."""
    if request.path.startswith(const.PATH_STATIC):
        return await handler(request)
    signing_key = context.from_request(request).signing_key
    session = sessions.load(signing_key, request)
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
    """Check the origin of a request and its operator.

    Raises:
        CrossSiteError: The form was posted from another site or session.
        HTTPSeeOther: No known operator is signed in.
    """
    if request.method == 'POST':
        _check_origin(request)
        form_token = await context.async_read_field(request, const.FIELD_CSRF)
        sessions.check_form_token(
            context.from_request(request).signing_key, session, form_token
        )
    if request.path == const.PATH_SIGN_IN:
        return
    is_known = context.from_request(request).password_checker.is_operator(
        context.operator(request)
    )
    if not is_known:
        raise web.HTTPSeeOther(const.PATH_SIGN_IN)


def _check_origin(request: web.Request) -> None:
    """Check the headers in which the browser reports the origin of a form.

    Raises:
        CrossSiteError: The headers name another site or origin.
    """
    fetch_site = request.headers.get('Sec-Fetch-Site', 'same-origin')
    if fetch_site not in {'same-origin', 'none'}:
        raise errors.CrossSiteError(f'posted from {fetch_site}')
    origin = request.headers.get('Origin')
    if (
        origin is not None
        and urllib_parse.urlsplit(origin).netloc != request.host
    ):
        raise errors.CrossSiteError('posted from another origin')


def _problem_page(
    request: web.Request, error: exceptions.KumquatportError
) -> web.Response:
    """Return the error page for an error."""
    status = web.HTTPInternalServerError.status_code
    for error_class, error_status in _STATUS_CODES:
        if isinstance(error, error_class):
            status = error_status
    _LOGGER.info('request refused', path=request.path, error=error)
    return context.render_page(
        request, 'problem.html', {'error': error}, status
    )
