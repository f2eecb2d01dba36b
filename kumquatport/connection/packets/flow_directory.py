"""The whereabouts of flows that a balancer keeps as their registrar."""

import typing
from collections import abc

import xxhash

# Flows kept at most, the oldest are dropped: at the size designed for each
# balancer keeps some 720,000, in 72 MB.
MAX_FLOWS: typing.Final = 800_000


class FlowDirectory:
    """Which agent holds a flow, by what agents have told."""

    def __init__(self) -> None:
        """Start without flows."""
        # Keyed by a digest: a name would take three times the memory, and an
        # agent that does not hold a flow says so.
        self._agents: dict[int, str] = {}

    def __len__(self) -> int:
        """Return how many flows are known."""
        return len(self._agents)

    def register(self, flows: abc.Iterable[bytes], instance: str) -> None:
        """Keep that an agent holds flows."""
        for flow in flows:
            key = xxhash.xxh64_intdigest(flow)
            self._agents.pop(key, None)
            if len(self._agents) >= MAX_FLOWS:
                self._agents.pop(next(iter(self._agents)))
            self._agents[key] = instance

    def unregister(self, flows: abc.Iterable[bytes], instance: str) -> None:
        """Forget flows, unless another agent holds them by now."""
        for flow in flows:
            key = xxhash.xxh64_intdigest(flow)
            if self._agents.get(key) == instance:
                self._agents.pop(key)

    def find(self, flow: bytes) -> str:
        """Return the agent that holds a flow, empty if none is known."""
        return self._agents.get(xxhash.xxh64_intdigest(flow), '')
