"""The verb that puts what all processes logged about one flow in order."""

import bisect
import collections
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.process.ctl import const, log_lines, output

# Events that change what a process believes; the last of each before a decision
# tells what it was taken on.
_STATE_EVENTS: typing.Final = (
    'routes changed',
    'failure domains out',
    'backend server state',
    'backend server silent',
    'backend server answers',
    'backend server gone',
    'store lost',
    'store regained',
    'Started',
)
# Events about a peer; they matter if the flow went there.
_PEER_EVENTS: typing.Final = frozenset(
    ('instance silent', 'instance heard', 'instance changed')
)


class FlowNotLoggedError(exceptions.KumquatportError):
    """No line of the logs is about the flow."""

    code = 'KQ-6012'


class KnownState(typing.NamedTuple):
    """What a process believed when it decided.

    Attributes:
        event: The line that told of it.
        age_s: Seconds from that line to the decision.
        inputs: What that line said.
    """

    event: str
    age_s: float
    fields: dict[str, typing.Any]


class Step(typing.NamedTuple):
    """A line about the flow or about an instance that it went to."""

    line: log_lines.LogLine
    known_states: tuple[KnownState, ...]


class ExplainAnswer(typing.TypedDict):
    """The way of a flow, for scripts."""

    flow: str
    steps: list[Step]
    unreadable_lines: int


def explain(flow: str, files: abc.Sequence[str]) -> output.Report:
    """Put the lines of all processes about one flow in order.

    Args:
        flow: Both ends as logged, or the client's alone.
        files: Logs of the processes, a JSON object a line.

    Raises:
        LogUnreadableError: A file cannot be read.
        FlowNotLoggedError: No line is about the flow.
    """
    lines, unreadable = log_lines.read(files)
    about = [line for line in lines if _is_for_flow(line, flow)]
    if not about:
        raise FlowNotLoggedError(f'{flow}: {len(lines)} lines, none about it')
    steps = _build_steps(lines, about)
    answer: ExplainAnswer = {
        'flow': flow,
        'steps': steps,
        'unreadable_lines': unreadable,
    }
    texts = [
        text
        for step in steps
        for text in _format_step(step, since=about[0].timestamp_s)
    ]
    if unreadable:
        texts.append(f'{unreadable} lines could not be read')
    return output.Report(const.EXIT_DONE, tuple(texts), answer)


def _is_for_flow(line: log_lines.LogLine, flow: str) -> bool:
    logged = str(line.fields.get('flow', ''))
    return bool(logged) and flow in {logged, logged.partition('>')[0]}


def _build_steps(
    lines: abc.Sequence[log_lines.LogLine],
    about: abc.Sequence[log_lines.LogLine],
) -> list[Step]:
    """Add what was believed, and what became of the instances concerned."""
    agents = {str(line.fields.get('agent', '')) for line in about}
    writers = {line.instance for line in about}
    first, last = about[0].timestamp_s, about[-1].timestamp_s
    history: dict[tuple[str, str], list[log_lines.LogLine]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        if line.instance in writers and line.event in _STATE_EVENTS:
            history[line.instance, line.event].append(line)
    wanted = set(map(id, about))
    return [
        Step(line, _known_states(line, history) if id(line) in wanted else ())
        for line in lines
        if id(line) in wanted
        or (
            first <= line.timestamp_s <= last
            and _is_related(line, writers, agents)
        )
    ]


def _is_related(
    line: log_lines.LogLine, writers: set[str], agents: set[str]
) -> bool:
    if line.instance not in writers:
        return False
    if line.event in _PEER_EVENTS:
        return line.fields.get('peer') in agents
    return line.event in _STATE_EVENTS


def _known_states(
    line: log_lines.LogLine,
    history: abc.Mapping[tuple[str, str], abc.Sequence[log_lines.LogLine]],
) -> tuple[KnownState, ...]:
    """Return the last line of each kind that its writer had written."""
    found = []
    for event in _STATE_EVENTS:
        earlier = history.get((line.instance, event), ())
        place = bisect.bisect(
            earlier, line.timestamp_s, key=lambda one: one.timestamp_s
        )
        if place:
            last = earlier[place - 1]
            age_s = round(line.timestamp_s - last.timestamp_s, 3)
            found.append(KnownState(event, age_s, last.fields))
    return tuple(found)


def _format_step(step: Step, since: float) -> abc.Iterator[str]:
    line = step.line
    fields = {key: line.fields[key] for key in line.fields if key != 'flow'}
    at_s = line.timestamp_s - since
    yield f'{at_s:+9.3f} s  {line.instance}  {line.event}{_format_fields(fields)}'
    for belief in step.known_states:
        yield (
            f'{"":13}{belief.event}{_format_fields(belief.fields)},'
            f' {belief.age_s:.3f} s before'
        )


def _format_fields(fields: abc.Mapping[str, typing.Any]) -> str:
    return ''.join(f' {key}={fields[key]}' for key in fields)
