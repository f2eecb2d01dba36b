"""Bytes of a document: decoding with every fault named, and encoding.

A document is JSON. From ``const.COMPRESS_FROM_BYTES`` on it is stored as a
zlib stream of that JSON, because sixteen thousand services do not fit into
one object of the platform otherwise.
"""

import json
import typing
import zlib
from collections import abc

import msgspec
import voluptuous

from kumquatport import exceptions
from kumquatport.helpers import text
from kumquatport.version.document import checks, const, model, schema

_ZLIB_FIRST_BYTE = b'\x78'


def parse(value: bytes) -> model.Document:
    """Decode and check a document; defaults are filled in.

    Args:
        value: The bytes as stored, or as written by an operator.

    Raises:
        DocumentRejectedError: Names every fault by path and reason.
    """
    return check(decode(value))


def check(decoded: typing.Any) -> model.Document:
    """Check a decoded document; defaults are filled in.

    Raises:
        DocumentRejectedError: Names every fault by path and reason.
    """
    found: list[exceptions.Fault] = []
    checked: typing.Any = None
    try:
        checked = schema.validate(decoded)
    except voluptuous.MultipleInvalid as invalid:
        found.extend(_fault(error) for error in invalid.errors)
    found.extend(checks.find_faults(decoded))
    if found:
        raise exceptions.DocumentRejectedError(tuple(sorted(set(found))))
    return typing.cast(model.Document, checked)


def with_submission(
    draft: model.Document, operator: str, comment: str, identifier: str = ''
) -> model.Document:
    """Return a checked draft as an operator submits it.

    Args:
        draft: A checked document.
        operator: Who submits it.
        comment: Why.
        identifier: Of the attempt; empty for a fresh one.

    Raises:
        DocumentRejectedError: One of the texts does not fit.
    """
    changed = draft.copy()
    changed['operator'] = operator
    changed['comment'] = comment
    changed['identifier'] = identifier
    # The rest is checked already, and may be large.
    check({**changed, 'failure_domains': [], 'services': [], 'rules': []})
    return changed


def encode(document: model.Document) -> bytes:
    """Encode a document; equal documents have equal bytes.

    Raises:
        DocumentRejectedError: It does not fit into one object.
    """
    plain = msgspec.json.encode(document, order='sorted')
    stored = plain
    if len(plain) >= const.COMPRESS_FROM_BYTES:
        stored = zlib.compress(plain)
    if max(len(stored), len(plain) // 16) > const.MAX_STORED_BYTES:
        _reject(f'encoded form exceeds {const.MAX_STORED_BYTES} bytes')
    return stored


def decode(value: bytes) -> typing.Any:
    """Decode the JSON of a document without checking its shape.

    Raises:
        DocumentRejectedError: It is not JSON, or too long.
    """
    plain = _inflate(value)
    try:
        # msgspec takes the last of repeated keys without a word; a document
        # with two values for one key has to be refused.
        return json.loads(
            plain.decode(),
            object_pairs_hook=_distinct,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        return _reject(f'expected JSON: {error}')


def _inflate(value: bytes) -> bytes:
    """Return the JSON bytes, inflated within bounds when compressed."""
    if len(value) > const.MAX_PLAIN_BYTES:
        _reject(f'longer than {const.MAX_PLAIN_BYTES} bytes')
    if not value.startswith(_ZLIB_FIRST_BYTE):
        return value
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(value, const.MAX_PLAIN_BYTES)
    except zlib.error as error:
        return _reject(f'expected a zlib stream: {error}')
    if not inflater.eof or inflater.unused_data:
        return _reject('expected one whole zlib stream within the size limit')
    return plain


def _distinct(
    pairs: abc.Sequence[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Build an object whose keys are all different."""
    built = dict(pairs)
    if len(built) != len(pairs):
        raise ValueError('an object repeats a key')
    return built


def _refuse_constant(literal: str) -> typing.NoReturn:
    """Refuse NaN and infinities, which are not JSON."""
    raise ValueError(f'{literal} is not a number')


def _reject(reason: str) -> typing.NoReturn:
    """Reject the document as a whole with one fault."""
    raise exceptions.DocumentRejectedError((exceptions.Fault('', reason),))


def _fault(error: voluptuous.Invalid) -> exceptions.Fault:
    """Turn an error of voluptuous into a fault."""
    path = ''
    for part in error.path:
        path = _joined(path, part)
    return exceptions.Fault(path, error.error_message)


def _joined(path: str, part: typing.Any) -> str:
    """Return the path with one more part."""
    if isinstance(part, int):
        return f'{path}[{part}]'
    key = text.sanitize(str(part))
    return f'{path}.{key}' if path else key
