"""Signed tokens, which let the console keep no state between requests."""

import base64
import binascii
import hashlib
import hmac

from kumquatport.process.console import errors


def sign(key: bytes, purpose: str, payload: bytes) -> str:
    """Return a signed token that is safe in cookies and forms.

    Args:
        key: Signing key that all consoles share.
        purpose: Purpose of the token; it is not valid for any other.
        payload: Payload; it is not encrypted.
    """
    encoded = base64.urlsafe_b64encode(payload).decode()
    return f'{encoded}.{signature(key, purpose, payload)}'


def verify(key: bytes, purpose: str, token: str) -> bytes:
    """Verify a token and return its payload.

    Raises:
        TokenError: The token was not signed with this key for this purpose.
    """
    encoded, _, received = token.rpartition('.')
    try:
        payload = base64.urlsafe_b64decode(encoded.encode('ascii'))
    except (binascii.Error, ValueError) as error:
        raise errors.TokenError(purpose) from error
    if not is_signature_valid(key, purpose, payload, received):
        raise errors.TokenError(purpose)
    return payload


def signature(key: bytes, purpose: str, payload: bytes) -> str:
    """Return the signature of a payload in hexadecimal."""
    purpose_key = hmac.digest(key, purpose.encode(), hashlib.sha256)
    return hmac.new(purpose_key, payload, hashlib.sha256).hexdigest()


def is_signature_valid(
    key: bytes, purpose: str, payload: bytes, received: str
) -> bool:
    """Return whether a signature is valid, compared in constant time."""
    expected = signature(key, purpose, payload)
    return hmac.compare_digest(expected.encode(), received.encode())
