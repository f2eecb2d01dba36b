"""How far the search for the agent of one flow has come."""

import itertools
import typing
from collections import abc

# Seconds for an answer: some times the way to another region.
ANSWER_TIMEOUT_S: typing.Final = 0.1

# Agents that are asked before all others; placement looks at the first few of
# the same order, some of which may have been full or gone.
LIKELY_AGENTS: typing.Final = 8


class FlowSearch:
    """A flow whose agent this balancer does not know.

    Attributes:
        not_holding: Agents that do not hold it.
        unknown_to: Registrars that do not know it, or did not answer.
        has_asked_all: Whether all agents have been asked.
    """

    __slots__ = (
        '_asked_at',
        '_asked_registrar',
        '_likely_until',
        '_probe_times',
        'has_asked_all',
        'not_holding',
        'unknown_to',
    )

    def __init__(self) -> None:
        """Start with nobody asked."""
        self.not_holding: set[str] = set()
        self.unknown_to: set[str] = set()
        self.has_asked_all = False
        self._asked_registrar = ''
        self._asked_at: float = 0
        self._likely_until: float = 0
        self._probe_times: list[float] = []

    def next_registrar(self, names: abc.Iterable[str], now: float) -> str:
        """Return the registrar to ask, empty if none is left.

        Args:
            names: Registrars that are heard, the first one first.
            now: Monotonic seconds.
        """
        if self._asked_registrar and now - self._asked_at > ANSWER_TIMEOUT_S:
            self.unknown_to.add(self._asked_registrar)
        for name in names:
            if name not in self.unknown_to:
                if name != self._asked_registrar:
                    self._asked_registrar = name
                    self._asked_at = now
                return name
        return ''

    def next_agents(
        self, holders: abc.Set[str], order: abc.Iterable[str], now: float
    ) -> list[str]:
        """Return the agents to ask now, none if all have said no.

        Args:
            holders: Agents that may hold the flow.
            order: The order in which placement considered them.
            now: Monotonic seconds.
        """
        left = holders - self.not_holding
        likely = list(_likely(left, order))
        if not self._likely_until:
            self._likely_until = now + ANSWER_TIMEOUT_S
        if likely and now < self._likely_until:
            return likely
        self.has_asked_all = True
        return sorted(left)

    def should_ask_all(
        self, holders: abc.Set[str], order: abc.Iterable[str]
    ) -> bool:
        """Tell whether the likely agents have all said no, just now.

        Args:
            holders: Agents that may hold the flow.
            order: The order in which placement considered them.
        """
        likely = _likely(holders, order)
        return not self.has_asked_all and self.not_holding.issuperset(likely)

    def count_probes(self, since: float) -> int:
        """Return how many deliveries since a moment only tested."""
        self._probe_times = [
            moment for moment in self._probe_times if moment > since
        ]
        return len(self._probe_times)

    def record_probe(self, now: float) -> None:
        """Note a delivery that only tests."""
        self._probe_times.append(now)


def _likely(
    holders: abc.Set[str], order: abc.Iterable[str]
) -> abc.Iterator[str]:
    first = itertools.islice(order, LIKELY_AGENTS)
    return (name for name in first if name in holders)
