"""The part of a service's records that one agent keeps."""

from kumquatport.version import members
from kumquatport.version.replication import const, ranking


def agents(
    registry: members.Registry,
    service: str,
    instance: str,
) -> tuple[members.InstanceRecord, ...]:
    """Return the agents that an agent should know, itself left out.

    All of them, or in a large service those with the highest scores.

    Args:
        registry: Of the observer.
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
    """Return a digest of the agents of a service that a process knows."""
    if not service:
        return 0
    if registry.agent_count(service) <= const.MAX_SUBSET_RECORDS:
        return registry.service_digest(service)
    kept = agents(registry, service, instance)
    total = 0
    for record in kept:
        total ^= members.fingerprint(record)
    return total
