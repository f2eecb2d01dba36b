"""Classes whose requests hold slots for long leave one to the others.

A slow caller that pulls a large answer holds a slot as long as it likes; five
of them would keep all orders out.
"""

import collections

from kumquatport.request.admission import const, costs

_NONE: frozenset[str] = frozenset()


class LongClasses:
    """Counts the slots that each class holds."""

    def __init__(self, learnt: costs.Costs) -> None:
        """Begin with none held.

        Args:
            learnt: How long requests of each class hold a slot.
        """
        self._costs = learnt
        self._held: collections.Counter[str] = collections.Counter()
        self._arrived_at: dict[str, float] = {}

    def arrived(self, class_name: str, now: float) -> None:
        """Note that the class has work."""
        self._arrived_at[class_name] = now

    def taken(self, class_name: str) -> None:
        """Count a slot."""
        self._held[class_name] += 1

    def given_back(self, class_name: str) -> None:
        """Stop counting a slot."""
        self._held[class_name] -= 1

    def blocked(self, slots: int, now: float) -> frozenset[str]:
        """Return the classes that may take no further slot now.

        Args:
            slots: How many may be held at present.
            now: On the handler's clock.
        """
        most = slots - 1
        if not most:
            return _NONE
        return frozenset(
            name
            for name, held in self._held.items()
            if held >= most and self._is_long(name) and self._shares(name, now)
        )

    def _is_long(self, class_name: str) -> bool:
        return self._costs.expected_s(class_name) > const.LONG_S

    def _shares(self, class_name: str, now: float) -> bool:
        """Tell whether another class has had work lately."""
        return any(
            now - arrived_at < const.RECENT_S
            for name, arrived_at in self._arrived_at.items()
            if name != class_name
        )
