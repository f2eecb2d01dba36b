"""Detection of backend servers that should get fewer new flows.

A balancer compares the work that agents report with that of the other backend
servers of the service, and learns from them which ones fail requests. Answers
to health checks are no evidence: they may be good while requests fail, and bad
while requests are answered. A backend server that recovers gets new flows
gradually, and one whose state changes often is kept out for a while. If most
are impaired, the cause is not theirs, and none is avoided.
"""

import collections
import enum
import typing
from collections import abc

# Relative work from which a backend server is slow, and below which it is not
# any more.
SLOW_RATIO: typing.Final = 2.0
HEALTHY_RATIO: typing.Final = 1.5

# Least work in seconds that others are taken to need. Reports have a resolution
# of 1 ms, and callers do not notice a few milliseconds.
MIN_WORK_S: typing.Final = 0.005

# Shares of new flows during a return, and the seconds of each step.
RETURN_SHARES: typing.Final = (0.25, 0.5)
RETURN_STEP_S: typing.Final = 2.0

# Changes of the evidence within the window in seconds that count as flapping,
# and seconds for which a flapping backend server is kept out.
FLAPPING_CHANGES: typing.Final = 3
FLAPPING_WINDOW_S: typing.Final = 10.0
KEPT_OUT_S: typing.Final = 5.0

# Share of avoided backend servers of a service above which none is avoided.
PANIC_SHARE: typing.Final = 0.5

# Seconds without a report of the work after which a slow backend server is
# tried again: it may get too few requests to be measured.
UNKNOWN_S: typing.Final = 5.0


class State(enum.StrEnum):
    """State of a backend server for new flows."""

    HEALTHY = 'healthy'
    SLOW = 'slow'
    FAILING = 'failing'
    FLAPPING = 'flapping'
    RETURNING = 'returning'


_AVOIDED: typing.Final = frozenset((State.SLOW, State.FAILING, State.FLAPPING))


class Observation(typing.NamedTuple):
    """Evidence about a backend server, from the reports of its agent.

    Attributes:
        work_s: Mean seconds of work of a request; None if it is unknown.
        is_failing: Whether it fails requests.
        route: Tag of the route of these requests. Only the work of the same
            route is compared: routes differ by more than servers do.
    """

    work_s: float | None
    is_failing: bool
    route: int = 0


class Change(typing.NamedTuple):
    """Change of the state of a backend server.

    Attributes:
        instance: Its agent.
        before: Former state.
        after: New state.
        ratio: Its work relative to that of the others; None if it is unknown.
    """

    instance: str
    before: State
    after: State
    ratio: float | None


class _Server:
    """Memory of one backend server.

    Attributes:
        state: Its state.
        is_slow: Whether its work was last found to be slow.
        measured_at: Monotonic seconds of the last known work.
        evidence: What the evidence says: healthy, slow or failing.
        changed_at: Monotonic seconds of the latest changes of the evidence.
        since: Monotonic seconds of the last change of ``state``.
    """

    __slots__ = (
        'changed_at',
        'evidence',
        'is_slow',
        'measured_at',
        'since',
        'state',
    )

    def __init__(self, now: float) -> None:
        self.state = State.HEALTHY
        self.is_slow = False
        self.measured_at = now
        self.evidence = State.HEALTHY
        self.changed_at: collections.deque[float] = collections.deque(
            maxlen=FLAPPING_CHANGES
        )
        self.since = now

    def judge(self, now: float, ratio: float | None, *, fails: bool) -> State:
        """Return the state that follows from new evidence."""
        self._note_ratio(now, ratio)
        evidence = State.SLOW if self.is_slow else State.HEALTHY
        if fails:
            evidence = State.FAILING
        if (evidence in _AVOIDED) != (self.evidence in _AVOIDED):
            self.changed_at.append(now)
        self.evidence = evidence
        if self._is_kept_out(now):
            return State.FLAPPING
        if evidence in _AVOIDED:
            return evidence
        if self.state in _AVOIDED:
            return State.RETURNING
        return_s = RETURN_STEP_S * len(RETURN_SHARES)
        is_complete = now - self.since >= return_s
        return State.HEALTHY if is_complete else self.state

    def share(self, now: float) -> float:
        """Return the share of the usual new flows that it gets."""
        if self.state in _AVOIDED:
            return 0
        if self.state is State.HEALTHY:
            return 1
        step = int((now - self.since) / RETURN_STEP_S)
        return RETURN_SHARES[step] if step < len(RETURN_SHARES) else 1

    def _note_ratio(self, now: float, ratio: float | None) -> None:
        if ratio is None:
            if now - self.measured_at > UNKNOWN_S:
                self.is_slow = False
            return
        self.measured_at = now
        limit = HEALTHY_RATIO if self.is_slow else SLOW_RATIO
        self.is_slow = ratio >= limit

    def _is_kept_out(self, now: float) -> bool:
        """Return whether it has changed too often, and just now."""
        if self.state is State.FLAPPING and now - self.since < KEPT_OUT_S:
            return True
        is_often = len(self.changed_at) == FLAPPING_CHANGES and (
            now - self.changed_at[0] <= FLAPPING_WINDOW_S
        )
        if is_often:
            self.changed_at.clear()
        return is_often


class ServerCapacity:
    """States of the backend servers of one service.

    Attributes:
        is_panic: Whether so many would be avoided that none is.
    """

    def __init__(self) -> None:
        """Start without backend servers."""
        self.is_panic = False
        self._servers: dict[str, _Server] = {}

    def update(
        self, observations: abc.Mapping[str, Observation], now: float
    ) -> list[Change]:
        """Judge all backend servers of the service by new reports.

        Args:
            observations: Evidence by agent.
            now: Monotonic time in seconds.

        Returns:
            The changes of state.
        """
        ratios = _relative_work(observations)
        changes = []
        servers = {}
        for instance, observation in observations.items():
            server = self._servers.get(instance) or _Server(now)
            servers[instance] = server
            ratio = ratios.get(instance)
            after = server.judge(now, ratio, fails=observation.is_failing)
            if after is not server.state:
                changes.append(Change(instance, server.state, after, ratio))
                server.state = after
                server.since = now
        self._servers = servers
        avoided = sum(one.state in _AVOIDED for one in servers.values())
        self.is_panic = avoided > PANIC_SHARE * len(servers)
        return changes

    def share(self, instance: str, now: float) -> float:
        """Return the share of the usual new flows that an agent gets.

        Args:
            instance: The agent.
            now: Monotonic time in seconds.
        """
        server = self._servers.get(instance)
        if server is None or self.is_panic:
            return 1
        return server.share(now)

    def state(self, instance: str) -> State:
        """Return the state of an agent's backend server."""
        server = self._servers.get(instance)
        return server.state if server else State.HEALTHY


def _relative_work(
    observations: abc.Mapping[str, Observation],
) -> dict[str, float]:
    """Return the work of each server relative to the median of the others."""
    by_route = collections.defaultdict(list)
    for instance, observation in observations.items():
        if observation.work_s is not None:
            known = (observation.work_s, instance)
            by_route[observation.route].append(known)
    ratios: dict[str, float] = {}
    for servers in by_route.values():
        ratios.update(_relative_to_others(sorted(servers)))
    return ratios


def _relative_to_others(
    ordered: abc.Sequence[tuple[float, str]],
) -> abc.Iterator[tuple[str, float]]:
    """Yield the relative work of servers that work on the same route."""
    if len(ordered) < 2:
        return
    works_s = [work_s for work_s, _ in ordered]
    for index, (work_s, instance) in enumerate(ordered):
        others_s = max(_median_without(works_s, index), MIN_WORK_S)
        yield instance, work_s / others_s


def _median_without(ordered: abc.Sequence[float], index: int) -> float:
    """Return the median of ordered numbers without the one at an index."""
    others = len(ordered) - 1
    middle = (others // 2, (others - 1) // 2)
    upper, lower = (
        ordered[position + (position >= index)] for position in middle
    )
    return (upper + lower) / 2
