"""Route tables, their encoding and the deltas between them."""

import typing
from collections import abc

import msgspec
import xxhash

from kumquatport import exceptions
from kumquatport.connection.packets import request_class
from kumquatport.helpers import decoding

# Largest version of a table and revision of the store that is taken for one;
# the wire format has 64 bits for them.
MAX_VERSION: typing.Final = 2**63 - 1


class WeightedService(typing.NamedTuple):
    """A service of a route and its weight for new flows."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """The services that new flows to an address and port are balanced to.

    Attributes:
        address: IPv4 address as an integer.
        port: Port that clients connect to.
        weighted_services: Services that may receive a flow, at least one. If
            the route has terms, an entry that carries them comes first, see
            ``with_terms``.
    """

    address: int
    port: int
    weighted_services: tuple[WeightedService, ...]

    @property
    def request_class(self) -> request_class.RequestClass | None:
        """Return the terms of the requests; None if the route has none."""
        if not self._has_terms:
            return None
        return request_class.decode(self.weighted_services[0].service)

    @property
    def services(self) -> tuple[WeightedService, ...]:
        """Return the services without the entry that carries the terms."""
        if self._has_terms:
            return self.weighted_services[1:]
        return self.weighted_services

    @property
    def _has_terms(self) -> bool:
        first = self.weighted_services[0]
        return (
            first.service.startswith(request_class.ENTRY_PREFIX)
            and len(self.weighted_services) > 1
        )


class ServiceConfig(typing.NamedTuple):
    """Parameters of the backend servers of a service.

    Attributes:
        name: Name of the service.
        warmup_flows_per_s: New flows per second that a backend server can
            accept during its warm-up.
        health_path: HTTP path of the health check.
    """

    name: str
    warmup_flows_per_s: float
    health_path: str


class RouteTable(typing.NamedTuple):
    """All routes of one configuration version.

    Attributes:
        version: Version of the configuration; increases with each change.
        routes: Routes by address and port.
        services: Service parameters by name.
        idle_timeout_s: Time without a packet after which a flow may be
            dropped from the flow tables, in seconds.
    """

    version: int
    routes: abc.Mapping[tuple[int, int], Route]
    services: abc.Mapping[str, ServiceConfig]
    idle_timeout_s: float

    def allows(self, address: int, port: int, service: str) -> bool:
        """Return whether a service may receive new flows of a route."""
        route = self.routes.get((address, port))
        if route is None:
            return False
        return any(
            share.service == service and share.weight > 0
            for share in route.services
        )


class RouteTableDelta(typing.NamedTuple):
    """The difference between a route table and a later one.

    Attributes:
        base_digest: Digest of the encoded table that the delta applies to.
        version: Version of the later table.
        changed: Routes that were added or changed.
        removed: Addresses and ports whose routes were removed.
        services: All services of the later table; None if unchanged.
        idle_timeout_s: Idle timeout of the later table, in seconds.
    """

    base_digest: int
    version: int
    changed: tuple[Route, ...]
    removed: tuple[tuple[int, int], ...]
    services: tuple[ServiceConfig, ...] | None
    idle_timeout_s: float


class _EncodedTable(typing.NamedTuple):
    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfig, ...]
    idle_timeout_s: float


def with_terms(
    services: abc.Iterable[WeightedService],
    terms: request_class.RequestClass | None,
) -> tuple[WeightedService, ...]:
    """Return the services of a route and its terms as one tuple.

    Args:
        services: Services that may receive a flow.
        terms: Terms of the requests; None if the route has none.
    """
    if terms is None:
        return tuple(services)
    return (WeightedService(request_class.encode(terms), 0), *services)


def encode(table: RouteTable) -> bytes:
    """Encode a table for the exchange between instances.

    The encoding is deterministic.
    """
    return msgspec.msgpack.encode(
        _EncodedTable(
            table.version,
            tuple(route for _, route in sorted(table.routes.items())),
            tuple(config for _, config in sorted(table.services.items())),
            table.idle_timeout_s,
        )
    )


def decode(encoded: bytes) -> RouteTable:
    """Decode a table received from another instance.

    Raises:
        DocumentRejectedError: The bytes are not a valid table.
    """
    try:
        decoded = msgspec.msgpack.decode(encoded, type=_EncodedTable)
    except decoding.MALFORMED as error:
        fault = exceptions.Fault('routes', str(error))
        raise exceptions.DocumentRejectedError((fault,)) from error
    return RouteTable(
        decoded.version,
        {(route.address, route.port): route for route in decoded.routes},
        {service.name: service for service in decoded.services},
        decoded.idle_timeout_s,
    )


def digest(encoded: bytes) -> int:
    """Return the digest of an encoded table, the base reference of deltas."""
    return xxhash.xxh64_intdigest(encoded)


def compute_delta(
    base_digest: int, before: RouteTable, after: RouteTable
) -> RouteTableDelta:
    """Return the delta from one table to a later one.

    Args:
        base_digest: Digest of the encoded earlier table.
        before: The earlier table.
        after: The later table.
    """
    return RouteTableDelta(
        base_digest=base_digest,
        version=after.version,
        changed=tuple(
            route
            for key, route in after.routes.items()
            if before.routes.get(key) != route
        ),
        removed=tuple(key for key in before.routes if key not in after.routes),
        services=(
            None
            if before.services == after.services
            else tuple(after.services.values())
        ),
        idle_timeout_s=after.idle_timeout_s,
    )


def apply_delta(before: RouteTable, delta: RouteTableDelta) -> RouteTable:
    """Return the table that results from applying a delta."""
    routes = dict(before.routes)
    for key in delta.removed:
        routes.pop(key, None)
    routes.update(
        {(route.address, route.port): route for route in delta.changed}
    )
    services = before.services
    if delta.services is not None:
        services = {config.name: config for config in delta.services}
    return RouteTable(delta.version, routes, services, delta.idle_timeout_s)
