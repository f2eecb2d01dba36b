"""Where a balancer sends the packets of the flows it has seen."""

import typing
from collections import abc

from kumquatport.connection.packets import search

# Seconds after which a flow whose end was not seen is forgotten when no
# packet comes; a balancer that forgot asks the agents again.
MIN_IDLE_TIMEOUT_S: typing.Final = 20.0

# Most flows are never refused, and share one set.
NO_INSTANCES: typing.Final[frozenset[str]] = frozenset()

# Flows remembered at most; beyond it the oldest are asked for again.
MAX_FLOWS: typing.Final = 200_000


class CachedFlow:
    """A flow at a balancer.

    Attributes:
        agents: Instances that were offered its opening packet; the last is
            the one used. One when it is settled.
        is_confirmed: Whether an agent has said that it holds the flow, or it
            was the only one offered.
        refused_by: Instances that turned its opening packet away.
        last_seen_at: Monotonic seconds of the last packet.
        acknowledged: What the client acknowledged last.
    """

    __slots__ = (
        '_search',
        'acknowledged',
        'agents',
        'is_confirmed',
        'last_seen_at',
        'refused_by',
    )

    def __init__(self, now: float) -> None:
        """Start with no agent.

        Args:
            now: Monotonic seconds.
        """
        self.agents: tuple[str, ...] = ()
        self.is_confirmed = False
        self.refused_by = NO_INSTANCES
        self.last_seen_at = now
        self.acknowledged = 0
        self._search: search.FlowSearch | None = None

    @property
    def search(self) -> search.FlowSearch:
        """Return the search for its agent, begun if there is none."""
        if self._search is None:
            self._search = search.FlowSearch()
        return self._search

    def confirm(self, agent: str) -> None:
        """Note the agent that holds the flow."""
        self.agents = (agent,)
        self.is_confirmed = True
        self._search = None


class FlowCache:
    """The flows of one balancer, oldest packet first."""

    def __init__(self) -> None:
        """Start without flows."""
        self._flows: dict[bytes, CachedFlow] = {}

    def __len__(self) -> int:
        """Return how many flows are remembered."""
        return len(self._flows)

    def get(self, flow: bytes) -> CachedFlow | None:
        """Return what is known of a flow."""
        return self._flows.get(flow)

    def touch(self, flow: bytes, now: float) -> CachedFlow:
        """Return the flow, new or known, as the most recently used."""
        placed = self._flows.pop(flow, None)
        if placed is None:
            placed = CachedFlow(now)
            self._evict_if_full()
        placed.last_seen_at = now
        self._flows[flow] = placed
        return placed

    def remove(self, flow: bytes) -> None:
        """Forget a flow."""
        self._flows.pop(flow, None)

    def flows_of_agent(self, instance: str) -> list[bytes]:
        """Return the settled flows of an agent."""
        return [
            flow
            for flow, placed in self._flows.items()
            if placed.is_confirmed and placed.agents == (instance,)
        ]

    def expire(self, now: float, idle_s: float) -> int:
        """Forget flows without packets; return how many."""
        kept_s = max(idle_s, MIN_IDLE_TIMEOUT_S)
        due = list(self._idle_since(now - kept_s))
        for flow in due:
            self._flows.pop(flow)
        return len(due)

    def _idle_since(self, moment: float) -> abc.Iterator[bytes]:
        for flow, placed in self._flows.items():
            if placed.last_seen_at > moment:
                return
            yield flow

    def _evict_if_full(self) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._flows.pop(next(iter(self._flows)))
