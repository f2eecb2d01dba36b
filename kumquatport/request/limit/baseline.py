"""The normal latency of a class, learnt slowly."""

from kumquatport.request.limit import const, sample


def update(
    known: sample.Baseline | None,
    observed: sample.Sample,
    time_constant_s: float,
) -> sample.Baseline:
    """Take one sample into a class's normal latency.

    Args:
        known: What was known, None for a new class.
        observed: An answered sample of the class.
        time_constant_s: Time in which the normal latency follows a lasting change;
            infinite to keep it.

    Returns:
        What is known now.
    """
    if known is None:
        return sample.Baseline(observed.latency_s, 0, 1, observed.at)
    difference = observed.latency_s - known.latency_s
    weight = _weight(known, observed.at, time_constant_s)
    spread = abs(difference) - known.deviation_s
    return sample.Baseline(
        latency_s=known.latency_s + difference * weight,
        deviation_s=known.deviation_s + spread * const.DEVIATION_EWMA_WEIGHT,
        samples=known.samples + 1,
        at=observed.at,
    )


def slow_threshold_s(known: sample.Baseline) -> float:
    """Return the latency above which an answer counts as slow."""
    spread = known.latency_s + const.SLOW_DEVIATIONS * known.deviation_s
    return max(known.latency_s * const.SLOW_RATIO, spread)


def scale(known: sample.Baseline, factor: float) -> sample.Baseline:
    """Return the reference for a server that much slower."""
    return known._replace(
        latency_s=known.latency_s * factor,
        deviation_s=known.deviation_s * factor,
    )


def _weight(known: sample.Baseline, now: float, follow_s: float) -> float:
    if known.samples < const.MIN_BASELINE_SAMPLES:
        return 1 / (known.samples + 1)
    return min((now - known.at) / follow_s, const.MAX_BASELINE_WEIGHT)
