"""Selection of the agent that is offered a new flow.

Long flows with pauses are mixed with short ones, and many balancers decide by
load reports that are a few hundred milliseconds old. To keep them from all
choosing the least loaded agent at once, each balancer picks the best of a small
sample that the flow's key determines, and counts the flows that it has placed
itself since the last report.
"""

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
    """

    instance: str
    slots: int
    busy: int
    flows: int
    placed: int
    is_cross_domain: bool
    is_suspect: bool
    penalty: float = 0


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


def choose(
    candidates: abc.Iterable[Candidate], flow_cost: float
) -> Candidate | None:
    """Choose the agent that is offered a new flow, None without candidates.

    Args:
        candidates: Agents in the order that the flow determines.
        flow_cost: Mean number of requests in progress per open flow.
    """
    sample = _sample(candidates)
    if not sample:
        return None
    return min(sample, key=lambda candidate: score(candidate, flow_cost))


def _sample(candidates: abc.Iterable[Candidate]) -> list[Candidate]:
    """Return the first candidates, suspect ones only if others are too few."""
    healthy: list[Candidate] = []
    suspect: list[Candidate] = []
    for candidate in candidates:
        (suspect if candidate.is_suspect else healthy).append(candidate)
        if len(healthy) == SAMPLE_SIZE:
            break
    return (healthy + suspect)[:SAMPLE_SIZE]
