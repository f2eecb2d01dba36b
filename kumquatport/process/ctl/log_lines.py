"""Reads the JSON log lines of processes from files."""

import datetime
import pathlib
import typing
from collections import abc

import msgspec

from kumquatport import exceptions

_OMITTED_FIELDS: typing.Final = frozenset(
    ('event', 'flow', 'instance', 'failure_domain', 'level', 'timestamp')
)


class LogUnreadableError(exceptions.KumquatportError):
    """A log file cannot be read."""

    code = 'KQ-6011'


class LogLine(typing.NamedTuple):
    """One line of a log.

    Attributes:
        timestamp_s: Seconds since the epoch, by the clock of the host that
            wrote the line.
        instance: Instance that wrote the line.
        event: Text of the log event.
        fields: Remaining fields.
    """

    timestamp_s: float
    instance: str
    event: str
    fields: dict[str, typing.Any]


def read(files: abc.Sequence[str]) -> tuple[list[LogLine], int]:
    """Read log files.

    Args:
        files: Log files of the processes, one JSON object per line.

    Returns:
        The lines ordered by time, and the number of lines that are not valid
        log lines.

    Raises:
        LogUnreadableError: A file cannot be read.
    """
    lines: list[LogLine] = []
    unreadable_count = 0
    for file in files:
        file_lines, invalid_count = _read_file(file)
        lines.extend(file_lines)
        unreadable_count += invalid_count
    lines.sort(key=lambda line: line.timestamp_s)
    return lines, unreadable_count


def _read_file(file: str) -> tuple[list[LogLine], int]:
    """Read a log file; return its lines and the number of invalid lines."""
    lines = []
    invalid_count = 0
    try:
        with pathlib.Path(file).open('rb') as stream:
            for raw in stream:
                line = _parse_line(raw)
                if line is not None:
                    lines.append(line)
                elif raw.strip():
                    invalid_count += 1
    except OSError as error:
        raise LogUnreadableError(f'{file}: {error.strerror}') from error
    return lines, invalid_count


def _parse_line(raw: bytes) -> LogLine | None:
    """Parse a line, ignoring a prefix that a log collector added.

    Returns:
        The line, or None if it is not valid.
    """
    start = max(raw.find(b'{'), 0)
    try:
        row = msgspec.json.decode(raw[start:], type=dict[str, typing.Any])
        timestamp = str(row['timestamp'])
        timestamp_s = datetime.datetime.fromisoformat(timestamp).timestamp()
    except (msgspec.MsgspecError, LookupError, ValueError):
        return None
    fields = {key: row[key] for key in row if key not in _OMITTED_FIELDS}
    flow = row.get('flow')
    if flow is not None:
        fields['flow'] = flow
    event = str(row.get('event', ''))
    return LogLine(timestamp_s, str(row.get('instance', '')), event, fields)
