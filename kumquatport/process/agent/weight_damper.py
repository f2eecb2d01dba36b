"""How often an agent announces the share of work that it wants.

Every announcement reaches every balancer of the region, while the agent itself
admits or passes on each flow. So the announced weight is coarse, and an agent
whose weight keeps changing announces it ever more seldom.
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
        """Start with nothing announced.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._announced: float | None = None
        self._announced_at: float = 0
        self._interval_s = MIN_INTERVAL_S

    def weight_to_announce(self, weight: float) -> float | None:
        """Return the weight to announce now, nothing if none is due.

        Args:
            weight: Share of full work that is wanted, 0 to 1.
        """
        wanted = self._quantize(weight)
        if wanted == self._announced:
            return None
        is_stop = wanted == 0 or not self._announced
        if not is_stop and not self._is_interval_over():
            return None
        self._record_announcement(wanted)
        return wanted

    def _quantize(self, weight: float) -> float:
        if weight <= 0:
            return 0
        present = self._announced or 0
        reached = [
            step for step in WEIGHT_STEPS if weight >= step * STEP_UP_RATIO
        ]
        step = reached[-1] if reached else WEIGHT_STEPS[0]
        if step < present and weight >= present * STEP_DOWN_RATIO:
            return present
        return step

    def _is_interval_over(self) -> bool:
        return self._clock() - self._announced_at >= self._interval_s

    def _record_announcement(self, wanted: float) -> None:
        now = self._clock()
        longer_s = min(self._interval_s * BACKOFF_FACTOR, MAX_INTERVAL_S)
        is_quiet = now - self._announced_at > BACKOFF_RESET_S
        self._interval_s = MIN_INTERVAL_S if is_quiet else longer_s
        self._announced = wanted
        self._announced_at = now
