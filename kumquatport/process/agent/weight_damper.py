"""Damping of the weight that an agent announces.

Every announcement is sent to every balancer of the region, while the agent
itself still accepts or passes on each flow. The announced weight is therefore
quantized, and the interval between announcements grows while the weight keeps
changing.
"""

import time
from collections import abc

WEIGHT_STEPS = (0.1, 0.25, 0.5, 1.0)
STEP_UP_RATIO = 0.9
STEP_DOWN_RATIO = 0.5
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 600.0
BACKOFF_FACTOR = 2.0
BACKOFF_RESET_S = 3600.0


class WeightDamper:
    """Decides which weight to announce, and when."""

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic) -> None:
        """Start with no announced weight.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._announced: float | None = None
        self._announced_at: float = 0
        self._interval_s = MIN_INTERVAL_S

    def weight_to_announce(self, weight: float) -> float | None:
        """Return the weight to announce now, or None if none is due.

        A returned weight counts as announced. The first weight, a weight of 0
        and the first weight after 0 are due at once, whatever the interval.

        Args:
            weight: Share of a full load that the agent can take, 0 to 1.
        """
        quantized = self._quantize(weight)
        if quantized == self._announced:
            return None
        is_immediate = quantized == 0 or not self._announced
        if not is_immediate and not self._is_interval_over():
            return None
        self._record_announcement(quantized)
        return quantized

    def _quantize(self, weight: float) -> float:
        """Round a weight to a step, with hysteresis on the way down."""
        if weight <= 0:
            return 0
        announced = self._announced or 0
        reached = [
            step for step in WEIGHT_STEPS if weight >= step * STEP_UP_RATIO
        ]
        step = reached[-1] if reached else WEIGHT_STEPS[0]
        if step < announced and weight >= announced * STEP_DOWN_RATIO:
            return announced
        return step

    def _is_interval_over(self) -> bool:
        return self._clock() - self._announced_at >= self._interval_s

    def _record_announcement(self, quantized: float) -> None:
        now = self._clock()
        next_interval_s = min(self._interval_s * BACKOFF_FACTOR, MAX_INTERVAL_S)
        is_stable = now - self._announced_at > BACKOFF_RESET_S
        self._interval_s = MIN_INTERVAL_S if is_stable else next_interval_s
        self._announced = quantized
        self._announced_at = now
