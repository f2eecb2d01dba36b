"""Encode and decode documents.

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
    """Decode and validate a document, with defaults filled in.

    Args:
        value: The stored bytes, or the text written by an operator.

    Raises:
        DocumentRejectedError: Lists every fault by path and reason.
    """
    return check(decode(value))


def check(decoded: typing.Any) -> model.Document:
    """Validate a decoded document and fill in defaults.

    Raises:
        DocumentRejectedError: Lists every fault by path and reason.
    """
    faults: list[exceptions.Fault] = []
    validated: typing.Any = None
    try:
        validated = schema.validate(decoded)
    except voluptuous.MultipleInvalid as invalid:
        faults.extend(_to_fault(error) for error in invalid.errors)
    faults.extend(checks.find_faults(decoded))
    if faults:
        raise exceptions.DocumentRejectedError(tuple(sorted(set(faults))))
    return typing.cast(model.Document, validated)


def with_submission(
    draft: model.Document, operator: str, comment: str, identifier: str = ''
) -> model.Document:
    """Return a copy of a validated draft with the submission's metadata.

    Args:
        draft: A validated document.
        operator: Name of the operator who submits it.
        comment: Reason of the change.
        identifier: Identifier of the attempt; empty for a new attempt.

    Raises:
        DocumentRejectedError: One of the texts is not valid.
    """
    changed = draft.copy()
    changed['operator'] = operator
    changed['comment'] = comment
    changed['identifier'] = identifier
    # The rest is already validated, and may be large.
    check({**changed, 'failure_domains': [], 'services': [], 'rules': []})
    return changed


def encode(document: model.Document) -> bytes:
    """Encode a document deterministically.

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
    """Decode the JSON of a document without validating it.

    Raises:
        DocumentRejectedError: It is not JSON, or is too long.
    """
    plain = _decompress(value)
    try:
        # msgspec silently keeps the last of several equal keys; a document
        # with two values for one key must be rejected.
        return json.loads(
            plain.decode(),
            object_pairs_hook=_object_without_duplicates,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        return _reject(f'expected JSON: {error}')


def _decompress(value: bytes) -> bytes:
    """Return the JSON bytes, decompressed up to the size limit."""
    if len(value) > const.MAX_PLAIN_BYTES:
        _reject(f'longer than {const.MAX_PLAIN_BYTES} bytes')
    if not value.startswith(_ZLIB_FIRST_BYTE):
        return value
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(value, const.MAX_PLAIN_BYTES)
    except zlib.error as error:
        return _reject(f'expected a zlib stream: {error}')
    if not decompressor.eof or decompressor.unused_data:
        return _reject('expected one whole zlib stream within the size limit')
    return plain


def _object_without_duplicates(
    pairs: abc.Sequence[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Build a JSON object; reject duplicate keys."""
    built = dict(pairs)
    if len(built) != len(pairs):
        raise ValueError('an object repeats a key')
    return built


def _reject_constant(literal: str) -> typing.NoReturn:
    """Reject NaN and infinities, which are not JSON."""
    raise ValueError(f'{literal} is not a number')


def _reject(reason: str) -> typing.NoReturn:
    """Reject the whole document with a single fault."""
    raise exceptions.DocumentRejectedError((exceptions.Fault('', reason),))


def _to_fault(error: voluptuous.Invalid) -> exceptions.Fault:
    """Convert a voluptuous error to a fault."""
    path = ''
    for segment in error.path:
        path = _append_path(path, segment)
    return exceptions.Fault(path, error.error_message)


def _append_path(path: str, segment: typing.Any) -> str:
    """Append a key or list index to a path."""
    if isinstance(segment, int):
        return f'{path}[{segment}]'
    key = text.sanitize(str(segment))
    return f'{path}.{key}' if path else key
