"""Cache of a balancer: the agents that it sends known flows to."""

import typing
from collections import abc

from kumquatport.connection.packets import search

# Minimum idle timeout in seconds of a flow whose end was not seen. After a
# cached flow has expired, the balancer looks its agent up again.
MIN_IDLE_TIMEOUT_S: typing.Final = 20.0

# Shared by all flows that no agent has refused, which are most.
NO_INSTANCES: typing.Final[frozenset[str]] = frozenset()

# Maximum number of cached flows; the least recently used are evicted and looked
# up again.
MAX_FLOWS: typing.Final = 200_000


class CachedFlow:
    """A flow at a balancer.

    Attributes:
        agents: Instances that were offered its opening packet; the last is the
            one in use. ``confirm`` leaves only the one that holds the flow.
        refused_by: Instances that refused its opening packet.
        last_seen_at: Monotonic time in seconds of the last packet.
        acknowledged: Last number that the client acknowledged.
        unrouted_since: Monotonic time in seconds of the first packet for which
            there was no route; None if there was none.
    """

    __slots__ = (
        '_search',
        'acknowledged',
        'agents',
        'last_seen_at',
        'refused_by',
        'unrouted_since',
    )

    def __init__(self, now: float) -> None:
        """Create a flow without an agent.

        Args:
            now: Monotonic time in seconds.
        """
        self.agents: tuple[str, ...] = ()
        self.refused_by = NO_INSTANCES
        self.last_seen_at = now
        self.acknowledged = 0
        self.unrouted_since: float | None = None
        self._search: search.FlowSearch | None = None

    @property
    def search(self) -> search.FlowSearch:
        """Return the search for its agent, started on first use."""
        if self._search is None:
            self._search = search.FlowSearch()
        return self._search

    def is_denied_by(self, agent: str) -> bool:
        """Return whether an agent has denied the flow and lost it since."""
        return (
            self._search is not None
            and agent in self._search.not_holding
            and agent not in self.agents
        )

    def was_questioned(self, agent: str) -> bool:
        """Return whether an agent was asked about the flow by its key."""
        return self._search is not None and agent in self._search.questions

    def confirm(self, agent: str) -> None:
        """Set the agent that holds the flow and end the search for it."""
        self.agents = (agent,)
        self._search = None


class FlowCache:
    """The flows of one balancer, least recently used first."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._flows: dict[bytes, CachedFlow] = {}

    def __len__(self) -> int:
        """Return the number of cached flows."""
        return len(self._flows)

    def get(self, flow: bytes) -> CachedFlow | None:
        """Return a cached flow, None if it is not cached."""
        return self._flows.get(flow)

    def touch(self, flow: bytes, now: float) -> CachedFlow:
        """Return a flow, added if missing, as the most recently used.

        Args:
            flow: Key of the flow.
            now: Monotonic time in seconds.
        """
        cached = self._flows.pop(flow, None)
        if cached is None:
            cached = CachedFlow(now)
            self._evict_if_full()
        cached.last_seen_at = now
        self._flows[flow] = cached
        return cached

    def remove(self, flow: bytes) -> None:
        """Remove a flow if it is cached."""
        self._flows.pop(flow, None)

    def flows_of_agent(self, instance: str) -> list[bytes]:
        """Return the flows whose packets go to an agent alone."""
        return [
            flow
            for flow, cached in self._flows.items()
            if cached.agents == (instance,)
        ]

    def sole_agents(self) -> abc.Iterator[tuple[bytes, str]]:
        """Yield the flows whose packets go to one agent alone, and the agent."""
        for flow, cached in self._flows.items():
            if len(cached.agents) == 1:
                yield flow, cached.agents[0]

    def expire(self, now: float, idle_s: float) -> int:
        """Remove idle flows.

        Args:
            now: Monotonic time in seconds.
            idle_s: Idle timeout in seconds, raised to ``MIN_IDLE_TIMEOUT_S``.

        Returns:
            Number of removed flows.
        """
        timeout_s = max(idle_s, MIN_IDLE_TIMEOUT_S)
        due = list(self._idle_since(now - timeout_s))
        for flow in due:
            self._flows.pop(flow)
        return len(due)

    def _idle_since(self, moment: float) -> abc.Iterator[bytes]:
        for flow, cached in self._flows.items():
            if cached.last_seen_at > moment:
                return
            yield flow

    def _evict_if_full(self) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._flows.pop(next(iter(self._flows)))
