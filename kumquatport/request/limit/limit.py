"""The limit on requests in progress at one backend server."""

from collections import abc

import structlog

from kumquatport.request import policy
from kumquatport.request.limit import baseline, gradient, sample

_LOGGER = structlog.get_logger(__name__)


class ConcurrencyLimit:
    """Applies a step function to its state for each sample."""

    def __init__(
        self,
        bounds: sample.Bounds,
        clock: abc.Callable[[], float],
        step: sample.Step = gradient.step,
    ) -> None:
        """Start at the initial limit of a slow start.

        Args:
            bounds: Bounds from the current document.
            clock: Returns monotonic seconds.
            step: Returns the state after a sample.
        """
        self._bounds = bounds
        self._clock = clock
        self._step = step
        self._state = sample.initial_state(bounds, clock())

    @property
    def value(self) -> float:
        """Maximum number of requests in progress, at least one."""
        return self._state.value

    @property
    def slot_share(self) -> float:
        """The limit as a share of the slots, 0 to 1."""
        return min(self._state.value / self._bounds.slots, 1)

    @property
    def state(self) -> sample.State:
        """State of the step function, for status and tests."""
        return self._state

    def configure(self, bounds: sample.Bounds) -> None:
        """Apply the bounds of a new document."""
        self._bounds = bounds
        value = min(self._state.value, bounds.slots)
        self._state = self._state._replace(value=value)

    def observe(self, observed: sample.Sample) -> None:
        """Adjust the limit by the result of one attempt."""
        before = self._state
        self._state = self._step(before, observed, self._bounds)
        restarted = self._state.restarted_at > before.restarted_at
        if restarted and before.value > self._bounds.initial_limit:
            _LOGGER.warning(
                'Slow start restarted',
                result=observed.result.value,
                latency_s=round(observed.latency_s, 4),
                before=round(before.value, 2),
            )

    def slow_threshold_s(self, class_name: str) -> float | None:
        """Return the age at which a request counts as slow, in seconds.

        None while the class has no confirmed baseline.
        """
        class_baseline = self._state.baselines.get(class_name)
        if class_baseline is None or not self._state.baseline_confirmed:
            return None
        return baseline.slow_threshold_s(class_baseline)


def bounds_of(limits: policy.Limits) -> sample.Bounds:
    """Return the bounds of the concurrency limit from a policy's limits."""
    return sample.Bounds(
        slots=limits.slots,
        start_share=limits.start_share,
        double_s=limits.double_s,
    )
