"""Timing of the watch of the store, derived from a bound of the settings.

A change that the store has acknowledged must be in force everywhere within the
bound, even if the balancers that watch the store lose it, unnoticed by their
peers, just before the change. Each balancer therefore reads the store itself
before the configuration that it knows is too old for that:

    wait of a watch, and its answer passed on to the other balancers
    + time over which the other balancers start to read, one after the other
    + read
    + way to all instances, including one message lost and repaired
    = bound

Load pattern: the store has a price for each call, so a balancer starts to read
only when the watchers are overdue, and usually one balancer reads for all.
"""

import collections
import math
import typing
from collections import abc

# Shares of the bound, in the order of the sum above; the answer of a watch has
# a share of its own.
WATCH_SHARE: typing.Final = 0.4
ANSWER_SHARE: typing.Final = 0.1
SUBSTITUTES_SHARE: typing.Final = 0.1
READ_SHARE: typing.Final = 0.1
WAY_SHARE: typing.Final = 0.3

# Part of the bound after which a change is relayed once more. The way has time
# for it and for all hops.
REPEAT_SHARE: typing.Final = WAY_SHARE / 3

# Part of the bound for which a watcher collects changes in quick succession
# after the first of them; less than the share of an answer, so that nobody else
# starts to read meanwhile.
BATCH_SHARE: typing.Final = 1 / 12

# Balancers that watch the store all the time.
MIN_WATCHERS: typing.Final = 2


class WatchTiming(typing.NamedTuple):
    """Waits of the watch of the store, in seconds.

    Attributes:
        watch_s: Longest wait of a watch at the store.
        answer_s: Further seconds for its answer.
        substitutes_s: Seconds over which further balancers start to read.
        batch_s: Pause after a change, in which further changes are collected.
        repeat_s: Seconds after which a change is relayed once more.
    """

    watch_s: float
    answer_s: float
    substitutes_s: float
    batch_s: float
    repeat_s: float

    def join_age_s(self, rank: int, count: int) -> float:
        """Return the age of the configuration at which a balancer reads.

        The more balancers have failed to read, the more start together, so
        that all of them have started by the end of the time for it.

        Args:
            rank: Index of the balancer in the order of watching, from 0.
            count: Number of live balancers.
        """
        first_age_s = self.watch_s + self.answer_s
        position = max(rank / MIN_WATCHERS, 1)
        last_position = max(count / MIN_WATCHERS, position, math.e)
        share = math.log(position) / math.log(last_position)
        return first_age_s + share * self.substitutes_s

    def should_watch(self, rank: int, count: int, age_s: float) -> bool:
        """Return whether a balancer should watch the store.

        Args:
            rank: Index of the balancer in the order of watching, from 0.
            count: Number of live balancers.
            age_s: Seconds since the last known confirmation by the store.
        """
        return rank < MIN_WATCHERS or age_s > self.join_age_s(rank, count)


def from_bound(bound_s: float) -> WatchTiming:
    """Return the timing by which changes are in force within a bound.

    Args:
        bound_s: Seconds from the acknowledgement of a change until it must be
            in force at all instances.
    """
    return WatchTiming(
        watch_s=WATCH_SHARE * bound_s,
        answer_s=ANSWER_SHARE * bound_s,
        substitutes_s=SUBSTITUTES_SHARE * bound_s,
        batch_s=BATCH_SHARE * bound_s,
        repeat_s=REPEAT_SHARE * bound_s,
    )


def watch_order(domains: abc.Mapping[str, str]) -> list[str]:
    """Return the balancers in the order in which they watch the store.

    The first ones are in different failure domains, so that the loss of one
    domain does not take all watchers.

    Args:
        domains: Failure domain of each live balancer.
    """
    counts: collections.Counter[str] = collections.Counter()
    order = []
    for name in sorted(domains):
        order.append((counts[domains[name]], name))
        counts[domains[name]] += 1
    return [name for _, name in sorted(order)]
