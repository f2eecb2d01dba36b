"""Decoding of JSON and MessagePack that others have written."""

import re
import types
import typing
from collections import abc

import msgspec

# What decoding raises for malformed, deeply nested or too large values.
MALFORMED: typing.Final = (msgspec.MsgspecError, RecursionError, ValueError)

# Largest number of a port.
MAX_PORT: typing.Final = 65_535

# Nesting of a value beyond which it is left out; far below what the decoder
# can follow.
MAX_NESTING: typing.Final = 64

_STRINGS_AND_BRACKETS: typing.Final = re.compile(
    rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL
)
_LEVEL_CHANGES: typing.Final = types.MappingProxyType(
    {b'[': 1, b'{': 1, b']': -1, b'}': -1}
)


def parse_port(text: str) -> int:
    """Parse the number of a port.

    Raises:
        ValueError: The text is no number from 1 to ``MAX_PORT``.
    """
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'expected a port from 1 to {MAX_PORT}, got {port}')
    return port


def without_deep_values(text: bytes, depth: int) -> bytes:
    """Return JSON text with the deeply nested values replaced by null.

    The decoder gives up on a text as a whole if any part of it is nested too
    deeply, so one such object would hide all others of a list.

    Args:
        text: JSON text.
        depth: Number of brackets around the values that are replaced.
    """
    kept: list[bytes] = []
    copied = 0
    for start, end in _deep_spans(text, depth):
        kept.extend((text[copied:start], b'null'))
        copied = end
    kept.append(text[copied:])
    return b''.join(kept)


def _deep_spans(text: bytes, depth: int) -> abc.Iterator[tuple[int, int]]:
    """Yield start and end of each value at a depth that is nested deeply."""
    level = 0
    deepest = 0
    start = 0
    for match in _STRINGS_AND_BRACKETS.finditer(text):
        change = _LEVEL_CHANGES.get(match.group(), 0)
        if change > 0 and level == depth:
            start = match.start()
            deepest = level
        level += change
        deepest = max(deepest, level)
        is_end = change < 0 and level == depth
        if is_end and deepest > depth + MAX_NESTING:
            yield start, match.end()
