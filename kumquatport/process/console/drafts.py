"""Drafts of documents, held by the browser between two pages."""

import zlib

from kumquatport.process.console import const, errors, tokens
from kumquatport.version import document


def sign(key: bytes, operator: str, draft: document.Document) -> str:
    """Return the draft as a signed field of a form.

    Args:
        key: Key that all consoles share.
        operator: Whose draft it is; no one else can send it back.
        draft: A checked document.
    """
    packed = zlib.compress(document.encode(draft))
    return tokens.sign(key, _purpose(operator), packed)


def verify(key: bytes, operator: str, token: str) -> document.Document:
    """Return the draft of a signed field.

    Raises:
        TokenError: It is not this operator's draft.
    """
    packed = tokens.verify(key, _purpose(operator), token)
    inflater = zlib.decompressobj()
    stored = inflater.decompress(packed, const.MAX_DRAFT_BYTES)
    if not inflater.eof:
        raise errors.TokenError(const.PURPOSE_DRAFT)
    return document.parse(stored)


def _purpose(operator: str) -> str:
    return f'{const.PURPOSE_DRAFT} {operator}'
