"""Documents as what changed against a version that the receiver holds."""

import bisect
import re
import typing
from collections import abc

import xxhash

_PIECE = re.compile(rb'[^{}]*[{}]|[^{}]+')

Part = tuple[int, int] | bytes


class Update(typing.NamedTuple):
    """A document, told by its parts.

    Attributes:
        version: Version that the document takes effect with.
        base: Version whose bytes the ranges refer to; 0 for none.
        parts: Byte ranges ``(start, end)`` of the base, or new bytes.
        digest: xxh128 of the whole document.
    """

    version: int
    base: int
    parts: tuple[Part, ...]
    digest: bytes


def full_update(version: int, encoded: bytes) -> Update:
    """Return an update that needs no base."""
    return Update(version, 0, (encoded,), xxhash.xxh128_digest(encoded))


def diff(
    base: int,
    base_encoded: bytes,
    version: int,
    encoded: bytes,
) -> Update:
    """Return the update that leads from one document to the other."""
    parts = tuple(_parts(base_encoded, encoded))
    return Update(version, base, parts, xxhash.xxh128_digest(encoded))


def apply(update: Update, base_encoded: bytes) -> bytes | None:
    """Return the document, or ``None`` if the base is not the right one."""
    encoded = b''.join(
        part if isinstance(part, bytes) else base_encoded[part[0] : part[1]]
        for part in update.parts
    )
    if xxhash.xxh128_digest(encoded) != update.digest:
        return None
    return encoded


def _parts(base_encoded: bytes, encoded: bytes) -> abc.Iterator[Part]:
    starts = _starts(base_encoded)
    run = (0, 0)
    fresh = b''
    for piece in _PIECE.findall(encoded):
        start = _start(base_encoded, starts, run[1], piece)
        if start is None:
            fresh += piece
            continue
        if fresh or start != run[1]:
            yield from _emit(run, fresh)
            run, fresh = (start, start), b''
        run = (run[0], start + len(piece))
    yield from _emit(run, fresh)


def _starts(encoded: bytes) -> dict[bytes, list[int]]:
    starts: dict[bytes, list[int]] = {}
    for found in _PIECE.finditer(encoded):
        starts.setdefault(found.group(), []).append(found.start())
    return starts


def _start(
    base_encoded: bytes,
    starts: dict[bytes, list[int]],
    after: int,
    piece: bytes,
) -> int | None:
    """Return where the base has the piece, if possible next after a place."""
    if base_encoded.startswith(piece, after):
        return after
    known = starts.get(piece)
    if known is None:
        return None
    place = bisect.bisect_left(known, after)
    return known[min(place, len(known) - 1)]


def _emit(run: tuple[int, int], fresh: bytes) -> abc.Iterator[Part]:
    if run[1] > run[0]:
        yield run
    if fresh:
        yield fresh
