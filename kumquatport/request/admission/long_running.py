"""Reserves one slot for other classes when long-running ones hold the rest.

A slow caller that downloads a large answer holds its slot until it has read
all of it. Without the reserve, as many such callers as there are slots would
block the requests of all other classes.
"""

import collections

from kumquatport.request.admission import const, costs

_NO_CLASSES: frozenset[str] = frozenset()


class LongRunningClasses:
    """Counts the slots that each class holds."""

    def __init__(self, cost_estimator: costs.CostEstimator) -> None:
        """Start without slots held.

        Args:
            cost_estimator: Expected slot time of each class.
        """
        self._cost_estimator = cost_estimator
        self._slots_held: collections.Counter[str] = collections.Counter()
        self._last_arrival_at: dict[str, float] = {}

    def note_arrival(self, class_name: str, now: float) -> None:
        """Note that a request of the class has arrived."""
        self._last_arrival_at[class_name] = now

    def note_acquired(self, class_name: str) -> None:
        """Count a slot acquired by the class."""
        self._slots_held[class_name] += 1

    def note_released(self, class_name: str) -> None:
        """Stop counting a slot that the class has released."""
        self._slots_held[class_name] -= 1

    def blocked_classes(self, slots: int, now: float) -> frozenset[str]:
        """Return the classes that may not acquire another slot now.

        Args:
            slots: Current limit on requests in progress.
            now: Time on the handler's clock, in seconds.
        """
        max_held = slots - 1
        if not max_held:
            return _NO_CLASSES
        return frozenset(
            name
            for name, held in self._slots_held.items()
            if held >= max_held
            and self._is_long_running(name)
            and self._has_competing_class(name, now)
        )

    def _is_long_running(self, class_name: str) -> bool:
        return (
            self._cost_estimator.expected_s(class_name) > const.LONG_RUNNING_S
        )

    def _has_competing_class(self, class_name: str, now: float) -> bool:
        """Return whether another class has had requests recently."""
        return any(
            now - arrived_at < const.RECENT_ARRIVAL_S
            for name, arrived_at in self._last_arrival_at.items()
            if name != class_name
        )
