"""Which agent is offered a new flow.

Load pattern: long flows with pauses mixed with short ones, many balancers that
decide by reports a few hundred milliseconds old. Each picks the best of a few
candidates that the flow's name decides, so that the emptiest agent is not chosen
by all at once, and counts what it placed itself since the report.
"""

import typing
from collections import abc

# Candidates compared for each flow; more follow old reports into herds.
SAMPLE_SIZE: typing.Final = 4

# Score of crossing a failure domain, in shares of an agent's slots: the other
# side must be busier by this much before bytes leave the failure domain.
CROSS_DOMAIN_COST: typing.Final = 0.15

# Score of an agent that has missed reports; used when no other is left.
SUSPECT_COST: typing.Final = 10.0

# Score of an agent whose backend server is cold: slow, and soon at its
# allowance of new flows.
COLD_COST: typing.Final = 0.5

# Score of an agent whose backend server fails requests: behind any that is not
# several times overloaded, and ahead of one that is silent. If all fail they are
# equal again.
FAILING_COST: typing.Final = 5.0


class Candidate(typing.NamedTuple):
    """What a balancer knows of an agent that may take a new flow.

    Attributes:
        instance: Its name.
        slots: Requests that its backend server works on at a time.
        busy: Requests in progress when it reported.
        flows: Flows open when it reported.
        placed: Flows placed on it since, by this balancer.
        crosses: Whether it is in another failure domain than the balancer.
        is_suspect: Whether its reports have stopped, or it has left an offer
            unanswered.
        penalty: Further score, 0 for an agent in good order.
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
    """Return the score of what is wrong with a backend server.

    Args:
        is_cold: Whether it has just started.
        is_failing: Whether a part of its requests get no answer.
    """
    return is_cold * COLD_COST + is_failing * FAILING_COST


def busy_per_flow(loads: abc.Iterable[tuple[int, int]]) -> float:
    """Return the mean requests in progress of an open flow.

    Args:
        loads: Requests in progress and open flows of each agent.
    """
    busy = 0
    flows = 0
    for agent_busy, agent_flows in loads:
        busy += agent_busy
        flows += agent_flows
    return busy / flows if flows else 1.0


def score(candidate: Candidate, flow_cost: float) -> float:
    """Return the expected share of slots in use; less is better.

    Args:
        candidate: An agent.
        flow_cost: Mean requests in progress of an open flow.
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
    """Pick the agent that is offered a new flow; None if there is none.

    Args:
        candidates: In the order that the flow decides.
        flow_cost: Mean requests in progress of an open flow.
    """
    drawn = _sample(candidates)
    if not drawn:
        return None
    return min(drawn, key=lambda candidate: score(candidate, flow_cost))


def _sample(candidates: abc.Iterable[Candidate]) -> list[Candidate]:
    """Return the first candidates, silent ones only if there are few."""
    heard: list[Candidate] = []
    silent: list[Candidate] = []
    for candidate in candidates:
        (silent if candidate.is_suspect else heard).append(candidate)
        if len(heard) == SAMPLE_SIZE:
            break
    return (heard + silent)[:SAMPLE_SIZE]
