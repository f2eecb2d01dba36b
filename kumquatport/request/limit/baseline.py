"""Baseline latency of a class, which follows changes slowly."""

from kumquatport.request.limit import const, sample


def update(
    baseline: sample.Baseline | None,
    observed: sample.Sample,
    time_constant_s: float,
) -> sample.Baseline:
    """Update the baseline of a class with one sample.

    Args:
        baseline: Baseline so far, None for a new class.
        observed: An answered sample of the class.
        time_constant_s: How fast the baseline follows a lasting change, in
            seconds; infinite to keep it as it is.

    Returns:
        The updated baseline.
    """
    if baseline is None:
        return sample.Baseline(observed.latency_s, 0, 1, observed.at)
    difference = observed.latency_s - baseline.latency_s
    weight = _weight(baseline, observed.at, time_constant_s)
    spread = abs(difference) - baseline.deviation_s
    return sample.Baseline(
        latency_s=baseline.latency_s + difference * weight,
        deviation_s=baseline.deviation_s + spread * const.DEVIATION_EWMA_WEIGHT,
        samples=baseline.samples + 1,
        at=observed.at,
    )


def slow_threshold_s(baseline: sample.Baseline) -> float:
    """Return the latency above which an answer counts as slow."""
    spread = baseline.latency_s + const.SLOW_DEVIATIONS * baseline.deviation_s
    return max(baseline.latency_s * const.SLOW_RATIO, spread)


def scale(baseline: sample.Baseline, factor: float) -> sample.Baseline:
    """Return the baseline of a server that is slower by the factor."""
    return baseline._replace(
        latency_s=baseline.latency_s * factor,
        deviation_s=baseline.deviation_s * factor,
    )


def _weight(
    baseline: sample.Baseline, now: float, time_constant_s: float
) -> float:
    if baseline.samples < const.MIN_BASELINE_SAMPLES:
        return 1 / (baseline.samples + 1)
    return min((now - baseline.at) / time_constant_s, const.MAX_BASELINE_WEIGHT)
