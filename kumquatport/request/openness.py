"""Whether a new flow may open at this agent, and how much work it wants."""

import typing

from kumquatport.request import const, messages, policy
from kumquatport.request.admission import const as admission_const

COLD_HINT_SHARE = 0.5


class View(typing.NamedTuple):
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
    pressure: float
    share: float


def decide(view: View) -> messages.Openness:
    """Decide; the caller passes on an opening packet that isn't accepted."""
    if view.leaving:
        return messages.Openness(False, 0, const.STATE_LEAVING, 'leaving')
    if view.policy is None:
        return _starting('no document names this service yet')
    if not view.reachable:
        return _starting('nothing listens at the backend server')
    weight = view.share
    if view.reported_cold:
        weight *= COLD_HINT_SHARE
    if view.connections >= view.policy.limits.connections:
        return _full(weight, 'connections at their limit')
    if view.pressure > admission_const.FULL_SHARE:
        return _full(weight, 'queue under pressure')
    return messages.Openness(True, weight, const.STATE_READY, 'open')


def _starting(reason: str) -> messages.Openness:
    return messages.Openness(False, 0, const.STATE_STARTING, reason)


def _full(weight: float, reason: str) -> messages.Openness:
    return messages.Openness(False, weight, const.STATE_READY, reason)
