"""Whether a new flow may open at this agent, and how much work it wants."""

import typing

from kumquatport.request import const, messages, policy
from kumquatport.request.admission import const as admission_const

REPORTED_COLD_WEIGHT = 0.5


class Inputs(typing.NamedTuple):
    """What the decision looks at.

    Attributes:
        policy: Of the current document, None before the first.
        leaving: Whether agent or backend server is leaving.
        reachable: Whether something listens at the backend server.
        reported_cold: Whether a fresh health report says cold.
        connections: Callers' connections open.
        pressure: Expected wait of new work over the longest wait.
        share: Share of the slots that the limit lets be used.
    """

    policy: policy.Policy | None
    leaving: bool
    reachable: bool
    reported_cold: bool
    connections: int
    queue_pressure: float
    slot_share: float


def decide(inputs: Inputs) -> messages.Readiness:
    """Decide; the caller passes on an opening packet that isn't accepted."""
    if inputs.leaving:
        return messages.Readiness(False, 0, const.STATE_LEAVING, 'leaving')
    if inputs.policy is None:
        return _starting('no document names this service yet')
    if not inputs.reachable:
        return _starting('nothing listens at the backend server')
    weight = inputs.slot_share
    if inputs.reported_cold:
        weight *= REPORTED_COLD_WEIGHT
    if inputs.connections >= inputs.policy.limits.connections:
        return _full(weight, 'connections at their limit')
    if inputs.queue_pressure > admission_const.MAX_QUEUE_PRESSURE:
        return _full(weight, 'queue under pressure')
    return messages.Readiness(True, weight, const.STATE_READY, 'open')


def _starting(reason: str) -> messages.Readiness:
    return messages.Readiness(False, 0, const.STATE_STARTING, reason)


def _full(weight: float, reason: str) -> messages.Readiness:
    return messages.Readiness(False, weight, const.STATE_READY, reason)
