"""Search of a balancer for the agent that holds a flow.

Registrars are asked first, then the agents that are likely to hold the flow,
then all other agents of the service.
"""

import itertools
import typing
from collections import abc

# Seconds to wait for an answer: several times the delay to another region.
ANSWER_TIMEOUT_S: typing.Final = 0.1

# Agents that are asked before all others. Placement samples the first few in
# the same order, some of which may have been full or gone.
LIKELY_AGENTS: typing.Final = 8


class FlowSearch:
    """Progress of the search for the agent of one flow.

    Attributes:
        not_holding: Agents that do not hold the flow.
        unknown_to: Registrars that do not know the flow or did not answer.
        locations: Addresses without a known instance that registrars have
            named as the holder's, by registrar.
        has_asked_all: Whether all agents have been asked.
        waits_until: Monotonic time in seconds until which answers are awaited
            and further packets of the flow ask nobody.
        asked_with: Identity of the packet that was last sent to each agent.
        questions: Number of questions without the packet to each agent.
    """

    __slots__ = (
        '_asked_at',
        '_asked_registrar',
        '_likely_until',
        '_probe_times',
        'asked_with',
        'has_asked_all',
        'locations',
        'not_holding',
        'questions',
        'unknown_to',
        'waits_until',
    )

    def __init__(self) -> None:
        """Create a search that has not asked any instance yet."""
        self.not_holding: set[str] = set()
        self.unknown_to: set[str] = set()
        self.locations: dict[str, str] = {}
        self.has_asked_all = False
        self.waits_until: float = 0
        self.asked_with: dict[str, tuple[int, int, int]] = {}
        self.questions: dict[str, int] = {}
        self._asked_registrar = ''
        self._asked_at: float = 0
        self._likely_until: float = 0
        self._probe_times: list[float] = []

    def next_registrar(self, names: abc.Iterable[str], now: float) -> str:
        """Return the registrar to ask, empty if none is left.

        Args:
            names: Live registrars, in order of preference.
            now: Monotonic time in seconds.
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

    def ask_registrars_again(self) -> None:
        """Ask those that have named a holder whether they still do."""
        self.unknown_to.difference_update(self.locations)
        self._asked_registrar = ''

    def next_agents(
        self, holders: abc.Set[str], order: abc.Iterable[str], now: float
    ) -> list[str]:
        """Return the agents to ask now, none if no agent holds the flow.

        Args:
            holders: Agents that may hold the flow.
            order: Agents in the order in which placement considered them.
            now: Monotonic time in seconds.
        """
        remaining = holders - self.not_holding
        likely = list(_likely(remaining, order))
        if not self._likely_until:
            self._likely_until = now + ANSWER_TIMEOUT_S
        if likely and now < self._likely_until:
            return likely
        self.has_asked_all = True
        return sorted(remaining)

    def should_ask_all(
        self, holders: abc.Set[str], order: abc.Iterable[str]
    ) -> bool:
        """Return whether it is time to ask all other agents.

        True once none of the likely agents holds the flow, until all agents
        have been asked.

        Args:
            holders: Agents that may hold the flow.
            order: Agents in the order in which placement considered them.
        """
        likely = _likely(holders, order)
        return not self.has_asked_all and self.not_holding.issuperset(likely)

    def count_probes(self, since: float) -> int:
        """Return the number of probes since a moment, and forget older ones.

        Args:
            since: Monotonic time in seconds.
        """
        self._probe_times = [
            moment for moment in self._probe_times if moment > since
        ]
        return len(self._probe_times)

    def record_probe(self, now: float) -> None:
        """Record a packet that is delivered to probe for the flow.

        Args:
            now: Monotonic time in seconds.
        """
        self._probe_times.append(now)


def _likely(
    holders: abc.Set[str], order: abc.Iterable[str]
) -> abc.Iterator[str]:
    first = itertools.islice(order, LIKELY_AGENTS)
    return (name for name in first if name in holders)
