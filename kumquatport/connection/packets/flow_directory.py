"""Directory of flow locations that a balancer keeps as a registrar."""

import typing
from collections import abc

import xxhash

# Maximum number of flows; the oldest are evicted. At the designed size each
# balancer keeps about 720,000 flows in 72 MB.
MAX_FLOWS: typing.Final = 800_000


class FlowDirectory:
    """Maps flows to the agents that registered them."""

    def __init__(self) -> None:
        """Create an empty directory."""
        # Keyed by a digest: the full flow key would take three times the
        # memory. A collision is harmless, since an agent that does not hold a
        # flow returns its packets.
        self._agents: dict[int, str] = {}

    def __len__(self) -> int:
        """Return the number of registered flows."""
        return len(self._agents)

    def register(self, flows: abc.Iterable[bytes], instance: str) -> None:
        """Record the agent that holds flows, replacing an earlier one.

        Args:
            flows: Keys of the flows.
            instance: Name of the agent.
        """
        for flow in flows:
            key = xxhash.xxh64_intdigest(flow)
            self._agents.pop(key, None)
            if len(self._agents) >= MAX_FLOWS:
                self._agents.pop(next(iter(self._agents)))
            self._agents[key] = instance

    def unregister(self, flows: abc.Iterable[bytes], instance: str) -> None:
        """Remove flows, except those that another agent has registered since.

        Args:
            flows: Keys of the flows.
            instance: Name of the agent that held them.
        """
        for flow in flows:
            key = xxhash.xxh64_intdigest(flow)
            if self._agents.get(key) == instance:
                self._agents.pop(key)

    def find(self, flow: bytes) -> str:
        """Return the name of the agent that holds a flow, empty if unknown."""
        return self._agents.get(xxhash.xxh64_intdigest(flow), '')
