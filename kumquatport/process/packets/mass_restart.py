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

# Longest time in ms between the first and the last of these starts. The
# platform starts all at the same moment, but some hosts are slower.
MAX_SPAN_MS: typing.Final = 1_000

# Time in ms after the starts in which clients meet the loss of their flows.
RECENT_MS: typing.Final = 4_000


class Start(typing.NamedTuple):
    """Start of an instance.

    Attributes:
        started_ms: Unix time in ms by the clock of its host.
        is_heard: Whether its heartbeats arrive.
    """

    started_ms: int
    is_heard: bool


def is_mass_restart(starts: abc.Collection[Start], now_ms: int) -> bool:
    """Return whether most instances have just started together.

    Args:
        starts: Starts of all known instances, including this one.
        now_ms: Unix time in ms.
    """
    recent_ms = sorted(
        one.started_ms
        for one in starts
        if one.is_heard and abs(now_ms - one.started_ms) <= RECENT_MS
    )
    needed = max(math.ceil(MIN_SHARE * len(starts)), 2)
    first_to_last = zip(recent_ms, recent_ms[needed - 1 :], strict=False)
    return any(last - first <= MAX_SPAN_MS for first, last in first_to_last)
