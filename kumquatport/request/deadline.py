"""Deadlines of requests, as moments on the handler's clock."""

import math
from collections import abc

from kumquatport.request import const, messages, policy


def of_request(
    head: messages.RequestHead,
    request_class: policy.RequestClass,
    now: float,
) -> float:
    """Return the moment by which the answer must have begun.

    The caller's ``X-Deadline`` (seconds left) can only shorten what its class
    allows; a malformed one is ignored.
    """
    allowed = request_class.deadline_s
    for name, value in head.headers:
        if name == const.HEADER_DEADLINE:
            allowed = min(allowed, _parse(value, allowed))
    return now + min(allowed, const.MAX_DEADLINE_S)


def header(deadline_at: float, now: float) -> tuple[str, str]:
    """Return the header that tells the backend server the seconds left."""
    left = max(deadline_at - now, 0)
    return const.HEADER_DEADLINE, f'{left:.3f}'


def remaining_s(deadline_at: float, clock: abc.Callable[[], float]) -> float:
    """Return the seconds left, never below zero."""
    return max(deadline_at - clock(), 0)


def _parse(value: str, default: float) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return default
    if not math.isfinite(seconds):
        return default
    return max(seconds, 0)
