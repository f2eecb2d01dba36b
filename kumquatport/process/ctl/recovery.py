"""The verb that shows how the processes came back after many stopped at once."""

import collections
import datetime
import statistics
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.process.ctl import const, log_lines, output

# Seconds between two starts that belong to one return of many processes.
MAX_START_GAP_S: typing.Final = 2.0

# Seconds after the first start in which lines count as part of the return.
RECOVERY_WINDOW_S: typing.Final = 15.0

_KIND_AGENT: typing.Final = 'agent'
_KIND_BALANCER: typing.Final = 'balancer'
_STAGE_SOCKETS_OPEN: typing.Final = 'sockets open'

# What is looked for, and the event whose first line after the start shows it.
_FIRST_EVENT_STAGES: typing.Final = (
    ('peer heard', 'instance heard'),
    ('failure domains known', 'failure domains out'),
    ('routes known', 'routes changed'),
    ('libraries loaded', 'Started'),
    ('members read', 'members read'),
    ('backend server heard', 'backend server state'),
    ('first flow placed', 'flow placed'),
    ('first flow offered', 'flow offered'),
)
# The same for events whose last line shows it.
_LAST_EVENT_STAGES: typing.Final = (
    ('last lost flow told', 'flow reset'),
    ('last lost flow told', 'flow lost'),
)


class NoStartsLoggedError(exceptions.KumquatportError):
    """The logs hold no start of a process."""

    code = 'KQ-6013'


class Start(typing.NamedTuple):
    """A process that has begun.

    Attributes:
        at: Seconds since the epoch.
        instance: Its name.
        kind: ``agent`` or ``balancer``.
    """

    timestamp_s: float
    instance: str
    kind: str


class Stage(typing.TypedDict):
    """When the processes of one kind had come so far.

    Seconds count from the first start, or from the moment that was given.
    """

    kind: str
    stage: str
    count: int
    first_s: float
    median_s: float
    last_s: float


class RecoveryAnswer(typing.TypedDict):
    """The return of many processes, for scripts."""

    since: str
    processes: int
    stages: list[Stage]
    instances: dict[str, dict[str, float]]
    unreadable_lines: int


def recovery(files: abc.Sequence[str], since: str) -> output.Report:
    """Show by stages how the most processes that began together came back.

    Args:
        files: Logs of the processes, a JSON object a line.
        since: Moment to count from, in ISO form, for example that at which
            power was back; empty for the first start.

    Raises:
        LogUnreadableError: A file cannot be read.
        NoStartsLoggedError: No process began after that moment.
    """
    lines, unreadable = log_lines.read(files)
    given = _parse_time(since) if since else None
    starts = _largest_start_group(
        [
            start
            for start in _find_starts(lines)
            if start.timestamp_s >= (given or 0)
        ]
    )
    if not starts:
        raise NoStartsLoggedError(f'{len(lines)} lines, no start among them')
    begun_at = starts[0].timestamp_s if given is None else given
    reached = _stage_times_by_instance(starts, lines, begun_at)
    stages = list(_summarize_stages(starts, reached))
    answer: RecoveryAnswer = {
        'since': datetime.datetime.fromtimestamp(
            begun_at, datetime.UTC
        ).isoformat(),
        'processes': len(starts),
        'stages': stages,
        'instances': reached,
        'unreadable_lines': unreadable,
    }
    texts = [f'{len(starts)} processes since {answer["since"]}, seconds:']
    texts.extend(map(_format_stage, stages))
    return output.Report(const.EXIT_DONE, tuple(texts), answer)


def _parse_time(text: str) -> float:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError as error:
        raise NoStartsLoggedError(f'{text}: expected a time') from error


def _find_starts(lines: abc.Iterable[log_lines.LogLine]) -> abc.Iterator[Start]:
    """Yield the starts: each process first tells of its own record."""
    known: dict[str, int] = {}
    for line in lines:
        is_own = line.fields.get('peer') == line.instance
        if line.event != 'instance changed' or not is_own:
            continue
        incarnation = int(line.fields.get('incarnation', 0))
        if known.get(line.instance) != incarnation:
            known[line.instance] = incarnation
            kind = _KIND_AGENT if line.fields.get('service') else _KIND_BALANCER
            yield Start(line.timestamp_s, line.instance, kind)


def _largest_start_group(starts: abc.Sequence[Start]) -> list[Start]:
    """Return the largest group of starts that follow each other closely."""
    largest: list[Start] = []
    group: list[Start] = []
    for start in starts:
        if (
            group
            and start.timestamp_s - group[-1].timestamp_s > MAX_START_GAP_S
        ):
            group = []
        group.append(start)
        largest = max(largest, group, key=len)
    return largest


def _stage_times_by_instance(
    starts: abc.Iterable[Start],
    lines: abc.Iterable[log_lines.LogLine],
    begun_at: float,
) -> dict[str, dict[str, float]]:
    """Return by instance the seconds at which it had come to each stage."""
    written: dict[str, list[log_lines.LogLine]] = collections.defaultdict(list)
    for line in lines:
        written[line.instance].append(line)
    return {
        start.instance: _stage_times(start, written[start.instance], begun_at)
        for start in starts
    }


def _stage_times(
    start: Start, lines: abc.Iterable[log_lines.LogLine], begun_at: float
) -> dict[str, float]:
    """Return the seconds at which one process had come to each stage."""
    own = [
        line
        for line in lines
        if start.timestamp_s
        <= line.timestamp_s
        <= start.timestamp_s + RECOVERY_WINDOW_S
    ]
    found = {_STAGE_SOCKETS_OPEN: start.timestamp_s}
    for stage, event in _FIRST_EVENT_STAGES:
        moments = [line.timestamp_s for line in own if line.event == event]
        if moments:
            found[stage] = moments[0]
    for stage, event in _LAST_EVENT_STAGES:
        moments = [line.timestamp_s for line in own if line.event == event]
        if moments:
            found[stage] = max(found.get(stage, 0), moments[-1])
    return {stage: round(at - begun_at, 3) for stage, at in found.items()}


def _summarize_stages(
    starts: abc.Sequence[Start],
    reached: abc.Mapping[str, abc.Mapping[str, float]],
) -> abc.Iterator[Stage]:
    names = [
        _STAGE_SOCKETS_OPEN,
        *dict(_FIRST_EVENT_STAGES),
        *dict(_LAST_EVENT_STAGES),
    ]
    for kind in (_KIND_BALANCER, _KIND_AGENT):
        for name in names:
            moments = [
                reached[start.instance][name]
                for start in starts
                if start.kind == kind and name in reached[start.instance]
            ]
            if moments:
                yield Stage(
                    kind=kind,
                    stage=name,
                    count=len(moments),
                    first_s=min(moments),
                    median_s=statistics.median(moments),
                    last_s=max(moments),
                )


def _format_stage(stage: Stage) -> str:
    return (
        f'{stage["kind"]:9}{stage["stage"]:22}{stage["count"]:5}'
        f'  first {stage["first_s"]:7.3f}  median {stage["median_s"]:7.3f}'
        f'  last {stage["last_s"]:7.3f}'
    )
