"""Sessions of operators, stored only in a signed cookie."""

import secrets
import time
import typing

import msgspec
from aiohttp import web

from kumquatport.process.console import const, errors, tokens


class Session(typing.NamedTuple):
    """Session of one browser.

    Attributes:
        operator: Name of the signed-in operator; empty before the sign-in.
        nonce: Random value that binds form tokens to this session.
        expires_s: Unix time at which the session expires.
    """

    operator: str
    nonce: str
    expires_s: float


def start(operator: str) -> Session:
    """Return a new session; ``operator`` is empty before the sign-in."""
    nonce = secrets.token_hex(const.NONCE_BYTES)
    return Session(operator, nonce, time.time() + const.SESSION_LIFETIME_S)


def load(key: bytes, request: web.Request) -> Session | None:
    """Return the session of a request, or None if it has no valid one."""
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
    """Set the session cookie on a response."""
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
    """Return the token that each form of a session contains."""
    return tokens.signature(key, const.PURPOSE_FORM, session.nonce.encode())


def check_form_token(key: bytes, session: Session | None, token: str) -> None:
    """Check the token of a posted form.

    Raises:
        CrossSiteError: The form does not belong to this session.
    """
    if session is None:
        raise errors.CrossSiteError('the form belongs to no session')
    nonce = session.nonce.encode()
    if not tokens.is_signature_valid(key, const.PURPOSE_FORM, nonce, token):
        raise errors.CrossSiteError('the form belongs to another session')
