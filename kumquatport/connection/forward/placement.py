"""Agents for a new flow, best first, without those just seen to be gone."""

from collections import abc

from kumquatport.connection.forward import header, refused_endpoints, route
from kumquatport.version import table

_SPARE_CANDIDATES = 4


def make_candidates(
    service: str,
    tables: table.TableCache,
    refused: refused_endpoints.RefusedEndpoints,
) -> route.Candidates:
    """Return the function that ranks a service's agents for a flow.

    Args:
        service: Name of the service.
        tables: Tables of the members' records.
        refused: Agents just seen to be gone.

    Returns:
        A function of flow hash and count.
    """

    def candidates(
        flow_hash: int,
        count: int,
    ) -> tuple[header.Endpoint, ...]:
        wanted = count + _SPARE_CANDIDATES if refused else count
        ranked = tables.table(service).rank(flow_hash, wanted)
        endpoints = ((one.address, one.data_port) for one in ranked)
        if not refused:
            return tuple(endpoints)
        able = [one for one in endpoints if not refused.is_refused(one)]
        return tuple(able[:count])

    return candidates


def make_next_hop(
    candidates: route.Candidates,
    own: header.Endpoint,
    max_hops: int,
) -> abc.Callable[[int, int], header.Endpoint | None]:
    """Return the function that finds who comes after this instance.

    Args:
        candidates: Ranks the agents of the service.
        own: Endpoint that is never chosen.
        max_hops: Instances that may pass one packet on, the balancer included.

    Returns:
        A function of flow hash and hops so far, to the next agent or nothing.
    """

    def next_endpoint(flow_hash: int, hops: int) -> header.Endpoint | None:
        if hops >= max_hops:
            return None
        others = [
            one for one in candidates(flow_hash, max_hops + 1) if one != own
        ]
        # The first agent is rank 0 and sees one hop; each next one sees one
        # more, so equal tables never bring a packet back.
        place = max(hops - 1, 0)
        if not others:
            return None
        return others[place] if place < len(others) else None

    return next_endpoint
