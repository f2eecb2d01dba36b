"""The console as an aiohttp application."""

import pathlib

import aiohttp_jinja2
import jinja2
from aiohttp import web

from kumquatport.process.console import const, context, middleware
from kumquatport.process.console.pages import (
    editing,
    overview,
    reviewing,
    rules,
    services,
    sign_in,
)

_PACKAGE_DIR = pathlib.Path(__file__).parent


def build(page_context: context.PageContext) -> web.Application:
    """Build the application.

    Args:
        page_context: Objects that the pages share.
    """
    app = web.Application(
        middlewares=[middleware.async_protect],
        client_max_size=const.MAX_BODY_BYTES,
    )
    app[context.PAGE_CONTEXT] = page_context
    aiohttp_jinja2.setup(
        app,
        loader=jinja2.FileSystemLoader(_PACKAGE_DIR / 'templates'),
        undefined=jinja2.StrictUndefined,
    )
    app.router.add_static(const.PATH_STATIC, _PACKAGE_DIR / 'static')
    app.add_routes(_routes())
    return app


def _routes() -> list[web.RouteDef]:
    return [
        web.get(const.PATH_SIGN_IN, sign_in.async_form),
        web.post(const.PATH_SIGN_IN, sign_in.async_sign_in),
        web.post(const.PATH_SIGN_OUT, sign_in.async_sign_out),
        web.get(const.PATH_OVERVIEW, overview.async_overview),
        web.get(const.PATH_HISTORY, overview.async_history),
        web.get(const.PATH_EDIT, editing.async_start),
        web.post(const.PATH_EDIT, editing.async_edit),
        web.post(const.PATH_SERVICE, services.async_service),
        web.post(const.PATH_RULES, rules.async_rules),
        web.post(const.PATH_REVIEW, reviewing.async_review),
        web.post(const.PATH_APPLY, reviewing.async_apply),
        web.post(const.PATH_OUTCOME, reviewing.async_outcome),
    ]
