"""Relay tree of configuration changes.

Load pattern: bursts of configuration changes in a deployment of many
instances. If all instances sent changes to all others, the number of messages
would grow quadratically; if one sent them to all others, its network link would
be the bottleneck.
"""

import typing
from collections import abc

from kumquatport.version.replication import ranking

# Balancers to which each balancer relays. Three hops reach five hundred.
FAN_OUT: typing.Final = 8


def receivers(
    own: str,
    origin: str,
    balancers: abc.Sequence[str],
    agents: abc.Sequence[str],
    *,
    is_repeat: bool = False,
) -> list[str]:
    """Return the instances to which a balancer relays a change.

    The balancers form a tree whose root is the one that read the change from
    the store; the agents are divided among them. Two balancers watch the store,
    so each change has two trees, and an agent has a different balancer in each.
    All who hold the change relay it once more, in another tree, and its origin in
    both. Instances that are missed even so learn the change from heartbeats.

    Args:
        own: Balancer that relays the change.
        origin: Balancer that read the change from the store.
        balancers: Names of all balancers, sorted.
        agents: Names of all agents, sorted.
        is_repeat: Whether to take the other tree. Balancers next to each other
            by name often fail together, so its root is half of them away.
    """
    if own not in balancers:
        return []
    start = balancers.index(origin) if origin in balancers else 0
    first = _receivers_in_tree(own, start, balancers, agents)
    if not is_repeat:
        return first
    start = (start + max(len(balancers) // 2, 1)) % len(balancers)
    other = _receivers_in_tree(own, start, balancers, agents)
    # All that the origin has sent may be lost, so that nobody else relays.
    return list({*first, *other}) if own == origin else other


def _receivers_in_tree(
    own: str,
    start: int,
    balancers: abc.Sequence[str],
    agents: abc.Sequence[str],
) -> list[str]:
    tree = [*balancers[start:], *balancers[:start]]
    index = tree.index(own)
    children = ranking.children(tree, index, FAN_OUT)
    return children + list(agents[index :: len(tree)])
