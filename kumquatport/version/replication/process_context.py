"""What the parts of the spread have in common in one process."""

import random
import typing
from collections import abc

from kumquatport.connection.control import client
from kumquatport.version import current as currents
from kumquatport.version import members
from kumquatport.version.replication import contact
from kumquatport.version.replication import freshness as freshnesses


class ReplicatedState(typing.NamedTuple):
    """What a process holds of the others.

    Attributes:
        registry: Records known.
        current: Document in force.
        freshness: Whether that may be acted on.
    """

    registry: members.Registry
    current: currents.CurrentDocument
    freshness: freshnesses.Freshness


class ProcessContext(typing.NamedTuple):
    """The state of one process that the parts read and change.

    Attributes:
        instance: Name of this instance.
        region: Region of this instance.
        endpoint: Its own control endpoint.
        is_balancer: Whether it observes others and spreads records.
        seeds: Control endpoints from the settings, without its own.
        registry: Records known.
        current: Document in force.
        freshness: Whether that may be acted on.
        client: Asks other processes.
        contact: When the platform last answered anybody.
    """

    instance: str
    region: str
    endpoint: str
    is_balancer: bool
    seeds: tuple[str, ...]
    registry: members.Registry
    current: currents.CurrentDocument
    freshness: freshnesses.Freshness
    client: client.ControlClient
    contact: contact.PlatformContact

    def other_balancers(self) -> list[members.InstanceRecord]:
        """Return the live balancers but this one."""
        return [
            record
            for record in self.registry.balancers()
            if record.instance != self.instance
        ]

    def balancer_names(self) -> list[str]:
        """Return the names of the live balancers, this one too if it is one."""
        names = [record.instance for record in self.other_balancers()]
        if self.is_balancer:
            names.append(self.instance)
        return names

    def endpoint_of(self, instance: str) -> str | None:
        """Return the control endpoint of an instance that is known."""
        record = self.registry.get(instance)
        return record.endpoint if record else None


def create_context(
    own: members.InstanceRecord,
    seeds: abc.Iterable[str],
    replicated: ReplicatedState,
    control_client: client.ControlClient,
) -> ProcessContext:
    """Return the state of a process.

    Args:
        own: Its first record.
        seeds: Control endpoints from its settings.
        replicated: What it holds of the others.
        control_client: Asks other processes.
    """
    return ProcessContext(
        instance=own.instance,
        region=own.region,
        endpoint=own.endpoint,
        is_balancer=own.kind == members.KIND_BALANCER,
        seeds=tuple(seed for seed in seeds if seed != own.endpoint),
        registry=replicated.registry,
        current=replicated.current,
        freshness=replicated.freshness,
        client=control_client,
        contact=contact.PlatformContact(),
    )


def sample_records(
    population: abc.Sequence[members.InstanceRecord],
    count: int,
) -> list[members.InstanceRecord]:
    """Return up to ``count`` records at random."""
    return random.sample(population, min(count, len(population)))
