"""Strategies that generate invalid documents, encoded as bytes."""

import copy
import json
import typing
from collections import abc

from hypothesis import strategies

from tests.builders import documents

DOMAINS = ('accra-a', 'accra-b', 'accra-c')
SERVICES = ('storefront', 'manuals', 'desk')

Path = tuple[str | int, ...]

REQUIRED_FIELDS: tuple[Path, ...] = (
    ('schema',),
    ('failure_domains',),
    ('services',),
    ('failure_domains', 0, 'name'),
    ('failure_domains', -1, 'region'),
    ('services', 0, 'name'),
    ('services', 0, 'address'),
    ('services', -1, 'entry_port'),
    ('services', -1, 'classes', 0, 'name'),
    ('services', 0, 'classes', -1, 'methods'),
    ('services', 0, 'client_accounts', 0, 'name'),
    ('rules', 0, 'service'),
    ('rules', -1, 'failure_domain'),
)
OBJECT_PATHS: tuple[Path, ...] = (
    (),
    ('failure_domains', 0),
    ('services', -1),
    ('services', 0, 'classes', 1),
    ('services', 0, 'client_accounts', 0),
    ('services', 0, 'limits'),
    ('services', -1, 'ramp'),
    ('rules', 0),
)
INVALID_NUMBERS: dict[Path, tuple[float, ...]] = {
    ('schema',): (0, 2, 1.5),
    ('base_version',): (-1, 0.5),
    ('services', 0, 'entry_port'): (0, -1, 65536, 1.5),
    ('services', 0, 'classes', 0, 'deadline_s'): (0, -1, 1e300),
    ('services', 0, 'client_accounts', 0, 'share'): (0, -3, 1e300),
    ('services', 0, 'limits', 'slots'): (0, -5, 2.5, 10**30),
    ('services', 0, 'limits', 'connections'): (0, -1, 10**30),
    ('services', -1, 'limits', 'queue_s'): (-0.1, 1e9),
    ('services', -1, 'limits', 'retry_budget'): (-0.1, 1.1),
    ('services', -1, 'limits', 'queue_length'): (-1, 0.5),
    ('services', 0, 'ramp', 'start_share'): (0, -0.1, 1.1),
    ('services', 0, 'ramp', 'double_s'): (0, -2, 1e9),
    ('rules', 0, 'weight'): (-1, 1e300),
}
NAME_FIELDS: tuple[Path, ...] = (
    ('failure_domains', 0, 'name'),
    ('failure_domains', 0, 'region'),
    ('services', 0, 'name'),
    ('services', 0, 'classes', 0, 'name'),
    ('services', 0, 'client_accounts', 0, 'name'),
    ('rules', 0, 'service'),
)
INVALID_NAMES = ('', 'A', 'a b', '-a', 'é', 'a\n', 'a/b', 'x' * 64, '\ud800')
INVALID_TEXTS: dict[Path, tuple[str, ...]] = {
    ('services', 0, 'address'): (
        '',
        '127.0.0.1',
        '127.0.0.1:0',
        '127.0.0.1:65536',
        '127.0.0.1:080',
        '[::1]:443',
        'host:443',
        '127.0.0.256:443',
        '127.0.0.1:443 ',
    ),
    ('services', 0, 'classes', 0, 'path_prefix'): ('', 'orders', '/a b', '/é'),
    ('services', 0, 'classes', 0, 'methods', 0): ('post', 'FETCH', ''),
    ('comment',): ('two\nlines', 'x' * 501, '\x00'),
    ('operator',): ('two words', '-', 'x' * 64),
    ('identifier',): ('a b', 'x' * 65, 'é'),
}
TYPED_FIELDS: tuple[Path, ...] = (
    *INVALID_NUMBERS,
    *INVALID_TEXTS,
    *REQUIRED_FIELDS[1:3],
    ('failure_domains', 0),
    ('services', 0),
    ('services', 0, 'classes'),
    ('services', 0, 'classes', 0, 'methods'),
    ('services', 0, 'client_accounts', 0),
    ('services', 0, 'limits'),
    ('services', 0, 'ramp'),
    ('rules',),
    ('rules', 0),
)
INVALID_FLAGS: dict[Path, tuple[typing.Any, ...]] = {
    ('failure_domains', 0, 'out'): (0, 1, 'true', None, []),
    ('services', 0, 'classes', 0, 'repeatable'): (0, 'false', None),
    ('services', 0, 'classes', 0, 'holds_slot'): (1, 'yes', None),
}
UNIQUE_LISTS: tuple[Path, ...] = (
    ('failure_domains',),
    ('services',),
    ('services', 0, 'classes'),
    ('services', 0, 'client_accounts'),
    ('rules',),
)
INVALID_ENCODINGS = (
    b'',
    b'null',
    b'[]',
    b'"document"',
    b'\xff\xfe',
    b'\xef\xbb\xbf{}',
    b'[' * 100000,
    b'x\x9c',
    b'\x78\x9c\x00',
    b'{"schema": NaN}',
)


def broken() -> strategies.SearchStrategy[bytes]:
    """Return a strategy of documents with at least one error each."""
    return strategies.one_of(
        _mutated(_remove_field, strategies.sampled_from(REQUIRED_FIELDS)),
        _mutated(_add_unknown_field, strategies.sampled_from(OBJECT_PATHS)),
        _mutated(_set_value, _path_values(INVALID_NUMBERS)),
        _mutated(_set_value, _path_values(INVALID_TEXTS)),
        _mutated(_set_value, _path_values(INVALID_FLAGS)),
        _mutated(_set_value, _invalid_names()),
        _mutated(_set_value, _wrong_types()),
        _mutated(_duplicate_entry, strategies.sampled_from(UNIQUE_LISTS)),
        _mutated(
            _add_rule_of_unknown_service, strategies.sampled_from(DOMAINS)
        ),
        _invalid_encodings(),
    )


def valid() -> strategies.SearchStrategy[documents.Entry]:
    """Return a strategy of valid documents of several sizes."""
    return strategies.builds(
        _document, strategies.integers(1, 3), strategies.integers(1, 3)
    )


def _document(domains: int, services: int) -> documents.Entry:
    rows = [
        documents.service(name, f'127.30.0.{index + 1}:4433', 20001 + index)
        for index, name in enumerate(SERVICES[:services])
    ]
    built = documents.document('accra', DOMAINS[:domains], rows)
    return copy.deepcopy({**built, 'identifier': 'fixed'})


def _mutated(
    change: abc.Callable[[documents.Entry, typing.Any], None],
    arguments: strategies.SearchStrategy[typing.Any],
) -> strategies.SearchStrategy[bytes]:
    def build(entry: documents.Entry, argument: typing.Any) -> bytes:
        change(entry, argument)
        return json.dumps(entry).encode()

    return strategies.builds(build, valid(), arguments)


def _path_values(
    table: abc.Mapping[Path, abc.Sequence[typing.Any]],
) -> strategies.SearchStrategy[typing.Any]:
    return strategies.sampled_from(
        [(path, value) for path, values in table.items() for value in values]
    )


def _invalid_names() -> strategies.SearchStrategy[typing.Any]:
    return strategies.tuples(
        strategies.sampled_from(NAME_FIELDS),
        strategies.sampled_from(INVALID_NAMES),
    )


def _wrong_types() -> strategies.SearchStrategy[typing.Any]:
    wrong_values = strategies.sampled_from((True, [None], {'a': 1}, [[]]))
    return strategies.tuples(
        strategies.sampled_from(TYPED_FIELDS), wrong_values
    )


def _remove_field(entry: documents.Entry, path: Path) -> None:
    del _resolve(entry, path[:-1])[path[-1]]


def _add_unknown_field(entry: documents.Entry, path: Path) -> None:
    _resolve(entry, path)['unknown'] = 1


def _set_value(
    entry: documents.Entry, path_value: tuple[Path, typing.Any]
) -> None:
    path, value = path_value
    _resolve(entry, path[:-1])[path[-1]] = value


def _duplicate_entry(entry: documents.Entry, path: Path) -> None:
    rows = _resolve(entry, path)
    rows.append(copy.deepcopy(rows[0]))


def _add_rule_of_unknown_service(entry: documents.Entry, name: str) -> None:
    entry['rules'].append(
        {'service': 'archive', 'failure_domain': name, 'weight': 1.0}
    )


def _invalid_encodings() -> strategies.SearchStrategy[bytes]:
    def truncate(entry: documents.Entry, share: float) -> bytes:
        encoded = json.dumps(entry).encode()
        return encoded[: int(len(encoded) * share)]

    def repeat_schema_key(entry: documents.Entry) -> bytes:
        return json.dumps(entry).encode()[:-1] + b', "schema": 1}'

    return strategies.one_of(
        strategies.sampled_from(INVALID_ENCODINGS),
        strategies.builds(truncate, valid(), strategies.floats(0, 0.999)),
        strategies.builds(repeat_schema_key, valid()),
    )


def _resolve(entry: typing.Any, path: Path) -> typing.Any:
    for part in path:
        entry = entry[part]
    return entry
