"""How long requests of each class hold a slot."""

from kumquatport.request.admission import const


class Costs:
    """Moving averages of the slot time of each class, in seconds."""

    def __init__(self) -> None:
        """Begin with nothing learnt."""
        self._costs_s: dict[str, float] = {}

    def expected_s(self, class_name: str) -> float:
        """Return the slot time that a request of the class will take."""
        return self._costs_s.get(class_name, const.FIRST_COST_S)

    def learn(self, class_name: str, used_s: float) -> None:
        """Take in the slot time that a request took."""
        known = self._costs_s.get(class_name)
        if known is None:
            self._costs_s[class_name] = used_s
            return
        change = (used_s - known) * const.COST_WEIGHT
        self._costs_s[class_name] = known + change
