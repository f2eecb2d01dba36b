"""Compare two documents, matching list entries by name and not by position."""

import typing
from collections import abc

import msgspec

from kumquatport.version.document import const, model

_METADATA_FIELDS: typing.Final = (
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
    """A difference between two documents.

    Attributes:
        path: Path of the value, for example ``services[desk].limits.slots``.
        before: JSON of the value in force; empty if it is added.
        after: JSON of the new value; empty if it is removed.
    """

    path: str
    before: str
    after: str


def compare(
    before: model.Document, after: model.Document
) -> tuple[Change, ...]:
    """Return every difference that has an effect.

    The document's metadata (identifier, operator, comment and so on) is
    ignored. Where order has an effect, as for classes, a new order is a change.
    """
    old = {
        key: entry
        for key, entry in before.items()
        if key not in _METADATA_FIELDS
    }
    new = {
        key: entry
        for key, entry in after.items()
        if key not in _METADATA_FIELDS
    }
    return tuple(_compare('', old, new))


def change_lines(changes: abc.Sequence[Change]) -> list[str]:
    """Format each change as one line of text."""
    return [_format_change(change) for change in changes]


def _format_change(change: Change) -> str:
    if not change.before:
        return f'{change.path}: added {change.after}'
    if not change.after:
        return f'{change.path}: removed {change.before}'
    return f'{change.path}: {change.before} -> {change.after}'


def _compare(
    path: str, before: typing.Any, after: typing.Any
) -> abc.Iterator[Change]:
    """Yield the differences between two values."""
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_keys(path, before, after, '{path}.{key}')
        return
    if _is_list_of_mappings(before) and _is_list_of_mappings(after):
        yield from _compare_entries(path, before, after)
        return
    yield Change(path, _to_json(before), _to_json(after))


def _compare_entries(
    path: str,
    before: list[dict[str, typing.Any]],
    after: list[dict[str, typing.Any]],
) -> abc.Iterator[Change]:
    """Yield the differences between two lists of named entries."""
    old = {_name(entry): entry for entry in before}
    new = {_name(entry): entry for entry in after}
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
    path_template: str,
) -> abc.Iterator[Change]:
    """Yield the differences under each key of either mapping."""
    for key in sorted({*before, *after}):
        child_path = path_template.format(path=path, key=key).lstrip('.')
        old = before.get(key, _ABSENT)
        new = after.get(key, _ABSENT)
        if old is _ABSENT or new is _ABSENT:
            yield Change(child_path, _to_json(old), _to_json(new))
        else:
            yield from _compare(child_path, old, new)


def _is_list_of_mappings(value: typing.Any) -> bool:
    """Return whether the value is a list of mappings."""
    return isinstance(value, list) and all(
        isinstance(entry, dict) for entry in value
    )


def _name(entry: abc.Mapping[str, typing.Any]) -> str:
    """Return the name that is unique to an entry within its list."""
    name = entry.get(const.CONF_NAME)
    if name is not None:
        return str(name)
    service = entry[const.CONF_SERVICE]
    domain = entry[const.CONF_FAILURE_DOMAIN]
    return f'{service}, {domain}'


def _to_json(value: typing.Any) -> str:
    """Return the value as JSON, or an empty string if it is absent."""
    if value is _ABSENT:
        return ''
    return msgspec.json.encode(value, order='sorted').decode()
