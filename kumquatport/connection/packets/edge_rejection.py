"""Rejection of a request at the balancer: its service has no capacity in time.

A request that no agent can answer before its deadline only delays others, and
each offer of it costs a round trip. Its reset is immediate, so the client knows
that it did not run. A wrong rejection costs a request, so any doubt about the
reports prevents it.
"""

import typing
from collections import abc

from kumquatport.connection.packets import (
    admission_queue,
    placement,
    request_class,
)

# Agents whose reports have to agree: the sample of placement and two more.
REQUIRED_AGENTS: typing.Final = placement.SAMPLE_SIZE + 2

# Age in seconds from which a report is too old for a rejection. Agents of other
# failure domains report every 0.9 s.
MAX_REPORT_AGE_S: typing.Final = 1.0


class Exhaustion(typing.NamedTuple):
    """Why a request cannot be answered in time.

    Attributes:
        wait_s: Shortest reported wait.
        left_s: Seconds to the deadline.
        age_s: Age of the oldest report, in seconds.
        agents: Number of agents whose reports agree.
    """

    wait_s: float
    left_s: float
    age_s: float
    agents: int


def time_left_s(terms: request_class.RequestClass, copy: int) -> float:
    """Return the seconds to the deadline when an opening packet arrives.

    Args:
        terms: Terms of its route.
        copy: Number of earlier transmissions of it.
    """
    spent_s = admission_queue.SPENT_S
    return terms.deadline_s - spent_s[min(copy, len(spent_s) - 1)]


def is_too_late(candidate: placement.Candidate, left_s: float) -> bool:
    """Return whether an agent certainly has no free slot before a deadline.

    It may have worked for the age of its report already.

    Args:
        candidate: The agent.
        left_s: Seconds to the deadline.
    """
    expectation = candidate.expectation
    if candidate.is_suspect or expectation is None:
        return False
    if expectation.age_s > MAX_REPORT_AGE_S:
        return False
    return expectation.wait_s - expectation.age_s > left_s


def find_exhaustion(
    candidates: abc.Iterable[placement.Candidate], left_s: float
) -> Exhaustion | None:
    """Return why a request cannot be answered in time; None if it may be.

    Args:
        candidates: Agents in the order that the flow determines.
        left_s: Seconds to the deadline.
    """
    sample = placement.sample_of(candidates, REQUIRED_AGENTS)
    if not all(is_too_late(candidate, left_s) for candidate in sample):
        return None
    known = [one.expectation for one in sample if one.expectation]
    if not known:
        return None
    return Exhaustion(
        min(expectation.wait_s for expectation in known),
        left_s,
        max(expectation.age_s for expectation in known),
        len(known),
    )
