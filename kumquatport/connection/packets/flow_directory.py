"""Directory of flow locations that a balancer keeps as a registrar."""

import itertools
import typing
from collections import abc

import xxhash

from kumquatport.helpers import clock

# Maximum number of flows; the oldest are evicted. At the designed size each
# balancer keeps about 720,000 flows in 72 MB.
MAX_FLOWS: typing.Final = 800_000

# Seconds after which a flow that another balancer handed over is removed unless
# its agent has registered it. By then a balancer that did not come back has
# expired, and an agent that restarted has met the packets of its flows.
ADOPTED_S: typing.Final = 180.0


class FlowDirectory:
    """Maps flows to the agents that registered them."""

    def __init__(self) -> None:
        """Create an empty directory."""
        # Keyed by a digest: the full flow key would take three times the
        # memory. A collision is harmless, since an agent that does not hold a
        # flow returns its packets.
        self._agents: dict[int, str] = {}
        self._adopted_at: dict[int, float] = {}

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
            self._adopted_at.pop(key, None)
            if len(self._agents) >= MAX_FLOWS:
                self._evict_oldest()
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
                self._adopted_at.pop(key, None)

    def adopt(self, digests: abc.Iterable[int], instance: str) -> list[int]:
        """Record flows that another balancer has handed over.

        They replace and evict no flow that an agent has registered here.

        Args:
            digests: Digests of their keys.
            instance: Name of the agent.

        Returns:
            Digests of those that were not known.
        """
        now = clock.now()
        free = max(MAX_FLOWS - len(self._agents), 0)
        unknown = [
            digest
            for digest in dict.fromkeys(digests)
            if digest not in self._agents
        ][:free]
        self._agents.update(dict.fromkeys(unknown, instance))
        self._adopted_at.update(dict.fromkeys(unknown, now))
        return unknown

    def expire(self) -> None:
        """Remove flows that were handed over long ago."""
        before = clock.now() - ADOPTED_S
        due = itertools.takewhile(
            lambda digest: self._adopted_at[digest] <= before, self._adopted_at
        )
        for digest in tuple(due):
            self._adopted_at.pop(digest)
            self._agents.pop(digest, None)

    def find(self, flow: bytes) -> str:
        """Return the name of the agent that holds a flow, empty if unknown."""
        return self.find_digest(xxhash.xxh64_intdigest(flow))

    def find_digest(self, digest: int) -> str:
        """Return the name of the agent that holds a flow, empty if unknown."""
        return self._agents.get(digest, '')

    def digests(self) -> tuple[int, ...]:
        """Return the digests of all flows, the oldest first."""
        return tuple(self._agents)

    def _evict_oldest(self) -> None:
        oldest = next(iter(self._agents))
        self._agents.pop(oldest)
        self._adopted_at.pop(oldest, None)
