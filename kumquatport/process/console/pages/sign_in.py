"""Sign-in and sign-out of operators."""

from aiohttp import web

from kumquatport.process.console import (
    const,
    context,
    errors,
    forms,
    sessions,
)


async def async_form(request: web.Request) -> web.Response:
    """Show the sign-in form, with a new session for its token if needed."""
    if context.SESSION not in request:
        request[context.SESSION] = sessions.start('')
    return _form_page(request, forms.SignInForm(), '')


async def async_sign_in(request: web.Request) -> web.StreamResponse:
    """Check name and password, and start a session."""
    form = forms.SignInForm(await request.post())
    form_data = form.data
    page_context = context.from_request(request)
    try:
        await page_context.password_checker.async_check(
            form_data['name'] or '',
            form_data['password'] or '',
            request.remote or '',
        )
    except errors.SignInError as error:
        page_context.count_event(const.COUNT_SIGN_IN_FAILED)
        status = web.HTTPUnauthorized.status_code
        return _form_page(request, form, str(error), status)
    except errors.TooManyAttemptsError as too_many:
        status = web.HTTPTooManyRequests.status_code
        return _form_page(request, form, str(too_many), status)
    response = _redirect(const.PATH_OVERVIEW)
    session = sessions.start(form_data['name'])
    sessions.store(
        page_context.signing_key, response, session, secure=page_context.secure
    )
    return response


async def async_sign_out(request: web.Request) -> web.StreamResponse:
    """Delete the session cookie."""
    response = _redirect(const.PATH_SIGN_IN)
    response.del_cookie(const.COOKIE_SESSION, path='/')
    return response


def _redirect(path: str) -> web.Response:
    """Return a redirect to another page."""
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
    page_context = context.from_request(request)
    session = request[context.SESSION]
    sessions.store(
        page_context.signing_key, response, session, secure=page_context.secure
    )
    return response
