"""Choice of the agents that may be given new flows."""

from collections import abc

from kumquatport.version.members import const as members_const
from kumquatport.version.members import record as records
from kumquatport.version.table import rendezvous


def select_candidates(
    agents: abc.Iterable[records.InstanceRecord],
    out: abc.Container[str],
    shares: abc.Mapping[str, float],
) -> tuple[rendezvous.Candidate, ...]:
    """Return a candidate for each agent that is ready and not taken out.

    Args:
        agents: Records of the agents of one service.
        out: Names of the failure domains that are taken out.
        shares: Weight that the rules give to a failure domain, 0 to 1;
            1 for those that are not named.

    Returns:
        Candidates whose weight is the agent's own times the rule's.
    """
    return tuple(
        rendezvous.Candidate(
            instance=agent.instance,
            failure_domain=agent.failure_domain,
            address=agent.address,
            data_port=agent.data_port,
            weight=agent.weight * shares.get(agent.failure_domain, 1),
        )
        for agent in agents
        if agent.state == members_const.STATE_READY
        and agent.failure_domain not in out
    )
