"""Additive increase, multiplicative decrease on failed requests."""

from kumquatport.request.limit import const, sample


def step(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Grow by one per round of answers.

    Failures halve the limit, at most once per round of requests.
    """
    if observed.result is sample.Result.answered:
        return _grow(state, observed, bounds)
    if observed.result is sample.Result.overdue:
        return state
    if observed.at - state.backed_off_at < observed.latency_s:
        return state
    value = max(state.value * const.AIMD_BACKOFF_FACTOR, 1)
    return state._replace(value=value, backed_off_at=observed.at)


def _grow(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    if observed.in_progress < int(state.value):
        return state
    value = state.value + 1 / state.value
    return state._replace(value=min(value, bounds.slots))
