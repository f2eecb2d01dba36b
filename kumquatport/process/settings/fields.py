"""Validators of single settings; each error says what was expected."""

import ipaddress
import math
import re
import typing
from collections import abc
from urllib import parse as urllib_parse

import voluptuous as vol

from kumquatport import const
from kumquatport.process.settings import models

_NAME_PATTERN = re.compile('[a-z0-9][a-z0-9._-]*')
_METRIC_PREFIX_PATTERN = re.compile('[A-Za-z0-9_.-]+')
_WHITESPACE_OR_CONTROL = re.compile(r'[\s\x00-\x1f]')

Validator: typing.TypeAlias = abc.Callable[[object], typing.Any]


def name(candidate: object) -> str:
    """Validate the name of an instance, failure domain, service or operator."""
    if not isinstance(candidate, str):
        raise vol.Invalid(
            'expected a name, in quotes if it looks like a number'
        )
    if len(candidate) > const.MAX_NAME_CHARACTERS:
        raise vol.Invalid(
            f'expected at most {const.MAX_NAME_CHARACTERS} characters'
        )
    if _NAME_PATTERN.fullmatch(candidate) is None:
        raise vol.Invalid(
            'expected a name of a-z, 0-9, dot, dash and underscore'
        )
    return candidate


def non_empty_string(candidate: object) -> str:
    """Validate a string that is not empty."""
    if not isinstance(candidate, str) or not candidate:
        raise vol.Invalid('expected a string that is not empty')
    if '\0' in candidate:
        raise vol.Invalid('expected a string without NUL')
    return candidate


def metric_prefix(candidate: object) -> str:
    """Validate the prefix of metric names."""
    if isinstance(candidate, str) and _METRIC_PREFIX_PATTERN.fullmatch(
        candidate
    ):
        return candidate
    raise vol.Invalid('expected letters, digits, dots, dashes, underscores')


def address(candidate: object) -> str:
    """Validate an IPv4 address."""
    if not isinstance(candidate, str):
        raise vol.Invalid('expected an IPv4 address')
    try:
        return str(ipaddress.IPv4Address(candidate))
    except ValueError as err:
        raise vol.Invalid('expected an IPv4 address') from err


def port(candidate: object) -> int:
    """Validate a port from 1 to 65535."""
    if isinstance(candidate, bool) or not isinstance(candidate, int):
        raise vol.Invalid(f'expected a port from 1 to {const.MAX_PORT}')
    if not 0 < candidate <= const.MAX_PORT:
        raise vol.Invalid(f'expected a port from 1 to {const.MAX_PORT}')
    return candidate


def optional_port(candidate: object) -> int:
    """Validate a port, or 0 for none."""
    if candidate == 0 and not isinstance(candidate, bool):
        return 0
    return port(candidate)


def seconds(limit: float) -> Validator:
    """Return a validator of a duration above 0 and up to a limit.

    Args:
        limit: Longest duration allowed, in seconds.
    """

    def validate(candidate: object) -> float:
        reason = f'expected seconds above 0 and up to {limit:g}'
        if isinstance(candidate, bool):
            raise vol.Invalid(reason)
        if not isinstance(candidate, int | float):
            raise vol.Invalid(reason)
        if not math.isfinite(candidate) or not 0 < candidate <= limit:
            raise vol.Invalid(reason)
        return float(candidate)

    return validate


def endpoint(candidate: object) -> models.Endpoint:
    """Validate ``ADDRESS:PORT`` and return its parts."""
    if not isinstance(candidate, str):
        raise vol.Invalid('expected ADDRESS:PORT')
    host, colon, digits = candidate.rpartition(':')
    if not colon or not digits.isascii() or not digits.isdecimal():
        raise vol.Invalid('expected ADDRESS:PORT')
    if len(digits) > len(str(const.MAX_PORT)):
        raise vol.Invalid('expected ADDRESS:PORT')
    return models.Endpoint(address(host), port(int(digits)))


def url(candidate: object) -> str:
    """Validate an http or https URL and remove its trailing slashes."""
    reason = 'expected a URL such as http://127.0.0.1:9000'
    if not isinstance(candidate, str) or _WHITESPACE_OR_CONTROL.search(
        candidate
    ):
        raise vol.Invalid(reason)
    try:
        parts = urllib_parse.urlsplit(candidate)
        parts.port  # noqa: B018, WPS428 - reading it validates the port
    except ValueError as err:
        raise vol.Invalid(reason) from err
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise vol.Invalid(reason)
    return candidate.rstrip('/')


def one_of(choices: tuple[str, ...]) -> Validator:
    """Return a validator of a fixed set of strings."""

    def validate(candidate: object) -> str:
        if isinstance(candidate, str) and candidate in choices:
            return candidate
        raise vol.Invalid(f'expected one of {", ".join(choices)}')

    return validate


def password_hash(candidate: object) -> str:
    """Validate an encoded argon2 hash."""
    if isinstance(candidate, str) and candidate.startswith('$argon2'):
        return candidate
    raise vol.Invalid('expected an argon2 hash that starts with $argon2')
