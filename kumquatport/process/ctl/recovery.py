"""The verb that shows how the processes came back after many stopped at once."""

import collections
import datetime
import statistics
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.process.ctl import const, log_lines, output

# Seconds between two starts that belong to one return of many processes.
TOGETHER_S: typing.Final = 2.0

# Seconds after the first start in which lines count as part of the return.
WINDOW_S: typing.Final = 15.0

_AGENT: typing.Final = 'agent'
_BALANCER: typing.Final = 'balancer'
_STARTED: typing.Final = 'sockets open'

# What is looked for, and the event whose first line after the start shows it.
_FIRST: typing.Final = (
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
_LAST: typing.Final = (
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

    at: float
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
    given = _moment(since) if since else None
    starts = _together(
        [start for start in _starts(lines) if start.at >= (given or 0)]
    )
    if not starts:
        raise NoStartsLoggedError(f'{len(lines)} lines, no start among them')
    begun_at = starts[0].at if given is None else given
    reached = _reached_by_all(starts, lines, begun_at)
    stages = list(_stages(starts, reached))
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
    texts.extend(map(_text, stages))
    return output.Report(const.EXIT_DONE, tuple(texts), answer)


def _moment(text: str) -> float:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError as error:
        raise NoStartsLoggedError(f'{text}: expected a time') from error


def _starts(lines: abc.Iterable[log_lines.Line]) -> abc.Iterator[Start]:
    """Yield the starts: each process first tells of its own record."""
    known: dict[str, int] = {}
    for line in lines:
        is_own = line.inputs.get('peer') == line.instance
        if line.event != 'instance changed' or not is_own:
            continue
        incarnation = int(line.inputs.get('incarnation', 0))
        if known.get(line.instance) != incarnation:
            known[line.instance] = incarnation
            kind = _AGENT if line.inputs.get('service') else _BALANCER
            yield Start(line.at, line.instance, kind)


def _together(starts: abc.Sequence[Start]) -> list[Start]:
    """Return the largest group of starts that follow each other closely."""
    largest: list[Start] = []
    group: list[Start] = []
    for start in starts:
        if group and start.at - group[-1].at > TOGETHER_S:
            group = []
        group.append(start)
        largest = max(largest, group, key=len)
    return largest


def _reached_by_all(
    starts: abc.Iterable[Start],
    lines: abc.Iterable[log_lines.Line],
    begun_at: float,
) -> dict[str, dict[str, float]]:
    """Return by instance the seconds at which it had come to each stage."""
    written: dict[str, list[log_lines.Line]] = collections.defaultdict(list)
    for line in lines:
        written[line.instance].append(line)
    return {
        start.instance: _reached(start, written[start.instance], begun_at)
        for start in starts
    }


def _reached(
    start: Start, lines: abc.Iterable[log_lines.Line], begun_at: float
) -> dict[str, float]:
    """Return the seconds at which one process had come to each stage."""
    own = [line for line in lines if start.at <= line.at <= start.at + WINDOW_S]
    found = {_STARTED: start.at}
    for stage, event in _FIRST:
        moments = [line.at for line in own if line.event == event]
        if moments:
            found[stage] = moments[0]
    for stage, event in _LAST:
        moments = [line.at for line in own if line.event == event]
        if moments:
            found[stage] = max(found.get(stage, 0), moments[-1])
    return {stage: round(at - begun_at, 3) for stage, at in found.items()}


def _stages(
    starts: abc.Sequence[Start],
    reached: abc.Mapping[str, abc.Mapping[str, float]],
) -> abc.Iterator[Stage]:
    names = [_STARTED, *dict(_FIRST), *dict(_LAST)]
    for kind in (_BALANCER, _AGENT):
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


def _text(stage: Stage) -> str:
    return (
        f'{stage["kind"]:9}{stage["stage"]:22}{stage["count"]:5}'
        f'  first {stage["first_s"]:7.3f}  median {stage["median_s"]:7.3f}'
        f'  last {stage["last_s"]:7.3f}'
    )
