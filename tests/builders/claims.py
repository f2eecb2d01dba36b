"""Agents of one service that replicate claims over a lossy network."""

import asyncio
import random
import time
import typing

from kumquatport import exceptions
from kumquatport.connection.quic import stream
from kumquatport.request.idempotency import (
    const,
    coordinator,
    messages,
    replica,
    roster,
    roster_manager,
)

SERVICE = 'desk'
DOMAINS = ('duluth', 'kenosha', 'saginaw')
KEY = b'key'
# A handover between responsive agents takes a few rounds of requests, which
# are slow on a busy host.
HANDOVER_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01


class Agent(typing.NamedTuple):
    """Components of one agent."""

    replica: replica.Replica
    rosters: roster_manager.RosterManager
    coordinator: coordinator.Coordinator
    failure_domain: str


class Service:
    """Runs agents of one service; requests and replies may be lost."""

    def __init__(self, initial_agents: int, seed: int, loss: float = 0) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.agents: dict[str, Agent] = {}
        self.roster = roster.NO_ROSTER
        self.counts: dict[str, int] = {}
        self._incarnation = 0
        self._initial_agents = initial_agents

    async def async_start(self) -> None:
        for number in range(self._initial_agents):
            await self.async_join(f'agent-{number}')

    async def async_stop(self) -> None:
        for name in tuple(self.agents):
            await self.async_kill(name)

    async def async_join(self, name: str) -> None:
        self._incarnation += 1
        own = roster.ReplicaId(name, self._incarnation, name)
        local = replica.Replica(own, self._async_request, self._count)
        dependencies = roster_manager.Dependencies(
            SERVICE,
            lambda: (),
            lambda _instance: None,
            lambda: (),
            typing.cast(typing.Any, None),
            self._async_request,
        )
        rosters = roster_manager.RosterManager(dependencies, local)
        claim_coordinator = coordinator.Coordinator(
            SERVICE,
            rosters,
            local,
            self._async_request,
            self._count,
        )
        domain = DOMAINS[int(name[-1]) % len(DOMAINS)]
        self.agents[name] = Agent(local, rosters, claim_coordinator, domain)
        await local.start()
        rosters.adopt_if_newer(self.roster)

    async def async_kill(self, name: str) -> None:
        agent = self.agents.pop(name)
        await agent.replica.stop()

    def change_roster(self, *, may_lose_claims: bool = False) -> bool:
        """Adopt a roster for the running agents; return whether it changed."""
        candidates = [
            roster.Candidate(agent.replica.replica_id, agent.failure_domain)
            for agent in self.agents.values()
        ]
        stalled_slots = frozenset().union(
            *(agent.replica.stalled_slots for agent in self.agents.values()),
        )
        requirements = roster.Requirements(
            candidates, time.time(), may_lose_claims, stalled_slots
        )
        proposed = roster.propose(self.roster, SERVICE, requirements)
        if proposed is None:
            return False
        self.roster = proposed
        return True

    def distribute_roster(self, share: float = 1) -> None:
        """Send the roster to a random share of the agents."""
        for agent in self.agents.values():
            if self.random.random() < share:
                agent.rosters.adopt_if_newer(self.roster)

    async def async_wait_handover(self) -> None:
        """Wait until the claims of all slots have been handed over."""
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            while any(
                agent.replica.is_taking_over for agent in self.agents.values()
            ):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def async_claim(self, name: str, key: str) -> typing.Any:
        deadline_at = asyncio.get_running_loop().time() + 2
        agent = self.agents[name]
        return await agent.coordinator.async_claim(head(key), deadline_at)

    def _count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount

    async def _async_request(
        self,
        endpoint: str,
        message: typing.Any,
        timeout: float,
    ) -> typing.Any:
        await asyncio.sleep(self.random.random() / 500)
        self._maybe_drop()
        agent = self.agents.get(endpoint)
        if agent is None:
            raise exceptions.PeerUnavailableError(endpoint)
        handlers = {
            messages.Claim: agent.replica.async_claim,
            messages.Settle: agent.replica.async_settle,
            messages.Seal: agent.replica.async_seal,
            messages.RosterAsk: agent.rosters.async_handle_query,
        }
        reply = await handlers[type(message)](message)
        self._maybe_drop()
        return reply

    def _maybe_drop(self) -> None:
        if self.random.random() < self.loss:
            raise exceptions.PeerUnavailableError('lost')


def head(key: str, path: str = '/orders') -> stream.RequestHead:
    """Build the head of an order with an idempotency key."""
    headers = (('idempotency-key', key), ('x-client-account', 'guild'))
    return stream.RequestHead('POST', path, 'desk', headers, 1)


def claim(attempt: bytes, key: bytes = KEY, epoch: int = 1) -> messages.Claim:
    """Build a claim of a key in slot 0."""
    claimant = messages.Claimant('agent-0', 'agent-0', attempt)
    return messages.Claim(0, epoch, key, b'request', claimant)


def settle(attempt: bytes, state: str, answer: bytes = b'') -> messages.Settle:
    """Build the result of an attempt at the key in slot 0."""
    return messages.Settle(0, 1, KEY, attempt, state, answer)


class Replicas:
    """Replicas named by their endpoints, on a network without losses."""

    def __init__(self, *names: str) -> None:
        self.replicas = {
            name: replica.Replica(
                roster.ReplicaId(name, 1, name),
                self._async_request,
                _ignore_count,
            )
            for name in names
        }

    def generation(
        self, epoch: int, *names: str, lost_at: float = 0
    ) -> roster.Generation:
        replicas = tuple(self.replicas[name].replica_id for name in names)
        return roster.Generation(epoch, replicas, lost_at)

    def adopt(self, name: str, *generations: roster.Generation) -> None:
        epoch = generations[0].epoch
        self.replicas[name].adopt(roster.Roster(SERVICE, epoch, (generations,)))

    async def async_claim(
        self, name: str, epoch: int, attempt: bytes = b'one'
    ) -> str:
        reply = await self.replicas[name].async_claim(
            claim(attempt, epoch=epoch)
        )
        return reply.verdict

    async def async_fill(self, name: str, epoch: int) -> None:
        for number in range(const.MAX_ENTRIES_PER_SLOT):
            filler = claim(b'filler', number.to_bytes(4, 'big'), epoch)
            await self.replicas[name].async_claim(filler)

    async def async_stop(self) -> None:
        for stopped in self.replicas.values():
            await stopped.stop()

    async def _async_request(
        self, endpoint: str, message: typing.Any, timeout: float
    ) -> typing.Any:
        return await self.replicas[endpoint].async_seal(message)


def _ignore_count(name: str) -> None:
    """Discard a counter update."""
