"""Signing in and out."""

from aiohttp import web

from kumquatport.process.console import (
    const,
    context,
    errors,
    forms,
    sessions,
)


async def async_form(request: web.Request) -> web.Response:
    """Show the sign-in form, with a session that its token belongs to."""
    if context.SESSION not in request:
        request[context.SESSION] = sessions.start('')
    return _form_page(request, forms.SignInForm(), '')


async def async_sign_in(request: web.Request) -> web.StreamResponse:
    """Check name and password."""
    form = forms.SignInForm(await request.post())
    typed = form.data
    shared = context.from_request(request)
    try:
        await shared.password_checker.async_check(
            typed['name'] or '',
            typed['password'] or '',
            request.remote or '',
        )
    except errors.SignInError as error:
        shared.count_event(const.COUNT_SIGN_IN_FAILED)
        status = web.HTTPUnauthorized.status_code
        return _form_page(request, form, str(error), status)
    except errors.TooManyAttemptsError as too_many:
        status = web.HTTPTooManyRequests.status_code
        return _form_page(request, form, str(too_many), status)
    response = _redirect(const.PATH_OVERVIEW)
    session = sessions.start(typed['name'])
    sessions.store(shared.signing_key, response, session, secure=shared.secure)
    return response


async def async_sign_out(request: web.Request) -> web.StreamResponse:
    """Take the session from the browser."""
    response = _redirect(const.PATH_SIGN_IN)
    response.del_cookie(const.COOKIE_SESSION, path='/')
    return response


def _redirect(path: str) -> web.Response:
    """Send the browser to another page."""
    return web.Response(
        status=web.HTTPSeeOther.status_code, headers={'Location': path}
    )


def _form_page(
    request: web.Request,
    form: forms.SignInForm,
    fault: str,
    status: int = 200,
) -> web.Response:
    content = {'form': form, 'fault': fault}
    response = context.render_page(request, 'sign_in.html', content, status)
    if status == web.HTTPTooManyRequests.status_code:
        response.headers['Retry-After'] = str(int(const.ATTEMPT_WINDOW_S))
    shared = context.from_request(request)
    session = request[context.SESSION]
    sessions.store(shared.signing_key, response, session, secure=shared.secure)
    return response
