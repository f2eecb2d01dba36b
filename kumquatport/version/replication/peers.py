"""Whom an instance should report to and whom it may ask."""

import random
import typing
from collections import abc

import structlog

from kumquatport.helpers import clock
from kumquatport.version import members
from kumquatport.version.replication import const, process_context, ranking

_LOGGER = structlog.get_logger(__name__)


class Target(typing.NamedTuple):
    """A balancer to report to; the name is empty for a bare endpoint."""

    name: str
    endpoint: str


class Peers:
    """The observers of this instance, and those to avoid for a while."""

    def __init__(
        self,
        context: process_context.ProcessContext,
        now: abc.Callable[[], float] = clock.now,
    ) -> None:
        """Start with the seeds of the settings.

        Args:
            context: Of this process.
            now: Monotonic seconds.
        """
        self._context = context
        self._now = now
        self._avoided: dict[str, float] = {}
        self._listed: dict[str, float] = {}
        self._hints: tuple[str, ...] = ()

    def observers(self) -> list[Target]:
        """Return the observers to report to now, best first.

        They are those with the highest scores among the balancers known; as
        long as none is known that answers, seeds and hints.
        """
        usable = self._usable()
        if usable:
            return usable[: const.OBSERVERS]
        bare = [*self._context.seeds, *self._hints]
        random.shuffle(bare)
        return [Target('', endpoint) for endpoint in bare[: const.OBSERVERS]]

    def replacements(self, failed: abc.Container[str]) -> list[Target]:
        """Return further observers after some did not answer.

        Args:
            failed: Endpoints that were tried.
        """
        rest = [
            target for target in self._usable() if target.endpoint not in failed
        ]
        return rest[: const.OBSERVERS]

    def confirmers(self) -> list[str]:
        """Return endpoints to ask for the document: balancers, then agents."""
        known = self._context.other_balancers()
        picked = process_context.sample_records(known, const.CONFIRM_BALANCERS)
        picked += process_context.sample_records(
            self._agents(), const.CONFIRM_AGENTS
        )
        endpoints = [record.endpoint for record in picked]
        if len(known) < const.CONFIRM_BALANCERS:
            endpoints += self._context.seeds
            endpoints += self._hints
        return list(dict.fromkeys(endpoints))[: const.MAX_HINTS]

    def partition_candidates(self) -> list[str]:
        """Return endpoints of balancers that are not among the live ones."""
        live = {record.endpoint for record in self._context.other_balancers()}
        lapsed = self._context.registry.lapsed_balancers()
        maybe = {
            *(record.endpoint for record in lapsed),
            *self._context.seeds,
            *self._hints,
        }
        return sorted(maybe - live - {self._context.endpoint})

    def mark_unresponsive(self, endpoint: str) -> None:
        """Note that a peer did not answer."""
        self._avoided[endpoint] = self._now() + const.UNRESPONSIVE_PEER_S

    def mark_answered(self, target: Target) -> None:
        """Note that a peer answered."""
        self._avoided.pop(target.endpoint, None)
        if target.name:
            self._listed[target.name] = self._now()

    def add_listed_balancers(
        self,
        listed: abc.Iterable[members.InstanceRecord],
    ) -> None:
        """Take a list of observers from an observer."""
        for record in listed:
            self._context.registry.merge(record)
            self._listed[record.instance] = self._now()

    def prune(self) -> None:
        """Have an agent forget balancers that nobody lists any more."""
        if self._context.is_balancer:
            return
        limit = self._now() - const.OBSERVER_LIST_EXPIRY_S
        for record in self._context.registry.balancers():
            if self._listed.get(record.instance, limit) <= limit:
                self._context.registry.forget(record.instance)
                self._listed.pop(record.instance, None)

    def set_hints(self, endpoints: abc.Iterable[str]) -> None:
        """Take endpoints that may or may not be alive."""
        own = self._context.endpoint
        others = [endpoint for endpoint in endpoints if endpoint != own]
        self._hints = tuple(others[: const.MAX_HINTS])

    def _agents(self) -> list[members.InstanceRecord]:
        registry = self._context.registry
        services = list(registry.services())
        random.shuffle(services)
        found: list[members.InstanceRecord] = []
        for service in services[: const.CONFIRM_AGENTS]:
            found.extend(registry.agents(service))
        return [
            record
            for record in found
            if record.instance != self._context.instance
        ]

    def _usable(self) -> list[Target]:
        """Return the balancers that are not avoided, best first."""
        now = self._now()
        by_name = {
            record.instance: record.endpoint
            for record in self._context.other_balancers()
        }
        return [
            Target(name, by_name[name])
            for name in ranking.rank(self._context.instance, by_name)
            if self._avoided.get(by_name[name], 0) <= now
        ]


def assigned_observers(
    instance: str,
    balancers: abc.Iterable[members.InstanceRecord],
) -> tuple[members.InstanceRecord, ...]:
    """Return the balancers that an instance should report to, and spares."""
    by_name = {record.instance: record for record in balancers}
    by_name.pop(instance, None)
    names = ranking.rank(instance, by_name)
    count = const.OBSERVERS + const.SPARE_OBSERVERS
    return tuple(by_name[name] for name in names[:count])
