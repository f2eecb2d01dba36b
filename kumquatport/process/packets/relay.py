"""Who passes a change of beliefs on to whom.

Load pattern: bursts of configuration changes in a deployment of many
instances. If all told all, messages would grow with the square; if one told
all, its link would be the slowest part.
"""

import typing
from collections import abc

from kumquatport.version.replication import ranking

# Balancers that each balancer tells. Three hops reach five hundred.
FAN_OUT: typing.Final = 8


def receivers(
    own: str,
    origin: str,
    balancers: abc.Sequence[str],
    agents: abc.Sequence[str],
) -> list[str]:
    """Return the instances that a balancer tells of a change.

    The balancers form a tree with the one that has the change from the store
    as its root; agents are shared out among them. Two balancers watch the
    store, so that each change has two trees. Whoever is missed, since views
    differ or a balancer on the way is gone, learns from the heartbeats.

    Another root leaves an agent to another balancer.

    Args:
        own: The balancer that passes the change on.
        origin: The balancer that has it from the store.
        balancers: Names of all balancers, sorted.
        agents: Names of all agents, sorted.
    """
    if own not in balancers:
        return []
    start = balancers.index(origin) if origin in balancers else 0
    tree = [*balancers[start:], *balancers[:start]]
    place = tree.index(own)
    below = ranking.children(tree, place, FAN_OUT)
    return below + list(agents[place :: len(tree)])
