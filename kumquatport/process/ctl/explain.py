"""The ``explain`` verb: the log lines of all processes about one flow."""

import bisect
import collections
import typing
from collections import abc

from kumquatport import exceptions
from kumquatport.process.ctl import const, log_lines, output

# Events that change the state on which a process bases its decisions; the last
# of each before a decision shows the state that it was based on.
_STATE_EVENTS: typing.Final = (
    'routes changed',
    'failure domains out',
    'backend server state',
    'backend server silent',
    'backend server answers',
    'backend server exits',
    'backend server listener closed',
    'backend server absent',
    'store lost',
    'store regained',
    'Started',
)
# Events about a peer; shown only if the flow was sent to that peer.
_PEER_EVENTS: typing.Final = frozenset(
    ('instance silent', 'instance heard', 'instance changed')
)


class FlowNotLoggedError(exceptions.KumquatportError):
    """The logs contain no line about the flow."""

    code = 'KQ-6012'


class KnownState(typing.NamedTuple):
    """State that a process knew of when it made a decision.

    Attributes:
        event: Event of the log line that reported the state.
        age_s: Seconds from that log line to the decision.
        fields: Other fields of that log line.
    """

    event: str
    age_s: float
    fields: dict[str, typing.Any]


class Step(typing.NamedTuple):
    """A log line about the flow or about an instance that handled it.

    Attributes:
        line: The log line.
        known_states: State known to the instance at that time; empty for lines
            that are not about the flow itself.
    """

    line: log_lines.LogLine
    known_states: tuple[KnownState, ...]


class ExplainAnswer(typing.TypedDict):
    """JSON output of ``explain``."""

    flow: str
    steps: list[Step]
    unreadable_lines: int


def explain(flow: str, files: abc.Sequence[str]) -> output.Report:
    """Order the log lines of all processes about one flow by time.

    Args:
        flow: Both endpoints as logged, or the client endpoint alone.
        files: Log files of the processes, one JSON object per line.

    Raises:
        LogUnreadableError: A file cannot be read.
        FlowNotLoggedError: No line is about the flow.
    """
    lines, unreadable_count = log_lines.read(files)
    flow_lines = [line for line in lines if _is_for_flow(line, flow)]
    if not flow_lines:
        raise FlowNotLoggedError(f'{flow}: {len(lines)} lines, none about it')
    steps = _build_steps(lines, flow_lines)
    answer: ExplainAnswer = {
        'flow': flow,
        'steps': steps,
        'unreadable_lines': unreadable_count,
    }
    texts = [
        text
        for step in steps
        for text in _format_step(step, start_s=flow_lines[0].timestamp_s)
    ]
    if unreadable_count:
        texts.append(f'{unreadable_count} lines could not be read')
    return output.Report(const.EXIT_DONE, tuple(texts), answer)


def _is_for_flow(line: log_lines.LogLine, flow: str) -> bool:
    logged_flow = str(line.fields.get('flow', ''))
    return bool(logged_flow) and flow in {
        logged_flow,
        logged_flow.partition('>')[0],
    }


def _build_steps(
    lines: abc.Sequence[log_lines.LogLine],
    flow_lines: abc.Sequence[log_lines.LogLine],
) -> list[Step]:
    """Return the steps of a flow.

    Adds to each line about the flow the state that its instance knew of, and
    between these lines the state changes of the instances and their events
    about the agents concerned.
    """
    agents = {str(line.fields.get('agent', '')) for line in flow_lines}
    instances = {line.instance for line in flow_lines}
    first_s, last_s = flow_lines[0].timestamp_s, flow_lines[-1].timestamp_s
    history: dict[tuple[str, str], list[log_lines.LogLine]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        if line.instance in instances and line.event in _STATE_EVENTS:
            history[line.instance, line.event].append(line)
    flow_line_ids = set(map(id, flow_lines))
    return [
        Step(
            line,
            _known_states(line, history) if id(line) in flow_line_ids else (),
        )
        for line in lines
        if id(line) in flow_line_ids
        or (
            first_s <= line.timestamp_s <= last_s
            and _is_related(line, instances, agents)
        )
    ]


def _is_related(
    line: log_lines.LogLine, instances: set[str], agents: set[str]
) -> bool:
    if line.instance not in instances:
        return False
    if line.event in _PEER_EVENTS:
        return line.fields.get('peer') in agents
    return line.event in _STATE_EVENTS


def _known_states(
    line: log_lines.LogLine,
    history: abc.Mapping[tuple[str, str], abc.Sequence[log_lines.LogLine]],
) -> tuple[KnownState, ...]:
    """Return the last line of each state event that the instance had logged."""
    states = []
    for event in _STATE_EVENTS:
        earlier = history.get((line.instance, event), ())
        earlier_count = bisect.bisect(
            earlier, line.timestamp_s, key=lambda logged: logged.timestamp_s
        )
        if earlier_count:
            latest = earlier[earlier_count - 1]
            age_s = round(line.timestamp_s - latest.timestamp_s, 3)
            states.append(KnownState(event, age_s, latest.fields))
    return tuple(states)


def _format_step(step: Step, start_s: float) -> abc.Iterator[str]:
    line = step.line
    fields = {key: line.fields[key] for key in line.fields if key != 'flow'}
    offset_s = line.timestamp_s - start_s
    yield (
        f'{offset_s:+9.3f} s  {line.instance}  '
        f'{line.event}{_format_fields(fields)}'
    )
    for state in step.known_states:
        yield (
            f'{"":13}{state.event}{_format_fields(state.fields)},'
            f' {state.age_s:.3f} s before'
        )


def _format_fields(fields: abc.Mapping[str, typing.Any]) -> str:
    return ''.join(f' {key}={fields[key]}' for key in fields)
