"""Messages of builds that do not know the era of the store or route terms.

Such a build refuses a message with a field more or less.
"""

import struct
import typing
import zlib

import msgspec

from kumquatport.version import members, routes

SHORT_HEARTBEAT = struct.Struct('!QIQQQfHBHHHf')


class Load(typing.NamedTuple):
    """Load of an agent's backend server."""

    slots: int
    busy: int
    flows: int
    service_ms: float
    accepts: bool
    is_cold: bool
    knows_all_flows: bool
    is_draining: bool
    has_report: bool
    is_failing: bool = False


class ConfigurationState(typing.NamedTuple):
    """Configuration that an instance uses."""

    routes_version: int
    domains_revision: int
    domains_out: tuple[str, ...]
    age_s: float
    origin: str
    changes: tuple[typing.Any, ...] = ()


class Heartbeat(typing.NamedTuple):
    """Full heartbeat."""

    record: members.InstanceRecord
    load: Load | None
    configuration: ConfigurationState
    wants_reply: bool
    receiver_was_draining: bool = False


class Confirmation(typing.NamedTuple):
    """Reply of a balancer that was not paused."""

    token: int
    configuration: ConfigurationState
    receiver_was_draining: bool


class Route(typing.NamedTuple):
    """Route without terms."""

    address: int
    port: int
    weighted_services: tuple[routes.WeightedService, ...]


class RouteTable(typing.NamedTuple):
    """Route table as it travels."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[routes.ServiceConfig, ...]
    idle_timeout_s: float


def decode_table(encoded: bytes) -> RouteTable:
    """Decode a route table."""
    return msgspec.msgpack.decode(encoded, type=RouteTable)


def allows(route: Route, service: str) -> bool:
    """Return whether a service may receive new flows of a route."""
    return any(
        share.service == service and share.weight > 0
        for share in route.weighted_services
    )


def service_of(route: Route, flow: bytes) -> str:
    """Return the service of a flow, by the weights of its route."""
    total = sum(share.weight for share in route.weighted_services)
    position = zlib.crc32(flow) / 2**32 * total
    for share in route.weighted_services:
        position -= share.weight
        if position < 0:
            return share.service
    return route.weighted_services[-1].service
