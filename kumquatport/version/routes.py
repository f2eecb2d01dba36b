"""The routes of one version, and their form between instances."""

import typing
from collections import abc

import msgspec
import xxhash

from kumquatport import exceptions


class Share(typing.NamedTuple):
    """Part of a route's new flows that goes to a service."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where flows to one address and port may open.

    Attributes:
        address: IPv4 address as a number.
        port: Port that clients call.
        shares: Services that may take a flow, at least one.
    """

    address: int
    port: int
    shares: tuple[Share, ...]


class ServiceRule(typing.NamedTuple):
    """What backend servers of one service bear.

    Attributes:
        name: Name of the service.
        cold_per_s: New flows a second that a cold backend server bears.
        health_path: HTTP path of its health check.
    """

    name: str
    cold_per_s: float
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
    services: abc.Mapping[str, ServiceRule]
    idle_timeout_s: float

    def allows(self, address: int, port: int, service: str) -> bool:
        """Tell whether a service may take new flows of a route."""
        route = self.routes.get((address, port))
        if route is None:
            return False
        return any(
            share.service == service and share.weight > 0
            for share in route.shares
        )


class Change(typing.NamedTuple):
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
    services: tuple[ServiceRule, ...] | None
    idle_timeout_s: float


class _Encoded(typing.NamedTuple):
    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRule, ...]
    idle_timeout_s: float


def encode(table: RouteTable) -> bytes:
    """Return the form in which instances pass a table on.

    Equal tables have equal forms.
    """
    return msgspec.msgpack.encode(
        _Encoded(
            table.version,
            tuple(route for _, route in sorted(table.routes.items())),
            tuple(rule for _, rule in sorted(table.services.items())),
            table.idle_timeout_s,
        )
    )


def parse(encoded: bytes) -> RouteTable:
    """Read a table that another instance passed on.

    Raises:
        DocumentRejectedError: The bytes are no table.
    """
    try:
        found = msgspec.msgpack.decode(encoded, type=_Encoded)
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


def difference(
    base_digest: int, before: RouteTable, after: RouteTable
) -> Change:
    """Return what leads from one table to another.

    Args:
        base_digest: Digest of the earlier one's encoded form.
        before: The earlier one.
        after: The later one.
    """
    return Change(
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


def apply(before: RouteTable, change: Change) -> RouteTable:
    """Return the table that a change of another leads to."""
    found = dict(before.routes)
    for key in change.removed:
        found.pop(key, None)
    found.update(
        {(route.address, route.port): route for route in change.changed}
    )
    services = before.services
    if change.services is not None:
        services = {rule.name: rule for rule in change.services}
    return RouteTable(change.version, found, services, change.idle_timeout_s)
