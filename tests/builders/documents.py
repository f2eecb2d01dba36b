"""Builders of documents as the platform holds them."""

import json
import typing
import uuid
from collections import abc

Entry = dict[str, typing.Any]

FIRST_ENTRY_PORT = 20001

CLASSES: tuple[Entry, ...] = (
    {
        'name': 'order',
        'methods': ['POST'],
        'path_prefix': '/orders',
        'repeatable': False,
        'holds_slot': True,
        'deadline_s': 10.0,
    },
    {
        'name': 'feed',
        'methods': ['GET'],
        'path_prefix': '/feed',
        'repeatable': True,
        'holds_slot': False,
        'deadline_s': 86400.0,
    },
    {
        'name': 'pull',
        'methods': ['GET'],
        'path_prefix': '/pull',
        'repeatable': True,
        'holds_slot': True,
        'deadline_s': 120.0,
    },
)


def service(
    name: str, address: str, entry_port: int, **changes: typing.Any
) -> Entry:
    """Build one service.

    Args:
        name: Its name.
        address: ``IP:PORT`` that callers use.
        entry_port: The balancers' port for it.
        changes: Fields that replace the defaults.
    """
    entry: Entry = {
        'name': name,
        'address': address,
        'entry_port': entry_port,
        'classes': list(CLASSES),
        'client_accounts': [{'name': 'guild', 'share': 3}],
        'limits': {
            'slots': 5,
            'connections': 2000,
            'queue_s': 1.0,
            'retry_budget': 0.1,
            'queue_length': 64,
        },
        'ramp': {'start_share': 0.1, 'double_s': 2.0},
    }
    return {**entry, **changes}


def document(
    region: str,
    domains: abc.Iterable[str],
    services: abc.Iterable[Entry],
    *,
    out: abc.Container[str] = (),
    base_version: int = 0,
) -> Entry:
    """Build a whole document.

    Args:
        region: Region of all the failure domains.
        domains: Names of the failure domains.
        services: Entries made by ``service``.
        out: Failure domains that are out.
        base_version: Version that the document replaces.
    """
    domain_names = list(domains)
    entries = list(services)
    rules = [
        {'service': entry['name'], 'failure_domain': name, 'weight': 1.0}
        for entry in entries
        for name in domain_names
    ]
    return {
        'schema': 1,
        'identifier': str(uuid.uuid4()),
        'base_version': base_version,
        'operator': 'ama',
        'comment': '',
        'failure_domains': [
            {'name': name, 'region': region, 'out': name in out}
            for name in domain_names
        ],
        'services': entries,
        'rules': rules,
    }


def encode(entry: Entry) -> bytes:
    """Encode a document as the platform's object holds it."""
    return json.dumps(entry).encode()
