"""List of tests that are known to fail."""

import pathlib
import typing

FILE: typing.Final = pathlib.Path('KNOWN-RED.txt')
FIELD_COUNT: typing.Final = 4


class Entry(typing.NamedTuple):
    """A test that is known to fail.

    Attributes:
        test: Name as printed by the test runner.
        command: Command and seed that reproduce the failure.
        observed: Observed failure.
        issue: Issue that tracks the fix.
    """

    test: str
    command: str
    observed: str
    issue: str


class MalformedListError(Exception):
    """A line of the list does not have exactly four non-empty fields."""


def load(file: pathlib.Path = FILE) -> dict[str, Entry]:
    """Return the entries by test; a missing file counts as an empty list.

    Raises:
        MalformedListError: A line does not have four non-empty fields.
    """
    if not file.exists():
        return {}
    lines = (line.strip() for line in file.read_text().splitlines())
    entries = [
        _parse(line) for line in lines if line and not line.startswith('#')
    ]
    return {entry.test: entry for entry in entries}


def _parse(line: str) -> Entry:
    fields = [field.strip() for field in line.split('|')]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise MalformedListError(line)
    return Entry(*fields)
