"""How far the search for the agent of one flow has come."""

import itertools
import typing
from collections import abc

# Seconds for an answer: some times the way to another region.
ANSWER_S: typing.Final = 0.1

# Agents that are asked before all others; placement looks at the first few of
# the same order, some of which may have been full or gone.
LIKELY: typing.Final = 8


class Search:
    """A flow whose agent this balancer does not know.

    Attributes:
        missing: Agents that do not hold it.
        unknown_to: Registrars that do not know it, or did not answer.
        is_wide: Whether all agents have been asked.
    """

    __slots__ = (
        '_asked',
        '_asked_at',
        '_narrow_until',
        '_tests',
        'is_wide',
        'missing',
        'unknown_to',
    )

    def __init__(self) -> None:
        """Start with nobody asked."""
        self.missing: set[str] = set()
        self.unknown_to: set[str] = set()
        self.is_wide = False
        self._asked = ''
        self._asked_at: float = 0
        self._narrow_until: float = 0
        self._tests: list[float] = []

    def next_registrar(self, names: abc.Iterable[str], now: float) -> str:
        """Return the registrar to ask, empty if none is left.

        Args:
            names: Registrars that are heard, the first one first.
            now: Monotonic seconds.
        """
        if self._asked and now - self._asked_at > ANSWER_S:
            self.unknown_to.add(self._asked)
        for name in names:
            if name not in self.unknown_to:
                if name != self._asked:
                    self._asked = name
                    self._asked_at = now
                return name
        return ''

    def agents(
        self, holders: abc.Set[str], order: abc.Iterable[str], now: float
    ) -> list[str]:
        """Return the agents to ask now, none if all have said no.

        Args:
            holders: Agents that may hold the flow.
            order: The order in which placement considered them.
            now: Monotonic seconds.
        """
        left = holders - self.missing
        likely = list(_likely(left, order))
        if not self._narrow_until:
            self._narrow_until = now + ANSWER_S
        if likely and now < self._narrow_until:
            return likely
        self.is_wide = True
        return sorted(left)

    def begins_wide(
        self, holders: abc.Set[str], order: abc.Iterable[str]
    ) -> bool:
        """Tell whether the likely agents have all said no, just now.

        Args:
            holders: Agents that may hold the flow.
            order: The order in which placement considered them.
        """
        likely = _likely(holders, order)
        return not self.is_wide and self.missing.issuperset(likely)

    def tests(self, since: float) -> int:
        """Return how many deliveries since a moment only tested."""
        self._tests = [moment for moment in self._tests if moment > since]
        return len(self._tests)

    def note_test(self, now: float) -> None:
        """Note a delivery that only tests."""
        self._tests.append(now)


def _likely(
    holders: abc.Set[str], order: abc.Iterable[str]
) -> abc.Iterator[str]:
    first = itertools.islice(order, LIKELY)
    return (name for name in first if name in holders)
