"""Consistency checks across the entries of a document.

They run on the decoded value before it is known to match the schema, so that
their faults are reported together with the schema's.
"""

import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.helpers import text
from kumquatport.version.document import const

Entry = tuple[str, dict[typing.Any, typing.Any]]


def find_faults(value: typing.Any) -> list[exceptions.Fault]:
    """Return the faults that concern more than one field."""
    found = _find_top_level_duplicates(value)
    for path, entry in _entries(value, const.CONF_SERVICES):
        found.extend(_find_service_duplicates(path, entry))
    found.extend(_find_unknown_rule_references(value))
    return found


def _find_top_level_duplicates(value: typing.Any) -> list[exceptions.Fault]:
    """Return a fault for each duplicate name, address, port or rule."""
    domains = _entries(value, const.CONF_FAILURE_DOMAINS)
    services = _entries(value, const.CONF_SERVICES)
    rules = _entries(value, const.CONF_RULES)
    rule_key = (const.CONF_SERVICE, const.CONF_FAILURE_DOMAIN)
    return [
        *_find_duplicates(domains, (const.CONF_NAME,)),
        *_find_duplicates(services, (const.CONF_NAME,)),
        *_find_duplicates(services, (const.CONF_ADDRESS,)),
        *_find_duplicates(services, (const.CONF_ENTRY_PORT,)),
        *_find_duplicates(rules, rule_key),
    ]


def _find_service_duplicates(
    path: str, service: typing.Any
) -> list[exceptions.Fault]:
    """Return a fault for each duplicate name within a service."""
    classes = _entries(service, const.CONF_CLASSES, f'{path}.')
    client_accounts = _entries(service, const.CONF_CLIENT_ACCOUNTS, f'{path}.')
    return [
        *_find_duplicates(classes, (const.CONF_NAME,)),
        *_find_duplicates(client_accounts, (const.CONF_NAME,)),
    ]


def _find_unknown_rule_references(value: typing.Any) -> list[exceptions.Fault]:
    """Return a fault for each unknown name that a rule refers to."""
    known = {
        const.CONF_SERVICE: _names(value, const.CONF_SERVICES),
        const.CONF_FAILURE_DOMAIN: _names(value, const.CONF_FAILURE_DOMAINS),
    }
    return [
        exceptions.Fault(
            f'{path}.{key}',
            f'{text.sanitize(entry[key])} is not in the document',
        )
        for path, entry in _entries(value, const.CONF_RULES)
        for key, names in known.items()
        if isinstance(entry.get(key), str) and entry[key] not in names
    ]


def _find_duplicates(
    entries: abc.Sequence[Entry], keys: tuple[str, ...]
) -> list[exceptions.Fault]:
    """Return a fault for each entry with the same keys as an earlier one."""
    first: dict[tuple[typing.Any, ...], str] = {}
    found = []
    for path, entry in entries:
        key_values = tuple(entry.get(key) for key in keys)
        if not all(isinstance(part, (str, int)) for part in key_values):
            continue
        earlier = first.setdefault(key_values, path)
        if earlier != path:
            found.append(
                exceptions.Fault(f'{path}.{keys[-1]}', f'repeats {earlier}')
            )
    return found


def _names(value: typing.Any, key: str) -> set[str]:
    """Return the names of all entries in the list under a key."""
    return {
        entry[const.CONF_NAME]
        for _, entry in _entries(value, key)
        if isinstance(entry.get(const.CONF_NAME), str)
    }


def _entries(value: typing.Any, key: str, prefix: str = '') -> list[Entry]:
    """Return the path and entry of each mapping in the list under a key."""
    listed = value.get(key) if isinstance(value, dict) else None
    if not isinstance(listed, list):
        return []
    return [
        (f'{prefix}{key}[{index}]', entry)
        for index, entry in enumerate(listed)
        if isinstance(entry, dict)
    ]
