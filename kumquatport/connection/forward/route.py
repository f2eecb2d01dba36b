"""Routing of callers' packets, decided packet by packet."""

import typing
from collections import abc

import xxhash

from kumquatport import exceptions
from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import header
from kumquatport.connection.quic import const as quic_const
from kumquatport.connection.quic import invariants
from kumquatport.helpers import tags

Candidates = abc.Callable[[int, int], tuple[header.Endpoint, ...]]


class KnownDomains(typing.NamedTuple):
    """Tags of the failure domains in the document in force.

    Attributes:
        active: Tags of the failure domains that receive packets.
        out: Tags of the failure domains that operators have taken out.
    """

    active: frozenset[int]
    out: frozenset[int]


class Decision(typing.NamedTuple):
    """Routing decision for a packet.

    Attributes:
        endpoint: Agent that receives the packet; None if it is dropped.
        reason: Name of the event to count: why the packet is dropped, or how it
            was routed.
        is_lost: Whether the caller must be informed that its flow is lost.
    """

    endpoint: header.Endpoint | None
    reason: str
    is_lost: bool = False


_NOT_QUIC = Decision(None, 'dropped.not_quic')
_SHORT_OPENING = Decision(None, 'dropped.short_opening')
_FOREIGN_CONNECTION = Decision(None, 'dropped.foreign_connection')
_NO_AGENT = Decision(None, 'dropped.no_agent')
_DOMAIN_OUT = Decision(None, 'dropped.domain_out', is_lost=True)

Route = abc.Callable[[memoryview, header.Endpoint], Decision]


def flow_hash(caller: header.Endpoint, service_tag: int) -> int:
    """Return the 64-bit hash that selects the agent for opening packets."""
    text = f'{caller[0]}:{caller[1]}'
    return xxhash.xxh64_intdigest(text.encode(), seed=service_tag)


def make_known_domains(domains: abc.Iterable[tuple[str, bool]]) -> KnownDomains:
    """Group failure domains, given as name and whether out, by their state."""
    named = [(tags.failure_domain_tag(name), out) for name, out in domains]
    return KnownDomains(
        active=frozenset(tag for tag, out in named if not out),
        out=frozenset(tag for tag, out in named if out),
    )


def make_route(
    service_tag: int,
    decode: codec.Decode,
    known: abc.Callable[[], KnownDomains],
    candidates: Candidates,
) -> Route:
    """Return a function that routes the packets of one service.

    Args:
        service_tag: Tag of the service.
        decode: Decodes connection IDs.
        known: Returns the failure domains of the document in force.
        candidates: Returns the agents for a flow hash, best first, at most as
            many as asked for.

    Returns:
        A function from packet and caller to the decision.
    """
    established = _make_established(known)
    opening = _make_opening(service_tag, candidates)

    def route(packet: memoryview, caller: header.Endpoint) -> Decision:
        target = invariants.destination(packet)
        if not target.connection_id:
            return _NOT_QUIC
        try:
            holder = decode(target.connection_id)
        except exceptions.ConnectionIdError:
            holder = codec.NO_HOLDER
        if holder.service_tag == service_tag:
            return established(holder)
        return (
            opening(packet, caller) if target.is_long else _FOREIGN_CONNECTION
        )

    return route


def _make_established(
    known: abc.Callable[[], KnownDomains],
) -> abc.Callable[[codec.Holder], Decision]:
    endpoint_of = _make_endpoints()

    def established(holder: codec.Holder) -> Decision:
        domains = known()
        if holder.domain_tag in domains.active:
            endpoint = endpoint_of(holder.packed_address, holder.port)
            return Decision(endpoint, 'established')
        if holder.domain_tag in domains.out:
            return _DOMAIN_OUT
        return _FOREIGN_CONNECTION

    return established


def _make_opening(
    service_tag: int,
    candidates: Candidates,
) -> abc.Callable[[memoryview, header.Endpoint], Decision]:
    def opening(packet: memoryview, caller: header.Endpoint) -> Decision:
        if len(packet) < quic_const.MIN_OPENING_BYTES:
            return _SHORT_OPENING
        found = candidates(flow_hash(caller, service_tag), 1)
        if not found:
            return _NO_AGENT
        return Decision(found[0], 'opening')

    return opening


def _make_endpoints() -> abc.Callable[[bytes, int], header.Endpoint]:
    """Return a function that converts packed addresses to endpoints.

    It caches one endpoint per agent, not per flow.
    """
    cache: dict[tuple[bytes, int], header.Endpoint] = {}

    def endpoint_of(packed_address: bytes, port: int) -> header.Endpoint:
        endpoint = cache.get((packed_address, port))
        if endpoint is None:
            endpoint = ('.'.join(map(str, packed_address)), port)
            cache[packed_address, port] = endpoint
        return endpoint

    return endpoint_of
