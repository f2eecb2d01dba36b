"""Sessions of operators, held in a signed cookie alone."""

import secrets
import time
import typing

import msgspec
from aiohttp import web

from kumquatport.process.console import const, errors, tokens


class Session(typing.NamedTuple):
    """One browser's session.

    Attributes:
        operator: Who signed in; empty before that.
        nonce: Ties the tokens of forms to this session.
        expires_s: Unix time of its end.
    """

    operator: str
    nonce: str
    expires_s: float


def start(operator: str) -> Session:
    """Return a new session."""
    nonce = secrets.token_hex(const.NONCE_BYTES)
    return Session(operator, nonce, time.time() + const.SESSION_LIFETIME_S)


def load(key: bytes, request: web.Request) -> Session | None:
    """Return the session of a request, or None when it has no valid one."""
    token = request.cookies.get(const.COOKIE_SESSION, '')
    try:
        payload = tokens.verify(key, const.PURPOSE_SESSION, token)
        session = msgspec.json.decode(payload, type=Session)
    except (errors.TokenError, msgspec.DecodeError):
        return None
    return session if session.expires_s > time.time() else None


def store(
    key: bytes, response: web.StreamResponse, session: Session, *, secure: bool
) -> None:
    """Give the browser its session."""
    response.set_cookie(
        const.COOKIE_SESSION,
        tokens.sign(key, const.PURPOSE_SESSION, msgspec.json.encode(session)),
        max_age=int(const.SESSION_LIFETIME_S),
        path='/',
        httponly=True,
        secure=secure,
        samesite='Strict',
    )


def form_token(key: bytes, session: Session) -> str:
    """Return the token that every form of a session carries."""
    return tokens.signature(key, const.PURPOSE_FORM, session.nonce.encode())


def check_form_token(key: bytes, session: Session | None, given: str) -> None:
    """Check the token that a form carried.

    Raises:
        CrossSiteError: The form does not come from this session.
    """
    if session is None:
        raise errors.CrossSiteError('the form belongs to no session')
    nonce = session.nonce.encode()
    if not tokens.is_signature_valid(key, const.PURPOSE_FORM, nonce, given):
        raise errors.CrossSiteError('the form belongs to another session')
