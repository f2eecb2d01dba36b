"""The list of tests that are known to fail."""

import pathlib
import typing

FILE: typing.Final = pathlib.Path('KNOWN-RED.txt')
FIELD_COUNT: typing.Final = 4


class Entry(typing.NamedTuple):
    """A test that is known to fail.

    Attributes:
        test: Name as the run prints it.
        command: Command and seed that show the failure.
        seen: What was seen.
        issue: Issue that is to mend it.
    """

    test: str
    command: str
    observed: str
    issue: str


class MalformedListError(Exception):
    """A line of the list has not all its parts."""


def load(file: pathlib.Path = FILE) -> dict[str, Entry]:
    """Read the list; a missing file is an empty one.

    Raises:
        MalformedListError: A line lacks one of its parts.
    """
    if not file.exists():
        return {}
    lines = (line.strip() for line in file.read_text().splitlines())
    entries = [
        _parse(line) for line in lines if line and not line.startswith('#')
    ]
    return {entry.test: entry for entry in entries}


def _parse(line: str) -> Entry:
    parts = [part.strip() for part in line.split('|')]
    if len(parts) != FIELD_COUNT or not all(parts):
        raise MalformedListError(line)
    return Entry(*parts)
