"""Exponential backoff with jitter."""

import itertools
import random
import typing
from collections import abc

# Largest deviation from a period, as a fraction of it.
JITTER_RATIO: typing.Final = 0.1
GROWTH_FACTOR: typing.Final = 2.0


def jittered(period_s: float) -> float:
    """Return a period with jitter, so that instances do not synchronize.

    Args:
        period_s: Mean period, in seconds.
    """
    spread = random.uniform(-JITTER_RATIO, JITTER_RATIO)  # noqa: S311
    return period_s * (1 + spread)


def delays(first_s: float, limit_s: float) -> abc.Iterator[float]:
    """Yield retry delays endlessly, each random up to a doubling bound.

    The whole delay is random (full jitter), which spreads the retries of many
    instances evenly.

    Args:
        first_s: Upper bound of the first delay, in seconds.
        limit_s: Upper bound of all delays, in seconds.
    """
    bounds = itertools.accumulate(
        itertools.repeat(GROWTH_FACTOR),
        lambda bound_s, growth: min(bound_s * growth, limit_s),
        initial=min(first_s, limit_s),
    )
    for bound_s in bounds:
        yield random.uniform(0, bound_s)  # noqa: S311
