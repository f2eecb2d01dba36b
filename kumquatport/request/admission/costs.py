"""How long requests of each class hold a slot."""

from kumquatport.request.admission import const


class CostEstimator:
    """Moving averages of the slot time of each class, in seconds."""

    def __init__(self) -> None:
        """Begin with nothing learnt."""
        self._averages_s: dict[str, float] = {}

    def expected_s(self, class_name: str) -> float:
        """Return the slot time that a request of the class will take."""
        return self._averages_s.get(class_name, const.INITIAL_COST_S)

    def update(self, class_name: str, used_s: float) -> None:
        """Take in the slot time that a request took."""
        known = self._averages_s.get(class_name)
        if known is None:
            self._averages_s[class_name] = used_s
            return
        change = (used_s - known) * const.COST_EWMA_WEIGHT
        self._averages_s[class_name] = known + change
