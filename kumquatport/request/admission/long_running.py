"""Classes whose requests hold slots for long leave one to the others.

A slow caller that pulls a large answer holds a slot as long as it likes; five
of them would keep all orders out.
"""

import collections

from kumquatport.request.admission import const, costs

_NO_CLASSES: frozenset[str] = frozenset()


class LongRunningClasses:
    """Counts the slots that each class holds."""

    def __init__(self, cost_estimator: costs.CostEstimator) -> None:
        """Begin with none held.

        Args:
            cost_estimator: How long requests of each class hold a slot.
        """
        self._cost_estimator = cost_estimator
        self._slots_held: collections.Counter[str] = collections.Counter()
        self._last_arrival_at: dict[str, float] = {}

    def note_arrival(self, class_name: str, now: float) -> None:
        """Note that the class has work."""
        self._last_arrival_at[class_name] = now

    def note_acquired(self, class_name: str) -> None:
        """Count a slot."""
        self._slots_held[class_name] += 1

    def note_released(self, class_name: str) -> None:
        """Stop counting a slot."""
        self._slots_held[class_name] -= 1

    def blocked_classes(self, slots: int, now: float) -> frozenset[str]:
        """Return the classes that may take no further slot now.

        Args:
            slots: How many may be held at present.
            now: On the handler's clock.
        """
        most = slots - 1
        if not most:
            return _NO_CLASSES
        return frozenset(
            name
            for name, held in self._slots_held.items()
            if held >= most
            and self._is_long_running(name)
            and self._has_competing_class(name, now)
        )

    def _is_long_running(self, class_name: str) -> bool:
        return (
            self._cost_estimator.expected_s(class_name) > const.LONG_RUNNING_S
        )

    def _has_competing_class(self, class_name: str, now: float) -> bool:
        """Tell whether another class has had work lately."""
        return any(
            now - arrived_at < const.RECENT_ARRIVAL_S
            for name, arrived_at in self._last_arrival_at.items()
            if name != class_name
        )
