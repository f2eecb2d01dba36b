"""The normal latency of a class, learnt slowly."""

from kumquatport.request.limit import const, sample


def learn(
    known: sample.Reference | None,
    observed: sample.Sample,
    follow_s: float,
) -> sample.Reference:
    """Take one sample into a class's normal latency.

    Args:
        known: What was known, None for a new class.
        observed: An answered sample of the class.
        follow_s: Time in which the normal latency follows a lasting change;
            infinite to keep it.

    Returns:
        What is known now.
    """
    if known is None:
        return sample.Reference(observed.latency_s, 0, 1, observed.at)
    difference = observed.latency_s - known.latency_s
    weight = _weight(known, observed.at, follow_s)
    spread = abs(difference) - known.deviation_s
    return sample.Reference(
        latency_s=known.latency_s + difference * weight,
        deviation_s=known.deviation_s + spread * const.DEVIATION_WEIGHT,
        samples=known.samples + 1,
        at=observed.at,
    )


def slow_after_s(known: sample.Reference) -> float:
    """Return the latency above which an answer counts as slow."""
    spread = known.latency_s + const.DEVIATIONS_SLOW * known.deviation_s
    return max(known.latency_s * const.RATIO_SLOW, spread)


def scale(known: sample.Reference, factor: float) -> sample.Reference:
    """Return the reference for a server that much slower."""
    return known._replace(
        latency_s=known.latency_s * factor,
        deviation_s=known.deviation_s * factor,
    )


def _weight(known: sample.Reference, now: float, follow_s: float) -> float:
    if known.samples < const.FIRST_SAMPLES:
        return 1 / (known.samples + 1)
    return min((now - known.at) / follow_s, const.MAX_FOLLOW_WEIGHT)
