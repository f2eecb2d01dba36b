"""The ``recovery`` verb: how fast processes recover after a joint failure."""

import collections
import datetime
import statistics
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.process.ctl import const, log_lines, output

# Largest gap between consecutive starts of the same recovery.
MAX_START_GAP_S: typing.Final = 2.0

# Log lines count as part of the recovery this long after the process start.
RECOVERY_WINDOW_S: typing.Final = 15.0

_KIND_AGENT: typing.Final = 'agent'
_KIND_BALANCER: typing.Final = 'balancer'
_STAGE_SOCKETS_OPEN: typing.Final = 'sockets open'

# Stages and the log event whose first line after the start marks each.
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
# Stages and the log event whose last line in the window marks each.
_LAST_EVENT_STAGES: typing.Final = (
    ('last lost flow told', 'flow reset'),
    ('last lost flow told', 'flow lost'),
)


class NoStartsLoggedError(exceptions.KumquatportError):
    """The logs contain no start of a process."""

    code = 'KQ-6013'


class Start(typing.NamedTuple):
    """Start of a process.

    Attributes:
        timestamp_s: Seconds since the epoch.
        instance: Name of the instance.
        kind: ``agent`` or ``balancer``.
    """

    timestamp_s: float
    instance: str
    kind: str


class Stage(typing.TypedDict):
    """Times at which the processes of one kind reached a stage.

    Times are in seconds since the first start, or since the time given by the
    operator.
    """

    kind: str
    stage: str
    count: int
    first_s: float
    median_s: float
    last_s: float


class RecoveryAnswer(typing.TypedDict):
    """JSON output of ``recovery``."""

    since: str
    processes: int
    stages: list[Stage]
    instances: dict[str, dict[str, float]]
    unreadable_lines: int


def recovery(files: abc.Sequence[str], since: str) -> output.Report:
    """Report when the largest group of joint starts reached each stage.

    Args:
        files: Log files of the processes, one JSON object per line.
        since: ISO time to count from, for example the time at which power
            returned; empty for the first start.

    Raises:
        LogUnreadableError: A file cannot be read.
        NoStartsLoggedError: ``since`` is not a time, or no process started
            after it.
    """
    lines, unreadable_count = log_lines.read(files)
    since_s = _parse_time(since) if since else None
    starts = _largest_start_group(
        [
            start
            for start in _find_starts(lines)
            if start.timestamp_s >= (since_s or 0)
        ]
    )
    if not starts:
        raise NoStartsLoggedError(f'{len(lines)} lines, no start among them')
    origin_s = starts[0].timestamp_s if since_s is None else since_s
    stage_times = _stage_times_by_instance(starts, lines, origin_s)
    stages = list(_summarize_stages(starts, stage_times))
    answer: RecoveryAnswer = {
        'since': datetime.datetime.fromtimestamp(
            origin_s, datetime.UTC
        ).isoformat(),
        'processes': len(starts),
        'stages': stages,
        'instances': stage_times,
        'unreadable_lines': unreadable_count,
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
    """Yield the starts of processes.

    The first log line of each process is the change of its own membership
    record, with a new incarnation.
    """
    incarnations: dict[str, int] = {}
    for line in lines:
        is_own = line.fields.get('peer') == line.instance
        if line.event != 'instance changed' or not is_own:
            continue
        incarnation = int(line.fields.get('incarnation', 0))
        if incarnations.get(line.instance) != incarnation:
            incarnations[line.instance] = incarnation
            kind = _KIND_AGENT if line.fields.get('service') else _KIND_BALANCER
            yield Start(line.timestamp_s, line.instance, kind)


def _largest_start_group(starts: abc.Sequence[Start]) -> list[Start]:
    """Return the largest group of starts without a gap above the maximum."""
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
    origin_s: float,
) -> dict[str, dict[str, float]]:
    """Return for each instance the seconds at which it reached each stage."""
    lines_by_instance: dict[str, list[log_lines.LogLine]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        lines_by_instance[line.instance].append(line)
    return {
        start.instance: _stage_times(
            start, lines_by_instance[start.instance], origin_s
        )
        for start in starts
    }


def _stage_times(
    start: Start, lines: abc.Iterable[log_lines.LogLine], origin_s: float
) -> dict[str, float]:
    """Return the seconds at which one process reached each stage."""
    window_lines = [
        line
        for line in lines
        if start.timestamp_s
        <= line.timestamp_s
        <= start.timestamp_s + RECOVERY_WINDOW_S
    ]
    timestamps = {_STAGE_SOCKETS_OPEN: start.timestamp_s}
    for stage, event in _FIRST_EVENT_STAGES:
        event_times = [
            line.timestamp_s for line in window_lines if line.event == event
        ]
        if event_times:
            timestamps[stage] = event_times[0]
    for stage, event in _LAST_EVENT_STAGES:
        event_times = [
            line.timestamp_s for line in window_lines if line.event == event
        ]
        if event_times:
            timestamps[stage] = max(timestamps.get(stage, 0), event_times[-1])
    return {
        stage: round(timestamp_s - origin_s, 3)
        for stage, timestamp_s in timestamps.items()
    }


def _summarize_stages(
    starts: abc.Sequence[Start],
    stage_times: abc.Mapping[str, abc.Mapping[str, float]],
) -> abc.Iterator[Stage]:
    stage_names = [
        _STAGE_SOCKETS_OPEN,
        *dict(_FIRST_EVENT_STAGES),
        *dict(_LAST_EVENT_STAGES),
    ]
    for kind in (_KIND_BALANCER, _KIND_AGENT):
        for stage_name in stage_names:
            times = [
                stage_times[start.instance][stage_name]
                for start in starts
                if start.kind == kind
                and stage_name in stage_times[start.instance]
            ]
            if times:
                yield Stage(
                    kind=kind,
                    stage=stage_name,
                    count=len(times),
                    first_s=min(times),
                    median_s=statistics.median(times),
                    last_s=max(times),
                )


def _format_stage(stage: Stage) -> str:
    return (
        f'{stage["kind"]:9}{stage["stage"]:22}{stage["count"]:5}'
        f'  first {stage["first_s"]:7.3f}  median {stage["median_s"]:7.3f}'
        f'  last {stage["last_s"]:7.3f}'
    )
