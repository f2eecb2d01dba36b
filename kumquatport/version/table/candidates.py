"""Selects the agents that are eligible for new flows."""

from collections import abc

from kumquatport.version.members import const as members_const
from kumquatport.version.members import record as records
from kumquatport.version.table import rendezvous


def select_candidates(
    agents: abc.Iterable[records.InstanceRecord],
    domains_out: abc.Container[str],
    domain_weights: abc.Mapping[str, float],
) -> tuple[rendezvous.Candidate, ...]:
    """Return a candidate for each ready agent outside the excluded domains.

    Args:
        agents: Records of the agents of one service.
        domains_out: Names of the failure domains that are taken out.
        domain_weights: Weights of failure domains from the rules, 0 to 1;
            missing ones count as 1.

    Returns:
        Candidates weighted by the agent's own weight times the rule's.
    """
    return tuple(
        rendezvous.Candidate(
            instance=agent.instance,
            failure_domain=agent.failure_domain,
            address=agent.address,
            data_port=agent.data_port,
            weight=agent.weight * domain_weights.get(agent.failure_domain, 1),
        )
        for agent in agents
        if agent.state == members_const.STATE_READY
        and agent.failure_domain not in domains_out
    )
