"""Validators of single fields for voluptuous schemas."""

import functools
import ipaddress
import re
import typing
from collections import abc

import voluptuous

from kumquatport.version.document import const

Validator = abc.Callable[[typing.Any], typing.Any]

_NAME = re.compile('[a-z0-9][a-z0-9._-]*')
_OPERATOR = re.compile('[A-Za-z0-9][A-Za-z0-9._@-]*')
_IDENTIFIER = re.compile('[A-Za-z0-9-]{1,64}')


def name(value: typing.Any) -> str:
    """Validate a name of lower-case letters, digits, ``.``, ``_`` and ``-``."""
    _require_matching(value, _NAME, 'a name of [a-z0-9._-]')
    if len(value) > const.MAX_NAME_CHARS:
        raise voluptuous.Invalid(
            f'expected at most {const.MAX_NAME_CHARS} characters'
        )
    return value


def operator(value: typing.Any) -> str:
    """Validate an operator's name, which may be empty in a draft."""
    if value == '':
        return value
    _require_matching(value, _OPERATOR, 'a name of [A-Za-z0-9._@-]')
    if len(value) > const.MAX_NAME_CHARS:
        raise voluptuous.Invalid(
            f'expected at most {const.MAX_NAME_CHARS} characters'
        )
    return value


def identifier(value: typing.Any) -> str:
    """Validate an identifier such as a UUID, which may be empty in a draft."""
    if value == '':
        return value
    return _require_matching(
        value, _IDENTIFIER, '1 to 64 letters, digits or dashes'
    )


def comment(value: typing.Any) -> str:
    """Validate one line of printable text."""
    if not isinstance(value, str) or not value.isprintable():
        raise voluptuous.Invalid('expected one line of printable text')
    if len(value) > const.MAX_COMMENT_CHARS:
        raise voluptuous.Invalid(
            f'expected at most {const.MAX_COMMENT_CHARS} characters'
        )
    return value


def address(value: typing.Any) -> str:
    """Validate an IPv4 address and port such as ``192.0.2.1:4433``."""
    if not isinstance(value, str):
        raise voluptuous.Invalid('expected an IPv4 address and a port')
    host, _, port = value.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise voluptuous.Invalid(
            'expected an IPv4 address and a port, such as 192.0.2.1:4433',
        ) from None
    if not _is_port(port):
        raise voluptuous.Invalid(f'expected a port from 1 to {const.MAX_PORT}')
    return value


def path_prefix(value: typing.Any) -> str:
    """Validate a URL path prefix."""
    if not isinstance(value, str) or not value.startswith('/'):
        raise voluptuous.Invalid('expected a path that starts with /')
    if not value.isascii() or not value.isprintable() or ' ' in value:
        raise voluptuous.Invalid('expected printable ASCII without spaces')
    if len(value) > const.MAX_PATH_CHARS:
        raise voluptuous.Invalid(
            f'expected at most {const.MAX_PATH_CHARS} characters'
        )
    return value


def method(value: typing.Any) -> str:
    """Validate an HTTP method."""
    if not isinstance(value, str) or value not in const.KNOWN_METHODS:
        known = ', '.join(const.KNOWN_METHODS)
        raise voluptuous.Invalid(f'expected one of {known}')
    return value


def boolean(value: typing.Any) -> bool:
    """Validate a boolean without coercing numbers or strings."""
    if not isinstance(value, bool):
        raise voluptuous.Invalid('expected true or false')
    return value


def integer(low: int, high: int) -> Validator:
    """Return a validator of integers from low to high."""
    return functools.partial(_check_integer, low, high)


def number(low: float, high: float) -> Validator:
    """Return a validator of finite numbers from low to high."""
    return functools.partial(_check_number, low, high)


def positive(high: float) -> Validator:
    """Return a validator of finite numbers above 0, up to high."""
    return functools.partial(_check_positive, high)


def _check_integer(low: int, high: int, value: typing.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise voluptuous.Invalid('expected a whole number')
    if not low <= value <= high:
        raise voluptuous.Invalid(f'expected {low} to {high}')
    return value


def _check_number(low: float, high: float, value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise voluptuous.Invalid('expected a number')
    if not low <= value <= high:
        raise voluptuous.Invalid(f'expected a number from {low:g} to {high:g}')
    return float(value)


def _check_positive(high: float, value: typing.Any) -> float:
    checked = _check_number(0, high, value)
    if checked == 0:
        raise voluptuous.Invalid('expected more than 0')
    return checked


def _require_matching(
    value: typing.Any, pattern: re.Pattern[str], expected: str
) -> str:
    """Return the value if it is a string that fully matches the pattern."""
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise voluptuous.Invalid(f'expected {expected}')
    return value


def _is_port(text: str) -> bool:
    """Return whether the text is a decimal port without leading zeros."""
    if not text.isascii() or not text.isdecimal() or text.startswith('0'):
        return False
    return len(text) < 6 and int(text) <= const.MAX_PORT
