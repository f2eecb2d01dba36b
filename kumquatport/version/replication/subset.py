"""Deterministic subset of a service's records that one agent stores."""

from kumquatport.version import members
from kumquatport.version.replication import const, ranking


def agents(
    registry: members.Registry,
    service: str,
    instance: str,
) -> tuple[members.InstanceRecord, ...]:
    """Return the other agents that an agent should know.

    In a service with more than ``MAX_SUBSET_RECORDS`` others, these are the
    ones with the highest scores.

    Args:
        registry: Registry of the observer.
        service: Service of the agent.
        instance: Name of the agent.
    """
    others = {
        record.instance: record
        for record in registry.agents(service)
        if record.instance != instance
    }
    if len(others) <= const.MAX_SUBSET_RECORDS:
        return tuple(others.values())
    names = ranking.rank(instance, others)
    return tuple(others[name] for name in names[: const.MAX_SUBSET_RECORDS])


def digest(registry: members.Registry, service: str, instance: str) -> int:
    """Return the digest of the agents of a service that an agent knows."""
    if not service:
        return 0
    if registry.agent_count(service) <= const.MAX_SUBSET_RECORDS:
        return registry.service_digest(service)
    kept = agents(registry, service, instance)
    total = 0
    for record in kept:
        total ^= members.fingerprint(record)
    return total
