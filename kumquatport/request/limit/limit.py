"""The limit on requests in progress at one backend server."""

from collections import abc

import structlog

from kumquatport.request import policy
from kumquatport.request.limit import baseline, gradient, sample

_LOGGER = structlog.get_logger(__name__)


class ConcurrencyLimit:
    """Holds the state that a step function moves."""

    def __init__(
        self,
        bounds: sample.Bounds,
        clock: abc.Callable[[], float],
        step: sample.Step = gradient.step,
    ) -> None:
        """Begin with a slow start.

        Args:
            bounds: What the document says.
            clock: Monotonic seconds.
            step: How a sample moves the limit.
        """
        self._bounds = bounds
        self._clock = clock
        self._step = step
        self._state = sample.initial_state(bounds, clock())

    @property
    def value(self) -> float:
        """Requests that may be in progress, at least one."""
        return self._state.value

    @property
    def slot_share(self) -> float:
        """Share of the slots in use at the limit, 0 to 1."""
        return min(self._state.value / self._bounds.slots, 1)

    @property
    def state(self) -> sample.State:
        """What the limit remembers, for status and tests."""
        return self._state

    def configure(self, bounds: sample.Bounds) -> None:
        """Take the bounds of a new document."""
        self._bounds = bounds
        value = min(self._state.value, bounds.slots)
        self._state = self._state._replace(value=value)

    def observe(self, observed: sample.Sample) -> None:
        """Learn from one attempt."""
        before = self._state
        self._state = self._step(before, observed, self._bounds)
        restarted = self._state.restarted_at > before.restarted_at
        if restarted and before.value > self._bounds.initial_limit:
            _LOGGER.warning(
                'Slow start begins again',
                result=observed.result.value,
                latency_s=round(observed.latency_s, 4),
                before=round(before.value, 2),
            )

    def slow_threshold_s(self, class_name: str) -> float | None:
        """Return the age at which a request is known to be slow.

        None while too little is known of the class.
        """
        known = self._state.baselines.get(class_name)
        if known is None or not self._state.baseline_confirmed:
            return None
        return baseline.slow_threshold_s(known)


def bounds_of(limits: policy.Limits) -> sample.Bounds:
    """Pick the limit's bounds out of a policy's limits."""
    return sample.Bounds(
        slots=limits.slots,
        start_share=limits.start_share,
        double_s=limits.double_s,
    )
