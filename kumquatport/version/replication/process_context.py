"""Context that the replication services of one process share."""

import random
import typing
from collections import abc

from kumquatport.connection.control import client
from kumquatport.version import current as currents
from kumquatport.version import members
from kumquatport.version.replication import contact
from kumquatport.version.replication import freshness as freshnesses


class ReplicatedState(typing.NamedTuple):
    """Replicated state in one process.

    Attributes:
        registry: Known instance records.
        current: Document in force.
        freshness: Whether the document is confirmed recently enough for use.
    """

    registry: members.Registry
    current: currents.CurrentDocument
    freshness: freshnesses.Freshness


class ProcessContext(typing.NamedTuple):
    """State of one process that its replication services read and change.

    Attributes:
        instance: Name of this instance.
        region: Region of this instance.
        endpoint: Control endpoint of this instance.
        is_balancer: Whether it observes others and broadcasts records.
        seeds: Control endpoints from the settings, without its own.
        registry: Known instance records.
        current: Document in force.
        freshness: Whether the document is confirmed recently enough for use.
        client: Sends requests to other processes.
        contact: Time of the platform's latest answer to any process.
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
        """Return the live balancers except this one."""
        return [
            record
            for record in self.registry.balancers()
            if record.instance != self.instance
        ]

    def balancer_names(self) -> list[str]:
        """Return names of live balancers, including this one if it is one."""
        names = [record.instance for record in self.other_balancers()]
        if self.is_balancer:
            names.append(self.instance)
        return names

    def endpoint_of(self, instance: str) -> str | None:
        """Return the control endpoint of an instance, ``None`` if unknown."""
        record = self.registry.get(instance)
        return record.endpoint if record else None


def create_context(
    own: members.InstanceRecord,
    seeds: abc.Iterable[str],
    replicated: ReplicatedState,
    control_client: client.ControlClient,
) -> ProcessContext:
    """Create the context of a process.

    Args:
        own: Its first record.
        seeds: Control endpoints from its settings.
        replicated: Its replicated state.
        control_client: Sends requests to other processes.
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
    """Return up to ``count`` random records."""
    return random.sample(population, min(count, len(population)))
