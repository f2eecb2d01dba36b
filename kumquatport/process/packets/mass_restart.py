"""Detection of an unplanned restart of most instances at once.

Planned restarts come in turn, so most instances keep running and know the open
flows. After a loss of power or a kill of all processes nobody knows them, and
clients wait for each flow to be found or reset.
"""

import math
import typing
from collections import abc

# Share of the known instances that have started together.
MIN_SHARE: typing.Final = 0.75

# Longest time in seconds between the first and the last of these starts. The
# platform starts all at the same moment, but some hosts are slower.
MAX_SPAN_S: typing.Final = 1.0

# Seconds by which all processes had ended before the first of them started
# again: half of the shortest delay of a restart and the time to load a program.
MIN_OUTAGE_S: typing.Final = 0.4

# Seconds after the starts in which clients meet the loss of their flows.
RECENT_S: typing.Final = 4.0


class Start(typing.NamedTuple):
    """Start of an instance, by the monotonic clock of this process.

    Start times by the clocks of different hosts are not compared: one that is
    off by seconds would hide a mass restart or feign one.

    Attributes:
        started_at: Monotonic seconds; None if it is unknown, as for an instance
            of a former build that was running when this process started.
        is_heard: Whether its heartbeats arrive.
    """

    started_at: float | None
    is_heard: bool


def is_mass_restart(starts: abc.Collection[Start], now: float) -> bool:
    """Return whether most instances have just started together.

    Args:
        starts: Starts of all known instances, including this one.
        now: Monotonic time in seconds.
    """
    return first_start(starts, now) is not None


def is_part_of(
    stated_start: float,
    own_started_at: float,
    starts: abc.Collection[Start],
    now: float,
) -> bool:
    """Return whether this and another process started with most instances.

    All processes had ended before, so no earlier instance on this host has
    dealt with the other process. One that started again later, on its own, is
    not the first.

    Args:
        stated_start: Start of the other process in monotonic seconds. It may be
            by the clock of this host, which may have been set since; no planned
            work restarts most instances, so that counts only in rare cases.
        own_started_at: Monotonic seconds of the start of this process.
        starts: Starts of all known instances, including this one.
        now: Monotonic time in seconds.
    """
    first = first_start(starts, now)
    if first is None or own_started_at - first > MAX_SPAN_S:
        return False
    return stated_start > first - MIN_OUTAGE_S


def first_start(starts: abc.Collection[Start], now: float) -> float | None:
    """Return when the first of most instances started, if they just have.

    Args:
        starts: Starts of all known instances, including this one.
        now: Monotonic time in seconds.

    Returns:
        Monotonic seconds; None if it is no mass restart.
    """
    recent = sorted(
        one.started_at
        for one in starts
        if one.is_heard
        and one.started_at is not None
        and now - one.started_at <= RECENT_S
    )
    needed = max(math.ceil(MIN_SHARE * len(starts)), 2)
    first_to_last = zip(recent, recent[needed - 1 :], strict=False)
    return next(
        (first for first, last in first_to_last if last - first <= MAX_SPAN_S),
        None,
    )
