"""Validators that wrap others: lists, nullable values, cached results."""

import functools
import typing

import msgspec
import voluptuous

from kumquatport.version.document import const, fields


def optional(validator: fields.Validator) -> fields.Validator:
    """Return a validator that also accepts null."""
    return functools.partial(_check_optional, validator)


def list_of(
    validator: fields.Validator, max_length: int, min_length: int = 0
) -> fields.Validator:
    """Return a list validator that reports the faults of every item.

    The list validation of voluptuous stops at the first invalid item.

    Args:
        validator: Validates one item.
        max_length: Maximum number of items.
        min_length: Minimum number of items.
    """
    return functools.partial(_check_list, validator, max_length, min_length)


def cached(validator: fields.Validator) -> fields.Validator:
    """Return a validator that caches its results by value.

    Thousands of services have the same limits and classes; caching saves
    validation time and memory. Sharing the result is safe because validated
    documents are never changed in place.

    Args:
        validator: Validates one value; its result must depend on nothing else.
    """
    return functools.partial(_check_cached, validator, {})


def renamed_to(new_key: str) -> fields.Validator:
    """Return a validator that rejects a renamed key and names the new one."""
    return functools.partial(_reject_renamed, new_key)


def _reject_renamed(new_key: str, _value: typing.Any) -> typing.Any:
    raise voluptuous.Invalid(f'was renamed to {new_key}')


def _check_optional(
    validator: fields.Validator, value: typing.Any
) -> typing.Any:
    return None if value is None else validator(value)


def _check_cached(
    validator: fields.Validator,
    cache: dict[bytes, typing.Any],
    value: typing.Any,
) -> typing.Any:
    try:
        key = msgspec.msgpack.encode(value)
    except (ValueError, OverflowError, RecursionError):
        return validator(value)
    found = cache.get(key)
    if found is None:
        found = validator(value)
        if len(cache) >= const.MAX_CACHED_VALUES:
            cache.clear()
        cache[key] = found
    return found


def _check_list(
    validator: fields.Validator,
    max_length: int,
    min_length: int,
    value: typing.Any,
) -> list[typing.Any]:
    if not isinstance(value, list):
        raise voluptuous.Invalid('expected a list')
    if not min_length <= len(value) <= max_length:
        raise voluptuous.Invalid(f'expected {min_length} to {max_length} items')
    faults: list[voluptuous.Invalid] = []
    checked = [
        _check_item(validator, index, item, faults)
        for index, item in enumerate(value)
    ]
    if faults:
        raise voluptuous.MultipleInvalid(faults)
    return checked


def _check_item(
    validator: fields.Validator,
    index: int,
    item: typing.Any,
    faults: list[voluptuous.Invalid],
) -> typing.Any:
    """Validate one item and append its faults to the list."""
    try:
        return validator(item)
    except voluptuous.MultipleInvalid as invalid:
        invalid.prepend([index])
        faults.extend(invalid.errors)
    except voluptuous.Invalid as error:
        error.prepend([index])
        faults.append(error)
    return None
