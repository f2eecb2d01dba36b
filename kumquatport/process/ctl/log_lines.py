"""Lines of the processes' logs, read from files."""

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
        at: Seconds since the epoch, by the clock of its machine.
        instance: Who wrote it.
        event: What it says.
        inputs: Its other fields.
    """

    timestamp_s: float
    instance: str
    event: str
    fields: dict[str, typing.Any]


def read(files: abc.Sequence[str]) -> tuple[list[LogLine], int]:
    """Read logs; return their lines by time, and how many are none.

    Args:
        files: Logs of the processes, a JSON object a line.

    Raises:
        LogUnreadableError: A file cannot be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        found, skipped = _read_file(file)
        lines.extend(found)
        unreadable += skipped
    lines.sort(key=lambda line: line.timestamp_s)
    return lines, unreadable


def _read_file(file: str) -> tuple[list[LogLine], int]:
    """Read a log; return its lines and how many could not be read."""
    found = []
    skipped = 0
    try:
        with pathlib.Path(file).open('rb') as stream:
            for raw in stream:
                line = _parse_line(raw)
                if line is not None:
                    found.append(line)
                elif raw.strip():
                    skipped += 1
    except OSError as error:
        raise LogUnreadableError(f'{file}: {error.strerror}') from error
    return found, skipped


def _parse_line(raw: bytes) -> LogLine | None:
    """Read a line; what a log collector put before the object is left out."""
    start = max(raw.find(b'{'), 0)
    try:
        row = msgspec.json.decode(raw[start:], type=dict[str, typing.Any])
        stamp = str(row['timestamp'])
        at = datetime.datetime.fromisoformat(stamp).timestamp()
    except (msgspec.MsgspecError, LookupError, ValueError):
        return None
    inputs = {key: row[key] for key in row if key not in _OMITTED_FIELDS}
    flow = row.get('flow')
    if flow is not None:
        inputs['flow'] = flow
    event = str(row.get('event', ''))
    return LogLine(at, str(row.get('instance', '')), event, inputs)
