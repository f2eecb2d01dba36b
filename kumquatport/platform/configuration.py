"""Decode the operators' configuration into a route table."""

import ipaddress
import typing

import msgspec

from kumquatport import exceptions
from kumquatport.helpers import decoding
from kumquatport.platform import const
from kumquatport.version import routes

_MS_PER_S: typing.Final = 1000.0
_FULL_WEIGHT: typing.Final = 1.0

# Limits of what a configuration can mean.
_MAX_NUMBER: typing.Final = 1e12

_Number = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

# Keys of the objects that the operators write.
KEY_CONFIGURATION: typing.Final = (
    f'{const.KIND_CONFIGURATION}/{const.NAME_CONFIGURATION}'
)
KIND_EVACUATIONS: typing.Final = const.KIND_EVACUATIONS


class _Split(msgspec.Struct, rename='pascal'):
    service: str
    weight: _Number


class _Route(msgspec.Struct, rename='pascal'):
    # Not a host name: the IPv4 address that clients connect to, as text.
    host: str
    # Not a path: the port that clients connect to, between slashes.
    path_prefix: str
    service: str = ''
    split: list[_Split] = []


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    health_path: str = '/'
    # New flows per second during the warm-up of a backend server.
    warmup_per_s: _Number = msgspec.field(name='WarmupPerS', default=0)


class _Limits(msgspec.Struct, rename='pascal', frozen=True):
    # Applies to flows. The other limits concern HTTP and are not read.
    idle_timeout_ms: _Number = msgspec.field(
        name='IdleTimeoutMs', default=15000.0
    )


class _Configuration(msgspec.Struct, rename='pascal'):
    version: typing.Annotated[int, msgspec.Meta(ge=0, le=routes.MAX_VERSION)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


def decode(text: bytes) -> routes.RouteTable:
    """Decode a configuration.

    Raises:
        DocumentRejectedError: It is invalid; it is rejected as a whole.
    """
    try:
        decoded = msgspec.json.decode(text, type=_Configuration)
        converted_routes = tuple(_to_route(entry) for entry in decoded.routes)
    except decoding.MALFORMED as error:
        fault = exceptions.Fault(KEY_CONFIGURATION, str(error))
        raise exceptions.DocumentRejectedError((fault,)) from error
    return routes.RouteTable(
        decoded.version,
        {(entry.address, entry.port): entry for entry in converted_routes},
        {entry.name: _to_service_config(entry) for entry in decoded.services},
        decoded.limits.idle_timeout_ms / _MS_PER_S,
    )


def _to_route(entry: _Route) -> routes.Route:
    weighted_services = tuple(
        routes.WeightedService(share.service, share.weight)
        for share in entry.split
    )
    if not weighted_services:
        weighted_services = (
            routes.WeightedService(entry.service, _FULL_WEIGHT),
        )
    address = ipaddress.IPv4Address(entry.host)
    port = decoding.parse_port(entry.path_prefix.strip('/'))
    return routes.Route(int(address), port, weighted_services)


def _to_service_config(entry: _Service) -> routes.ServiceConfig:
    return routes.ServiceConfig(
        entry.name, entry.warmup_per_s, entry.health_path
    )
