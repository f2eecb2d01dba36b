"""Decode the operators' configuration into a route table."""

import ipaddress
import typing

import msgspec
import structlog

from kumquatport import exceptions
from kumquatport.connection.packets import request_class
from kumquatport.helpers import decoding
from kumquatport.platform import const
from kumquatport.version import routes

_LOGGER = structlog.get_logger(__name__)

_MS_PER_S: typing.Final = 1000.0
_FULL_WEIGHT: typing.Final = 1.0

# Limits of what a configuration can mean.
_MAX_NUMBER: typing.Final = 1e12

_Number = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

_MAX_DURATION_MS: typing.Final = request_class.MAX_DURATION_S * _MS_PER_S

_PRIORITIES: typing.Final = range(request_class.MAX_PRIORITY + 1)

# Characters of an invalid value that a warning quotes.
_MAX_LOGGED_CHARACTERS: typing.Final = 40

# Types of requests that may run more than once.
_REPEATABLE_TYPES: typing.Final = ('safe', 'download')

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
    # Terms of the requests. Any value is decoded: an invalid one leaves the
    # route without terms, and the rest of the configuration valid.
    type: typing.Any = None
    timeout_ms: typing.Any = msgspec.field(name='TimeoutMs', default=None)
    latency_goal_ms: typing.Any = msgspec.field(
        name='LatencyGoalMs', default=None
    )
    priority: typing.Any = None


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
    return routes.Route(
        int(address), port, routes.with_terms(weighted_services, _terms(entry))
    )


def _terms(entry: _Route) -> request_class.RequestClass | None:
    """Return the terms of a route; None unless all are stated and valid."""
    stated = {
        'TimeoutMs': entry.timeout_ms,
        'LatencyGoalMs': entry.latency_goal_ms,
        'Priority': entry.priority,
    }
    invalid = [
        name
        for name, value in stated.items()
        if value is not None and not _is_in_range(name, value)
    ]
    for name in invalid:
        _LOGGER.warning(
            'terms of a route ignored',
            route=f'{entry.host}{entry.path_prefix}',
            field=name,
            value=repr(stated[name])[:_MAX_LOGGED_CHARACTERS],
        )
    # A time-out or objective of 0 states none.
    is_complete = entry.timeout_ms and entry.latency_goal_ms
    if invalid or not is_complete or entry.priority is None:
        return None
    return request_class.RequestClass(
        priority=int(entry.priority),
        deadline_s=entry.timeout_ms / _MS_PER_S,
        objective_s=entry.latency_goal_ms / _MS_PER_S,
        is_repeatable=entry.type in _REPEATABLE_TYPES,
    )


def _is_in_range(name: str, value: typing.Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    if name == 'Priority':
        return value in _PRIORITIES
    return 0 <= value <= _MAX_DURATION_MS


def _to_service_config(entry: _Service) -> routes.ServiceConfig:
    return routes.ServiceConfig(
        entry.name, entry.warmup_per_s, entry.health_path
    )
