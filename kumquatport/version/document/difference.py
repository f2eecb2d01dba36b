"""What differs between two documents, by name instead of by position."""

import typing
from collections import abc

import msgspec

from kumquatport.version.document import const, model

_OWN_FIELDS: typing.Final = (
    const.CONF_SCHEMA,
    const.CONF_IDENTIFIER,
    const.CONF_BASE_VERSION,
    const.CONF_OPERATOR,
    const.CONF_COMMENT,
    const.CONF_SUBMITTED_S,
    const.CONF_PREDECESSORS,
)

_ABSENT: typing.Final = object()


class Change(typing.NamedTuple):
    """One difference.

    Attributes:
        path: Where, for example ``services[desk].limits.slots``.
        before: JSON of the value in force; empty when it is added.
        after: JSON of the new value; empty when it is removed.
    """

    path: str
    before: str
    after: str


def compare(
    before: model.Document, after: model.Document
) -> tuple[Change, ...]:
    """Return every difference that has an effect.

    The document's own fields (identifier, operator, comment and so on) do not
    count. Where order has an effect, as for classes, a new order is a change.
    """
    old = {key: row for key, row in before.items() if key not in _OWN_FIELDS}
    new = {key: row for key, row in after.items() if key not in _OWN_FIELDS}
    return tuple(_compare('', old, new))


def change_lines(changes: abc.Sequence[Change]) -> list[str]:
    """Return one line of text for each change."""
    return [_line(change) for change in changes]


def _line(change: Change) -> str:
    if not change.before:
        return f'{change.path}: added {change.after}'
    if not change.after:
        return f'{change.path}: removed {change.before}'
    return f'{change.path}: {change.before} -> {change.after}'


def _compare(
    path: str, before: typing.Any, after: typing.Any
) -> abc.Iterator[Change]:
    """Yield the differences of two values of one shape."""
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_keys(path, before, after, '{path}.{key}')
        return
    if _has_named_rows(before) and _has_named_rows(after):
        yield from _compare_rows(path, before, after)
        return
    yield Change(path, _shown(before), _shown(after))


def _compare_rows(
    path: str,
    before: list[dict[str, typing.Any]],
    after: list[dict[str, typing.Any]],
) -> abc.Iterator[Change]:
    """Yield the differences of two lists of named rows."""
    old = {_name(row): row for row in before}
    new = {_name(row): row for row in after}
    yield from _compare_keys(path, old, new, '{path}[{key}]')
    if not path.endswith(const.CONF_CLASSES):
        return
    old_order = [name for name in old if name in new]
    new_order = [name for name in new if name in old]
    if old_order != new_order:
        yield Change(
            f'{path} order', ', '.join(old_order), ', '.join(new_order)
        )


def _compare_keys(
    path: str,
    before: abc.Mapping[str, typing.Any],
    after: abc.Mapping[str, typing.Any],
    form: str,
) -> abc.Iterator[Change]:
    """Yield the differences under each key of either side."""
    for key in sorted({*before, *after}):
        under = form.format(path=path, key=key).lstrip('.')
        old = before.get(key, _ABSENT)
        new = after.get(key, _ABSENT)
        if old is _ABSENT or new is _ABSENT:
            yield Change(under, _shown(old), _shown(new))
        else:
            yield from _compare(under, old, new)


def _has_named_rows(value: typing.Any) -> bool:
    """Tell whether the value is a list of rows with names of their own."""
    return isinstance(value, list) and all(
        isinstance(row, dict) for row in value
    )


def _name(row: abc.Mapping[str, typing.Any]) -> str:
    """Return what sets a row apart from the others of its list."""
    name = row.get(const.CONF_NAME)
    if name is not None:
        return str(name)
    service = row[const.CONF_SERVICE]
    domain = row[const.CONF_FAILURE_DOMAIN]
    return f'{service}, {domain}'


def _shown(value: typing.Any) -> str:
    """Return the value as JSON, or nothing when it is absent."""
    if value is _ABSENT:
        return ''
    return msgspec.json.encode(value, order='sorted').decode()
