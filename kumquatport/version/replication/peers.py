"""Selects the peers that an instance sends heartbeats and requests to."""

import random
import typing
from collections import abc

import structlog

from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.replication import const, process_context, ranking

_LOGGER = structlog.get_logger(__name__)


class Target(typing.NamedTuple):
    """A balancer to send heartbeats to; the name is empty if unknown."""

    name: str
    endpoint: str


class PeerSelector:
    """Selects observers and other peers, avoiding unresponsive ones."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        now: abc.Callable[[], float] = clock.now,
    ) -> None:
        """Initialize without any peers but the seeds.

        Args:
            context: Context of this process.
            now: Monotonic clock in seconds.
        """
        self._context = context
        self._now = now
        self._unresponsive_until: dict[str, float] = {}
        self._listed_at: dict[str, float] = {}
        self._hints: tuple[str, ...] = ()

    def observers(self) -> list[Target]:
        """Return the observers for the next heartbeats, best first.

        These are the known balancers with the highest scores. While no
        responsive balancer is known, seeds and hints are used instead.
        """
        responsive = self._responsive_balancers()
        if responsive:
            return responsive[: const.OBSERVERS]
        endpoints = [*self._context.seeds, *self._hints]
        random.shuffle(endpoints)
        return [
            Target('', endpoint) for endpoint in endpoints[: const.OBSERVERS]
        ]

    def replacements(self, failed: abc.Container[str]) -> list[Target]:
        """Return more observers after some did not answer.

        Args:
            failed: Endpoints that did not answer.
        """
        remaining = [
            target
            for target in self._responsive_balancers()
            if target.endpoint not in failed
        ]
        return remaining[: const.OBSERVERS]

    def confirmers(self) -> list[str]:
        """Return endpoints to confirm the document: balancers, then agents."""
        balancers = self._context.other_balancers()
        chosen = process_context.sample_records(
            balancers, const.CONFIRM_BALANCERS
        )
        chosen += process_context.sample_records(
            self._agents(), const.CONFIRM_AGENTS
        )
        endpoints = [record.endpoint for record in chosen]
        if len(balancers) < const.CONFIRM_BALANCERS:
            endpoints += self._context.seeds
            endpoints += self._hints
        return list(dict.fromkeys(endpoints))[: const.MAX_HINTS]

    def partition_candidates(self) -> list[str]:
        """Return endpoints of balancers that may be partitioned from here.

        They are lapsed balancers, seeds and hints that are not known as live.
        """
        live = {record.endpoint for record in self._context.other_balancers()}
        lapsed = self._context.registry.lapsed_balancers()
        candidates = {
            *(record.endpoint for record in lapsed),
            *self._context.seeds,
            *self._hints,
        }
        return sorted(candidates - live - {self._context.endpoint})

    def mark_unresponsive(self, endpoint: str) -> None:
        """Avoid a peer for a while after it did not answer."""
        self._unresponsive_until[endpoint] = (
            self._now() + const.UNRESPONSIVE_PEER_S
        )

    def mark_answered(self, target: Target) -> None:
        """Stop avoiding a peer after it answered."""
        self._unresponsive_until.pop(target.endpoint, None)
        if target.name:
            self._listed_at[target.name] = self._now()

    def add_listed_balancers(
        self,
        listed: abc.Iterable[members.InstanceRecord],
    ) -> None:
        """Merge balancers that an observer listed."""
        for record in listed:
            self._context.registry.merge(record)
            self._listed_at[record.instance] = self._now()

    def prune(self) -> None:
        """Remove balancers that no observer lists any more, in an agent."""
        if self._context.is_balancer:
            return
        oldest_listed_at = self._now() - const.OBSERVER_LIST_EXPIRY_S
        for record in self._context.registry.balancers():
            if (
                self._listed_at.get(record.instance, oldest_listed_at)
                <= oldest_listed_at
            ):
                self._context.registry.forget(record.instance)
                self._listed_at.pop(record.instance, None)

    def set_hints(self, endpoints: abc.Iterable[str]) -> None:
        """Set endpoints that may belong to live balancers."""
        own = self._context.endpoint
        others = [endpoint for endpoint in endpoints if endpoint != own]
        self._hints = tuple(others[: const.MAX_HINTS])

    def _agents(self) -> list[members.InstanceRecord]:
        registry = self._context.registry
        services = list(registry.services())
        random.shuffle(services)
        known_agents: list[members.InstanceRecord] = []
        for service in services[: const.CONFIRM_AGENTS]:
            known_agents.extend(registry.agents(service))
        return [
            record
            for record in known_agents
            if record.instance != self._context.instance
        ]

    def _responsive_balancers(self) -> list[Target]:
        """Return the balancers that are not avoided, best first."""
        now = self._now()
        by_name = {
            record.instance: record.endpoint
            for record in self._context.other_balancers()
        }
        return [
            Target(name, by_name[name])
            for name in ranking.rank(self._context.instance, by_name)
            if self._unresponsive_until.get(by_name[name], 0) <= now
        ]


def assigned_observers(
    instance: str,
    balancers: abc.Iterable[members.InstanceRecord],
) -> tuple[members.InstanceRecord, ...]:
    """Return the balancers that should observe an instance, plus spares."""
    by_name = {record.instance: record for record in balancers}
    by_name.pop(instance, None)
    names = ranking.rank(instance, by_name)
    count = const.OBSERVERS + const.SPARE_OBSERVERS
    return tuple(by_name[name] for name in names[:count])
