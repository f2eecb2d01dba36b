"""Ranking of agents for a new flow, without those that refused packets."""

from collections import abc

from kumquatport.connection.forward import header, refused_endpoints, route
from kumquatport.version import table

_EXTRA_CANDIDATES = 4


def make_candidates(
    service: str,
    tables: table.TableCache,
    refused: refused_endpoints.RefusedEndpoints,
) -> route.Candidates:
    """Return a function that ranks a service's agents for a flow.

    Args:
        service: Name of the service.
        tables: Tables of the members' records.
        refused: Agents that refused a packet recently, to be left out.

    Returns:
        A function from flow hash and count to at most that many agents, best
        first.
    """

    def candidates(
        flow_hash: int,
        count: int,
    ) -> tuple[header.Endpoint, ...]:
        wanted = count + _EXTRA_CANDIDATES if refused else count
        ranked = tables.table(service).rank(flow_hash, wanted)
        endpoints = ((one.address, one.data_port) for one in ranked)
        if not refused:
            return tuple(endpoints)
        available = [one for one in endpoints if not refused.is_refused(one)]
        return tuple(available[:count])

    return candidates


def make_next_hop(
    candidates: route.Candidates,
    own: header.Endpoint,
    max_hops: int,
) -> abc.Callable[[int, int], header.Endpoint | None]:
    """Return a function that finds the next hop of a packet.

    Args:
        candidates: Ranks the agents of the service.
        own: Endpoint of this instance, which is never chosen.
        max_hops: Instances that may forward one packet, the balancer included.

    Returns:
        A function from flow hash and hops so far to the next agent, None if
        there is none.
    """

    def next_endpoint(flow_hash: int, hops: int) -> header.Endpoint | None:
        if hops >= max_hops:
            return None
        others = [
            one for one in candidates(flow_hash, max_hops + 1) if one != own
        ]
        # The agent of rank 0 receives the packet after one hop, each next agent
        # after one more. With equal tables a packet therefore never loops.
        rank = max(hops - 1, 0)
        if not others:
            return None
        return others[rank] if rank < len(others) else None

    return next_endpoint
