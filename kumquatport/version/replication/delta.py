"""Delta encoding of documents against a version that the receiver holds."""

import bisect
import re
import typing
from collections import abc

import xxhash

_CHUNK = re.compile(rb'[^{}]*[{}]|[^{}]+')

Part = tuple[int, int] | bytes


class Update(typing.NamedTuple):
    """A document encoded as a sequence of parts.

    Attributes:
        version: Version that the document takes effect with.
        base: Version whose bytes the ranges refer to; 0 for none.
        parts: Byte ranges ``(start, end)`` of the base, or new bytes.
        digest: xxh128 digest of the whole document.
    """

    version: int
    base: int
    parts: tuple[Part, ...]
    digest: bytes


def full_update(version: int, encoded: bytes) -> Update:
    """Return an update that requires no base."""
    return Update(version, 0, (encoded,), xxhash.xxh128_digest(encoded))


def diff(
    base: int,
    base_encoded: bytes,
    version: int,
    encoded: bytes,
) -> Update:
    """Return the update from the base to another document."""
    parts = tuple(_diff_parts(base_encoded, encoded))
    return Update(version, base, parts, xxhash.xxh128_digest(encoded))


def apply(update: Update, base_encoded: bytes) -> bytes | None:
    """Return the updated document, or ``None`` if the base does not match."""
    encoded = b''.join(
        part if isinstance(part, bytes) else base_encoded[part[0] : part[1]]
        for part in update.parts
    )
    if xxhash.xxh128_digest(encoded) != update.digest:
        return None
    return encoded


def _diff_parts(base_encoded: bytes, encoded: bytes) -> abc.Iterator[Part]:
    starts = _chunk_starts(base_encoded)
    base_range = (0, 0)
    new_bytes = b''
    for chunk in _CHUNK.findall(encoded):
        start = _find_chunk(base_encoded, starts, base_range[1], chunk)
        if start is None:
            new_bytes += chunk
            continue
        if new_bytes or start != base_range[1]:
            yield from _emit_parts(base_range, new_bytes)
            base_range, new_bytes = (start, start), b''
        base_range = (base_range[0], start + len(chunk))
    yield from _emit_parts(base_range, new_bytes)


def _chunk_starts(encoded: bytes) -> dict[bytes, list[int]]:
    starts: dict[bytes, list[int]] = {}
    for match in _CHUNK.finditer(encoded):
        starts.setdefault(match.group(), []).append(match.start())
    return starts


def _find_chunk(
    base_encoded: bytes,
    starts: dict[bytes, list[int]],
    expected: int,
    chunk: bytes,
) -> int | None:
    """Return where the base contains the chunk, ``None`` if nowhere.

    The expected position is preferred, then the next one after it, then the
    last one.
    """
    if base_encoded.startswith(chunk, expected):
        return expected
    positions = starts.get(chunk)
    if positions is None:
        return None
    index = bisect.bisect_left(positions, expected)
    return positions[min(index, len(positions) - 1)]


def _emit_parts(
    base_range: tuple[int, int], new_bytes: bytes
) -> abc.Iterator[Part]:
    if base_range[1] > base_range[0]:
        yield base_range
    if new_bytes:
        yield new_bytes
