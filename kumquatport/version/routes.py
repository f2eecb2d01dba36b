"""The routes of one version, and their form between instances."""

import typing
from collections import abc

import msgspec
import xxhash

from kumquatport import exceptions


class WeightedService(typing.NamedTuple):
    """Part of a route's new flows that goes to a service."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where flows to one address and port may open.

    Attributes:
        address: IPv4 address as a number.
        port: Port that clients call.
        weighted_services: Services that may take a flow, at least one.
    """

    address: int
    port: int
    weighted_services: tuple[WeightedService, ...]


class ServiceConfig(typing.NamedTuple):
    """What backend servers of one service bear.

    Attributes:
        name: Name of the service.
        warmup_flows_per_s: New flows a second that a cold backend server bears.
        health_path: HTTP path of its health check.
    """

    name: str
    warmup_flows_per_s: float
    health_path: str


class RouteTable(typing.NamedTuple):
    """All routes of one version.

    Attributes:
        version: Grows with each configuration.
        routes: By address and port.
        services: By name.
        idle_timeout_s: Seconds without a packet after which a flow may be
            forgotten.
    """

    version: int
    routes: abc.Mapping[tuple[int, int], Route]
    services: abc.Mapping[str, ServiceConfig]
    idle_timeout_s: float

    def allows(self, address: int, port: int, service: str) -> bool:
        """Tell whether a service may take new flows of a route."""
        route = self.routes.get((address, port))
        if route is None:
            return False
        return any(
            share.service == service and share.weight > 0
            for share in route.weighted_services
        )


class RouteTableDelta(typing.NamedTuple):
    """What leads from one table to a later one.

    Attributes:
        base_digest: Digest of the encoded table that it applies to.
        version: Of the later table.
        changed: Routes that are new or different.
        removed: Addresses and ports without a route now.
        services: All services of the later table; None if they are the same.
        idle_timeout_s: Of the later table.
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


def encode(table: RouteTable) -> bytes:
    """Return the form in which instances pass a table on.

    Equal tables have equal forms.
    """
    return msgspec.msgpack.encode(
        _EncodedTable(
            table.version,
            tuple(route for _, route in sorted(table.routes.items())),
            tuple(rule for _, rule in sorted(table.services.items())),
            table.idle_timeout_s,
        )
    )


def decode(encoded: bytes) -> RouteTable:
    """Read a table that another instance passed on.

    Raises:
        DocumentRejectedError: The bytes are no table.
    """
    try:
        found = msgspec.msgpack.decode(encoded, type=_EncodedTable)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        fault = exceptions.Fault('routes', str(error))
        raise exceptions.DocumentRejectedError((fault,)) from error
    return RouteTable(
        found.version,
        {(route.address, route.port): route for route in found.routes},
        {service.name: service for service in found.services},
        found.idle_timeout_s,
    )


def digest(encoded: bytes) -> int:
    """Return the digest of an encoded table that changes refer to."""
    return xxhash.xxh64_intdigest(encoded)


def compute_delta(
    base_digest: int, before: RouteTable, after: RouteTable
) -> RouteTableDelta:
    """Return what leads from one table to another.

    Args:
        base_digest: Digest of the earlier one's encoded form.
        before: The earlier one.
        after: The later one.
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
    """Return the table that a change of another leads to."""
    found = dict(before.routes)
    for key in delta.removed:
        found.pop(key, None)
    found.update(
        {(route.address, route.port): route for route in delta.changed}
    )
    services = before.services
    if delta.services is not None:
        services = {rule.name: rule for rule in delta.services}
    return RouteTable(delta.version, found, services, delta.idle_timeout_s)
