"""Deadlines of requests, in seconds on the handler's clock."""

import math
from collections import abc

from kumquatport.request import const, messages, policy


def of_request(
    head: messages.RequestHead,
    request_class: policy.RequestClass,
    now: float,
) -> float:
    """Return the time by which the answer must have begun.

    The caller's ``X-Deadline`` header (seconds left) can only shorten the
    deadline of the class; a malformed one is ignored.
    """
    allowed_s = request_class.deadline_s
    for name, value in head.headers:
        if name == const.HEADER_DEADLINE:
            allowed_s = min(allowed_s, _parse(value, allowed_s))
    return now + min(allowed_s, const.MAX_DEADLINE_S)


def header(deadline_at: float, now: float) -> tuple[str, str]:
    """Return the deadline header for the backend server (seconds left)."""
    left_s = max(deadline_at - now, 0)
    return const.HEADER_DEADLINE, f'{left_s:.3f}'


def remaining_s(deadline_at: float, clock: abc.Callable[[], float]) -> float:
    """Return the seconds left, at least zero."""
    return max(deadline_at - clock(), 0)


def _parse(value: str, default: float) -> float:
    try:
        value_s = float(value)
    except ValueError:
        return default
    if not math.isfinite(value_s):
        return default
    return max(value_s, 0)
