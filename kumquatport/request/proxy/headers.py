"""Validates and filters the headers of requests and answers."""

import typing
from collections import abc

from kumquatport.request import const, errors, messages
from kumquatport.request.proxy import const as proxy_const

_FORBIDDEN = frozenset('\r\n\0')
_TOKEN = frozenset(
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz",
)


def validate(head: messages.RequestHead) -> None:
    """Refuse a head that is too large or can't be sent over HTTP/1.1.

    Raises:
        errors.HeadersTooLargeError: The number or size exceeds its limit.
        errors.RequestMalformedError: A part has characters that are invalid
            or would split the head.
    """
    size = len(head.path) + len(head.authority)
    size += sum(len(name) + len(value) for name, value in head.headers)
    too_many = len(head.headers) > const.MAX_HEADER_COUNT
    if too_many or size > const.MAX_HEADER_BYTES:
        raise errors.HeadersTooLargeError(
            'the headers exceed their limits on number or size'
        )
    if not head.path.startswith('/') or not head.method.isalpha():
        raise errors.RequestMalformedError(
            'the method or the path is malformed'
        )
    if not _is_printable(head.path) or not _is_printable(head.authority):
        raise errors.RequestMalformedError(
            'the path or the authority has invalid characters'
        )
    if not all(_is_valid_header(name, value) for name, value in head.headers):
        raise errors.RequestMalformedError('a header has invalid characters')


def to_backend_server(
    head: messages.RequestHead,
    extra: abc.Iterable[tuple[str, str]],
) -> messages.Headers:
    """Return the headers to send to the backend server.

    Args:
        head: Head of the request, already validated.
        extra: Headers set by the agent; they replace the caller's headers of
            the same name.
    """
    agent_set = (('host', head.authority), *extra)
    dropped = _connection_options(head.headers)
    dropped |= {name for name, _ in agent_set}
    dropped |= {'content-length', 'expect'}
    kept = _forwarded(head.headers, dropped)
    return (*agent_set, *kept)


def to_caller(
    received: abc.Iterable[tuple[str, str]],
) -> messages.Headers:
    """Return the headers of an answer, with names in lower case."""
    lowered = tuple((name.lower(), value) for name, value in received)
    return tuple(_forwarded(lowered, _connection_options(lowered)))


def find(headers: messages.Headers, wanted: str) -> str | None:
    """Return the first value of a header, None if it is missing."""
    for name, value in headers:
        if name == wanted:
            return value
    return None


def _forwarded(
    headers: messages.Headers,
    dropped: typing.AbstractSet[str],
) -> abc.Iterator[tuple[str, str]]:
    for name, value in headers:
        if name in dropped or name in proxy_const.HOP_BY_HOP:
            continue
        if not name.startswith(proxy_const.RESERVED_HEADER_PREFIX):
            yield name, value


def _connection_options(headers: messages.Headers) -> set[str]:
    options: set[str] = set()
    for name, value in headers:
        if name == 'connection':
            options.update(
                option.strip().lower() for option in value.split(',')
            )
    return options


def _is_printable(text: str) -> bool:
    return text.isascii() and text.isprintable() and ' ' not in text


def _is_valid_header(name: str, value: str) -> bool:
    if not name or not _TOKEN.issuperset(name):
        return False
    return not _FORBIDDEN.intersection(value)
