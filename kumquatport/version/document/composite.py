"""Validators made from others: lists, values that may be null, shared ones."""

import functools
import typing

import msgspec
import voluptuous

from kumquatport.version.document import const, fields


def optional(validator: fields.Validator) -> fields.Validator:
    """Return a validator that also takes null."""
    return functools.partial(_check_optional, validator)


def list_of(
    validator: fields.Validator, max_length: int, min_length: int = 0
) -> fields.Validator:
    """Return a validator of a list that names the faults of every row.

    The list of voluptuous itself stops at the first row with a fault inside.

    Args:
        validator: Checks one row.
        max_length: Most rows.
        min_length: Least rows.
    """
    return functools.partial(_check_rows, validator, max_length, min_length)


def cached(validator: fields.Validator) -> fields.Validator:
    """Return a validator that checks equal values once and shares the result.

    Thousands of services have the same limits and classes; what is shared is
    checked faster and held once. Checked documents are never changed in place.

    Args:
        validator: Checks one value; its result must depend on that alone.
    """
    return functools.partial(_check_shared, validator, {})


def renamed_to(new_key: str) -> fields.Validator:
    """Return a validator that refuses a key's former name and tells the new."""
    return functools.partial(_refuse_renamed, new_key)


def _refuse_renamed(to: str, _value: typing.Any) -> typing.Any:
    raise voluptuous.Invalid(f'was renamed to {to}')


def _check_optional(
    validator: fields.Validator, value: typing.Any
) -> typing.Any:
    return None if value is None else validator(value)


def _check_shared(
    validator: fields.Validator,
    known: dict[bytes, typing.Any],
    value: typing.Any,
) -> typing.Any:
    try:
        key = msgspec.msgpack.encode(value)
    except (ValueError, OverflowError, RecursionError):
        return validator(value)
    found = known.get(key)
    if found is None:
        found = validator(value)
        if len(known) >= const.MAX_CACHED_VALUES:
            known.clear()
        known[key] = found
    return found


def _check_rows(
    validator: fields.Validator, high: int, low: int, value: typing.Any
) -> list[typing.Any]:
    if not isinstance(value, list):
        raise voluptuous.Invalid('expected a list')
    if not low <= len(value) <= high:
        raise voluptuous.Invalid(f'expected {low} to {high} rows')
    faults: list[voluptuous.Invalid] = []
    checked = [
        _check_row(validator, index, row, faults)
        for index, row in enumerate(value)
    ]
    if faults:
        raise voluptuous.MultipleInvalid(faults)
    return checked


def _check_row(
    validator: fields.Validator,
    index: int,
    row: typing.Any,
    faults: list[voluptuous.Invalid],
) -> typing.Any:
    """Check one row; its faults are added to the list."""
    try:
        return validator(row)
    except voluptuous.MultipleInvalid as several:
        several.prepend([index])
        faults.extend(several.errors)
    except voluptuous.Invalid as single:
        single.prepend([index])
        faults.append(single)
    return None
