"""Document drafts, kept by the browser in a signed form field between pages."""

import zlib

from kumquatport.process.console import const, errors, tokens
from kumquatport.version import document


def sign(key: bytes, operator: str, draft: document.Document) -> str:
    """Return the draft as a signed token for a form field.

    Args:
        key: Signing key that all consoles share.
        operator: Owner of the draft; the token is rejected when another
            operator submits it.
        draft: A validated document.
    """
    compressed = zlib.compress(document.encode(draft))
    return tokens.sign(key, _purpose(operator), compressed)


def verify(key: bytes, operator: str, token: str) -> document.Document:
    """Return the draft of a signed token.

    Raises:
        TokenError: The token was not signed for this operator's drafts, or the
            draft is larger than ``MAX_DRAFT_BYTES``.
    """
    compressed = tokens.verify(key, _purpose(operator), token)
    decompressor = zlib.decompressobj()
    encoded = decompressor.decompress(compressed, const.MAX_DRAFT_BYTES)
    if not decompressor.eof:
        raise errors.TokenError(const.PURPOSE_DRAFT)
    return document.parse(encoded)


def _purpose(operator: str) -> str:
    return f'{const.PURPOSE_DRAFT} {operator}'
