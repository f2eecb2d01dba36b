"""The routes of one version, and their form between instances."""

import typing
from collections import abc

import msgspec

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


class _Encoded(typing.NamedTuple):
    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRule, ...]
    idle_timeout_s: float


def encode(table: RouteTable) -> bytes:
    """Return the form in which instances pass a table on."""
    return msgspec.msgpack.encode(
        _Encoded(
            table.version,
            tuple(table.routes.values()),
            tuple(table.services.values()),
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
