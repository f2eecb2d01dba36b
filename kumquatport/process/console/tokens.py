"""Signed tokens: what the console gives out and takes back, it keeps not."""

import base64
import binascii
import hashlib
import hmac

from kumquatport.process.console import errors


def sign(key: bytes, purpose: str, payload: bytes) -> str:
    """Return the payload with its signature, safe in cookies and forms.

    Args:
        key: Key that all consoles share.
        purpose: Keeps tokens of one use from being taken for another.
        payload: Readable by whoever holds the token.
    """
    body = base64.urlsafe_b64encode(payload).decode()
    return f'{body}.{signature(key, purpose, payload)}'


def verify(key: bytes, purpose: str, token: str) -> bytes:
    """Return the payload of a token.

    Raises:
        TokenError: It was not signed with this key for this purpose.
    """
    body, _, given = token.rpartition('.')
    try:
        payload = base64.urlsafe_b64decode(body.encode('ascii'))
    except (binascii.Error, ValueError) as error:
        raise errors.TokenError(purpose) from error
    if not is_signature_valid(key, purpose, payload, given):
        raise errors.TokenError(purpose)
    return payload


def signature(key: bytes, purpose: str, payload: bytes) -> str:
    """Return the signature of a payload as hex digits."""
    own_key = hmac.digest(key, purpose.encode(), hashlib.sha256)
    return hmac.new(own_key, payload, hashlib.sha256).hexdigest()


def is_signature_valid(
    key: bytes, purpose: str, payload: bytes, given: str
) -> bool:
    """Tell, in constant time, whether a signature fits."""
    expected = signature(key, purpose, payload)
    return hmac.compare_digest(expected.encode(), given.encode())
