"""Selection of the agent that is offered a new flow.

Long flows with pauses are mixed with short ones, and many balancers decide by
load reports that are a few hundred milliseconds old. To keep them from all
choosing the least loaded agent at once, each balancer picks the best of a small
sample that the flow's key determines, and counts the flows that it has placed
itself since the last report.

For a route with an objective, the agent with the lowest expected time to an
answer is chosen by the waits that agents report. A reported wait changes within
a few requests, and other balancers place flows by the same report, so its
weight falls with its age; what remains is the wait that the open flows of the
agent cause on average.
"""

import math
import operator
import typing
from collections import abc

# Candidates compared for each flow. With a larger sample more balancers choose
# the same agent by the same old report.
SAMPLE_SIZE: typing.Final = 4

# Cost of crossing a failure domain, as a share of an agent's slots: the local
# agents must be busier by this much before traffic leaves the failure domain.
CROSS_DOMAIN_COST: typing.Final = 0.15

# Cost of an agent that has missed reports; it is used when no other is left.
SUSPECT_COST: typing.Final = 10.0

# Cost of an agent whose backend server is cold: it is slow and soon reaches its
# limit of new flows.
COLD_COST: typing.Final = 0.5

# Cost of an agent whose backend server fails requests. It ranks behind any
# agent that is not overloaded several times, and ahead of a silent one. If all
# backend servers fail requests, all have the same cost again.
FAILING_COST: typing.Final = 5.0

# Seconds in which the weight of a reported wait decreases to 1/e. In replays
# with reports that are up to 0.9 s old, 1 s mostly lost more: balancers that
# hold the same report choose the same agent.
REPORT_DECAY_S: typing.Final = 0.3

# Weight of the mean wait that the open flows of an agent cause. The next request
# meets the reported wait, but all later ones of the flow meet this one.
STANDING_WEIGHT: typing.Final = 2.0

# Largest use of the slots by open flows for which the mean wait is that of a
# queue in equilibrium; above it, the wait grows in proportion to the use.
MAX_EQUILIBRIUM_USE: typing.Final = 0.95

# Cost of a backend server that a flow should avoid, as a share of the objective.
# It is still used when the others would take longer by more than that.
AVOIDED_COST: typing.Final = 0.25

# Additional price of crossing a failure domain, as a share of the objective:
# agents that are equal otherwise are chosen within the failure domain.
CROSSING_PRICE: typing.Final = 0.02

# What a score is: expected seconds to an answer, or share of slots in use.
BASIS_TIME: typing.Final = 'expected_s'
BASIS_LOAD: typing.Final = 'load'


class Expectation(typing.NamedTuple):
    """What a request can expect at an agent, by the agent's report.

    Attributes:
        wait_s: Reported seconds until it meets a free slot.
        age_s: Seconds since the report was received.
        work_s: Reported mean seconds of work of a request.
        committed: Reported share of the slots that open flows use on average.
        placed: Flows that this balancer has placed on the agent since.
        round_trip_s: Measured round trip to the agent; None if it is unknown.
    """

    wait_s: float
    age_s: float
    work_s: float
    committed: float
    placed: int
    round_trip_s: float | None


class Candidate(typing.NamedTuple):
    """State of an agent that may take a new flow, as a balancer knows it.

    Attributes:
        instance: Name of the agent.
        slots: Requests that its backend server processes concurrently.
        busy: Requests in progress at its last report.
        flows: Open flows at its last report.
        placed: Flows that this balancer has placed on it since.
        is_cross_domain: Whether it is in another failure domain than the
            balancer.
        is_suspect: Whether its reports have stopped, or it has left an offer
            unanswered.
        penalty: Additional cost, 0 for a healthy agent.
        expectation: What a request can expect there; None if it is unknown.
        is_avoided: Whether the flow should avoid its backend server.
    """

    instance: str
    slots: int
    busy: int
    flows: int
    placed: int
    is_cross_domain: bool
    is_suspect: bool
    penalty: float = 0
    expectation: Expectation | None = None
    is_avoided: bool = False


class Scored(typing.NamedTuple):
    """The candidates that are compared for a flow, in its order.

    Attributes:
        basis: What the scores measure: ``BASIS_TIME`` or ``BASIS_LOAD``.
        scores: Each candidate and its score; the lowest is chosen, the first
            of equal ones.
    """

    basis: str
    scores: tuple[tuple[Candidate, float], ...]

    @property
    def chosen(self) -> Candidate | None:
        """Return the candidate that is chosen; None without candidates."""
        if not self.scores:
            return None
        return min(self.scores, key=operator.itemgetter(1))[0]


def penalty(*, is_cold: bool, is_failing: bool) -> float:
    """Return the additional cost of an impaired backend server.

    Args:
        is_cold: Whether it is cold.
        is_failing: Whether it leaves part of its requests unanswered.
    """
    return is_cold * COLD_COST + is_failing * FAILING_COST


def busy_per_flow(loads: abc.Iterable[tuple[int, int]]) -> float:
    """Return the mean number of requests in progress per open flow.

    Args:
        loads: Requests in progress and open flows of each agent.

    Returns:
        The mean, 1 if there are no open flows.
    """
    busy = 0
    flows = 0
    for agent_busy, agent_flows in loads:
        busy += agent_busy
        flows += agent_flows
    return busy / flows if flows else 1.0


def score(candidate: Candidate, flow_cost: float) -> float:
    """Return the expected share of slots in use plus costs; lower is better.

    Args:
        candidate: An agent.
        flow_cost: Mean number of requests in progress per open flow.
    """
    expected = candidate.flows * flow_cost
    load = (expected + candidate.busy) / 2 + candidate.placed
    total = load / max(candidate.slots, 1) + candidate.penalty
    if candidate.is_cross_domain:
        total += CROSS_DOMAIN_COST
    if candidate.is_suspect:
        total += SUSPECT_COST
    return total


def standing_wait_s(committed: float, work_s: float, slots: int) -> float:
    """Return the mean wait of a request behind those of the open flows.

    This is Sakasegawa's approximation for a queue with several servers.

    Args:
        committed: Share of the slots that these requests use.
        work_s: Mean seconds of work of a request.
        slots: Requests that the backend server processes concurrently.
    """
    idle = 1 - min(committed, MAX_EQUILIBRIUM_USE)
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return float(work_s * committed**exponent / (slots * idle))


def expected_s(
    candidate: Candidate, objective_s: float, unit_s: float
) -> float:
    """Return the expected seconds to an answer plus costs; lower is better.

    Args:
        candidate: An agent whose expectation is known.
        objective_s: Objective of the route.
        unit_s: Seconds for each unit of the costs that ``score`` adds.
    """
    expectation = candidate.expectation
    if expectation is None:
        return math.inf
    slots = max(candidate.slots, 1)
    work_s = expectation.work_s
    standing_s = STANDING_WEIGHT * standing_wait_s(
        expectation.committed, work_s, slots
    )
    weight = math.exp(-expectation.age_s / REPORT_DECAY_S)
    wait_s = standing_s + (expectation.wait_s - standing_s) * weight
    total_s = wait_s + work_s * (1 + expectation.placed / slots)
    total_s += candidate.penalty * unit_s
    total_s += candidate.is_avoided * AVOIDED_COST * objective_s
    if candidate.is_cross_domain:
        total_s += CROSSING_PRICE * objective_s
    if expectation.round_trip_s is not None:
        return total_s + expectation.round_trip_s
    return total_s + candidate.is_cross_domain * CROSS_DOMAIN_COST * unit_s


def choose(
    candidates: abc.Iterable[Candidate],
    flow_cost: float,
    objective_s: float | None = None,
) -> Candidate | None:
    """Choose the agent that is offered a new flow, None without candidates.

    Args:
        candidates: Agents in the order that the flow determines.
        flow_cost: Mean number of requests in progress per open flow.
        objective_s: Objective of the route; None if it has none.
    """
    return scored(candidates, flow_cost, objective_s).chosen


def scored(
    candidates: abc.Iterable[Candidate],
    flow_cost: float,
    objective_s: float | None = None,
) -> Scored:
    """Return the scores by which ``choose`` chooses; see there."""
    sample = sample_of(candidates)
    if objective_s is not None:
        by_expectation = _score_by_expectation(sample, objective_s)
        if by_expectation is not None:
            return by_expectation
    return Scored(
        BASIS_LOAD, tuple((one, score(one, flow_cost)) for one in sample)
    )


def sample_of(
    candidates: abc.Iterable[Candidate], size: int = SAMPLE_SIZE
) -> list[Candidate]:
    """Return the first candidates, suspect ones only if others are too few.

    Args:
        candidates: Agents in the order that the flow determines.
        size: Number of candidates.
    """
    healthy: list[Candidate] = []
    suspect: list[Candidate] = []
    for candidate in candidates:
        (suspect if candidate.is_suspect else healthy).append(candidate)
        if len(healthy) == size:
            break
    return (healthy + suspect)[:size]


def _score_by_expectation(
    sample: abc.Sequence[Candidate], objective_s: float
) -> Scored | None:
    """Score by the expected time; None if a needed report is missing.

    The report of a suspect agent is not needed while there are others, nor that
    of an avoided one, which may get too few requests to be measured. A unit of
    cost lasts as long as the slowest agent of the sample works on a request,
    and long enough that a failing agent costs an objective, as its answers are
    lost.
    """
    healthy = [
        one
        for one in sample
        if not one.is_suspect and (one.expectation or not one.is_avoided)
    ]
    works_s = [one.expectation.work_s for one in healthy if one.expectation]
    if not healthy or len(works_s) < len(healthy):
        return None
    unit_s = max(*works_s, objective_s / FAILING_COST)
    return Scored(
        BASIS_TIME,
        tuple((one, expected_s(one, objective_s, unit_s)) for one in healthy),
    )
