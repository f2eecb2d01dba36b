"""Decides whether this agent accepts new flows, and its weight."""

import typing

from kumquatport.request import const, messages, policy
from kumquatport.request.admission import const as admission_const

REPORTED_COLD_WEIGHT = 0.5


class Inputs(typing.NamedTuple):
    """Inputs of the decision.

    Attributes:
        policy: Policy of the current document, None before the first.
        leaving: Whether the agent or the backend server is leaving.
        reachable: Whether something listens at the backend server's address.
        reported_cold: Whether a recent health report says cold.
        connections: Number of open connections of callers.
        queue_pressure: Queue length or expected wait as a share of its
            maximum, whichever is larger.
        slot_share: The concurrency limit as a share of the slots, 0 to 1.
    """

    policy: policy.Policy | None
    leaving: bool
    reachable: bool
    reported_cold: bool
    connections: int
    queue_pressure: float
    slot_share: float


def decide(inputs: Inputs) -> messages.Readiness:
    """Return the readiness of the agent."""
    if inputs.leaving:
        return messages.Readiness(False, 0, const.STATE_LEAVING, 'leaving')
    if inputs.policy is None:
        return _starting('no document contains this service yet')
    if not inputs.reachable:
        return _starting('cannot connect to the backend server')
    weight = inputs.slot_share
    if inputs.reported_cold:
        weight *= REPORTED_COLD_WEIGHT
    if inputs.connections >= inputs.policy.limits.connections:
        return _full(weight, 'connection limit reached')
    if inputs.queue_pressure > admission_const.MAX_QUEUE_PRESSURE:
        return _full(weight, 'queue pressure too high')
    return messages.Readiness(True, weight, const.STATE_READY, 'open')


def _starting(reason: str) -> messages.Readiness:
    return messages.Readiness(False, 0, const.STATE_STARTING, reason)


def _full(weight: float, reason: str) -> messages.Readiness:
    return messages.Readiness(False, weight, const.STATE_READY, reason)
