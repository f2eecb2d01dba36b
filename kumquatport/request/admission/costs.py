"""Estimates how long requests of each class hold a slot."""

from kumquatport.request.admission import const


class CostEstimator:
    """Moving averages of the slot time of each class, in seconds."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._averages_s: dict[str, float] = {}

    def expected_s(self, class_name: str) -> float:
        """Return the expected slot time of a request of the class."""
        return self._averages_s.get(class_name, const.INITIAL_COST_S)

    def update(self, class_name: str, used_s: float) -> None:
        """Add the measured slot time of a request to the average."""
        average_s = self._averages_s.get(class_name)
        if average_s is None:
            self._averages_s[class_name] = used_s
            return
        change = (used_s - average_s) * const.COST_EWMA_WEIGHT
        self._averages_s[class_name] = average_s + change
