"""No limit, for comparison in benchmarks."""

from kumquatport.request.limit import const, sample


def step(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Allow practically any number of requests in progress."""
    return state._replace(value=const.UNLIMITED)
