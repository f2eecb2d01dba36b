"""Where a balancer sends the packets of the flows it has seen."""

import typing
from collections import abc

# Seconds after which a flow whose end was not seen is forgotten when no
# packet comes; a balancer that forgot asks the agents again.
MIN_IDLE_S: typing.Final = 20.0

# Seconds for a registrar's answer: some times the way to another region.
ANSWER_S: typing.Final = 0.1

# Sets of names are mostly empty, and share one.
NOBODY: typing.Final[frozenset[str]] = frozenset()

# Flows remembered at most; beyond it the oldest are asked for again.
MAX_FLOWS: typing.Final = 200_000


class Placed:
    """A flow at a balancer.

    Attributes:
        agents: Instances that were offered its opening packet; the last is
            the one used. One when it is settled.
        is_settled: Whether an agent has said that it holds the flow, or it
            was the only one offered.
        missing: Instances that do not hold it.
        refused: Instances that turned its opening packet away.
        seen_at: Monotonic seconds of the last packet.
        tests: Monotonic seconds of deliveries that only tested.
        acknowledged: What the client acknowledged last.
        unknown_to: Registrars that do not know the flow, or did not answer.
        asked: The registrar that is being asked, empty for none.
        asked_at: Monotonic seconds when it was asked first.
    """

    __slots__ = (
        'acknowledged',
        'agents',
        'asked',
        'asked_at',
        'is_settled',
        'missing',
        'refused',
        'seen_at',
        'tests',
        'unknown_to',
    )

    def __init__(self, now: float) -> None:
        """Start with no agent.

        Args:
            now: Monotonic seconds.
        """
        self.agents: tuple[str, ...] = ()
        self.is_settled = False
        self.missing = NOBODY
        self.refused = NOBODY
        self.seen_at = now
        self.tests: tuple[float, ...] = ()
        self.acknowledged = 0
        self.unknown_to = NOBODY
        self.asked = ''
        self.asked_at: float = 0

    def next_registrar(self, names: abc.Iterable[str], now: float) -> str:
        """Return the registrar to ask about the flow, empty if none is left.

        Args:
            names: Registrars that are heard, the first one first.
            now: Monotonic seconds.
        """
        if self.asked and now - self.asked_at > ANSWER_S:
            self.unknown_to |= {self.asked}
        for name in names:
            if name not in self.unknown_to:
                if name != self.asked:
                    self.asked = name
                    self.asked_at = now
                return name
        return ''

    def settle(self, instance: str) -> None:
        """Note the agent that holds the flow."""
        self.agents = (instance,)
        self.is_settled = True
        self.missing = NOBODY
        self.unknown_to = NOBODY
        self.asked = ''


class PlacedFlows:
    """The flows of one balancer, oldest packet first."""

    def __init__(self) -> None:
        """Start without flows."""
        self._flows: dict[bytes, Placed] = {}

    def __len__(self) -> int:
        """Return how many flows are remembered."""
        return len(self._flows)

    def get(self, flow: bytes) -> Placed | None:
        """Return what is known of a flow."""
        return self._flows.get(flow)

    def touch(self, flow: bytes, now: float) -> Placed:
        """Return the flow, new or known, as the most recently used."""
        placed = self._flows.pop(flow, None)
        if placed is None:
            placed = Placed(now)
            self._make_room()
        placed.seen_at = now
        self._flows[flow] = placed
        return placed

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        self._flows.pop(flow, None)

    def of_agent(self, instance: str) -> list[bytes]:
        """Return the settled flows of an agent."""
        return [
            flow
            for flow, placed in self._flows.items()
            if placed.is_settled and placed.agents == (instance,)
        ]

    def expire(self, now: float, idle_s: float) -> int:
        """Forget flows without packets; return how many."""
        kept_s = max(idle_s, MIN_IDLE_S)
        due = list(self._idle_since(now - kept_s))
        for flow in due:
            self._flows.pop(flow)
        return len(due)

    def _idle_since(self, moment: float) -> abc.Iterator[bytes]:
        for flow, placed in self._flows.items():
            if placed.seen_at > moment:
                return
            yield flow

    def _make_room(self) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._flows.pop(next(iter(self._flows)))
