"""Checks across the rows of a document.

They work on the decoded value as it came, whatever its shape, so that their
faults can be named together with those of the shape.
"""

import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.helpers import text
from kumquatport.version.document import const

Row = tuple[str, dict[typing.Any, typing.Any]]


def find_faults(value: typing.Any) -> list[exceptions.Fault]:
    """Return the faults that no single field shows."""
    found = _repeated_at_top(value)
    for path, row in _rows(value, const.CONF_SERVICES):
        found.extend(_repeated_in_service(path, row))
    found.extend(_unknown_in_rules(value))
    return found


def _repeated_at_top(value: typing.Any) -> list[exceptions.Fault]:
    """Return the faults of names, addresses and ports used twice."""
    domains = _rows(value, const.CONF_FAILURE_DOMAINS)
    services = _rows(value, const.CONF_SERVICES)
    rules = _rows(value, const.CONF_RULES)
    pair = (const.CONF_SERVICE, const.CONF_FAILURE_DOMAIN)
    return [
        *_repeated(domains, (const.CONF_NAME,)),
        *_repeated(services, (const.CONF_NAME,)),
        *_repeated(services, (const.CONF_ADDRESS,)),
        *_repeated(services, (const.CONF_ENTRY_PORT,)),
        *_repeated(rules, pair),
    ]


def _repeated_in_service(
    path: str, service: typing.Any
) -> list[exceptions.Fault]:
    """Return the faults of names used twice within a service."""
    classes = _rows(service, const.CONF_CLASSES, f'{path}.')
    client_accounts = _rows(service, const.CONF_CLIENT_ACCOUNTS, f'{path}.')
    return [
        *_repeated(classes, (const.CONF_NAME,)),
        *_repeated(client_accounts, (const.CONF_NAME,)),
    ]


def _unknown_in_rules(value: typing.Any) -> list[exceptions.Fault]:
    """Return the faults of rules that name what the document lacks."""
    known = {
        const.CONF_SERVICE: _names(value, const.CONF_SERVICES),
        const.CONF_FAILURE_DOMAIN: _names(value, const.CONF_FAILURE_DOMAINS),
    }
    return [
        exceptions.Fault(
            f'{path}.{key}', f'{text.sanitize(row[key])} is not in the document'
        )
        for path, row in _rows(value, const.CONF_RULES)
        for key, names in known.items()
        if isinstance(row.get(key), str) and row[key] not in names
    ]


def _repeated(
    rows: abc.Sequence[Row], keys: tuple[str, ...]
) -> list[exceptions.Fault]:
    """Return a fault for each row that repeats the keys of an earlier one."""
    first: dict[tuple[typing.Any, ...], str] = {}
    found = []
    for path, row in rows:
        held = tuple(row.get(key) for key in keys)
        if not all(isinstance(one, (str, int)) for one in held):
            continue
        earlier = first.setdefault(held, path)
        if earlier != path:
            found.append(
                exceptions.Fault(f'{path}.{keys[-1]}', f'repeats {earlier}')
            )
    return found


def _names(value: typing.Any, key: str) -> set[str]:
    """Return the names of all rows under a key."""
    return {
        row[const.CONF_NAME]
        for _, row in _rows(value, key)
        if isinstance(row.get(const.CONF_NAME), str)
    }


def _rows(value: typing.Any, key: str, prefix: str = '') -> list[Row]:
    """Return path and row of everything under a key that can be looked into."""
    under = value.get(key) if isinstance(value, dict) else None
    if not isinstance(under, list):
        return []
    return [
        (f'{prefix}{key}[{index}]', row)
        for index, row in enumerate(under)
        if isinstance(row, dict)
    ]
