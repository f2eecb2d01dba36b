"""A time-based ramp that ignores the latency of the backend server."""

from kumquatport.request.limit import sample


def step(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Return the ramp's current value; an unreachable server restarts it."""
    if observed.result is sample.Result.unreachable:
        state = state._replace(restarted_at=observed.at)
    doublings = (observed.at - state.restarted_at) / bounds.double_s
    exponent = min(doublings, float(bounds.slots))
    value = min(bounds.initial_limit * 2**exponent, bounds.slots)
    return state._replace(value=value, grown_at=observed.at)
