"""How often an agent announces the share of work that it wants.

Every announcement reaches every balancer of the region, while the agent itself
admits or passes on each flow. So the announced weight is coarse, and an agent
whose weight keeps changing announces it ever more seldom.
"""

import time
from collections import abc

WEIGHT_STEPS = (0.1, 0.25, 0.5, 1.0)
REACHED_SHARE = 0.9
LOST_SHARE = 0.5
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 600.0
PAUSE_FACTOR = 2.0
QUIET_S = 3600.0


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
        self._pause_s = FIRST_PAUSE_S

    def due(self, weight: float) -> float | None:
        """Return the weight to announce now, nothing if none is due.

        Args:
            weight: Share of full work that is wanted, 0 to 1.
        """
        wanted = self._wanted(weight)
        if wanted == self._announced:
            return None
        is_stop = wanted == 0 or not self._announced
        if not is_stop and not self._has_paused():
            return None
        self._note(wanted)
        return wanted

    def _wanted(self, weight: float) -> float:
        if weight <= 0:
            return 0
        present = self._announced or 0
        reached = [
            step for step in WEIGHT_STEPS if weight >= step * REACHED_SHARE
        ]
        step = reached[-1] if reached else WEIGHT_STEPS[0]
        if step < present and weight >= present * LOST_SHARE:
            return present
        return step

    def _has_paused(self) -> bool:
        return self._clock() - self._announced_at >= self._pause_s

    def _note(self, wanted: float) -> None:
        now = self._clock()
        longer_s = min(self._pause_s * PAUSE_FACTOR, LONGEST_PAUSE_S)
        is_quiet = now - self._announced_at > QUIET_S
        self._pause_s = FIRST_PAUSE_S if is_quiet else longer_s
        self._announced = wanted
        self._announced_at = now
