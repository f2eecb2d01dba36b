"""The operators' configuration, read into a table of routes."""

import ipaddress
import typing

import msgspec

from kumquatport import exceptions
from kumquatport.platform import const
from kumquatport.version import routes

_MS_PER_S: typing.Final = 1000.0
_FULL_WEIGHT: typing.Final = 1.0

# Store keys of what the operators write.
KEY_CONFIGURATION: typing.Final = (
    f'{const.KIND_CONFIGURATION}/{const.NAME_CONFIGURATION}'
)
KIND_EVACUATIONS: typing.Final = const.KIND_EVACUATIONS


class _Split(msgspec.Struct, rename='pascal'):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='pascal'):
    # Not a host name: the IPv4 address that clients call, as text.
    host: str
    # Not a path: the port that clients call, between slashes.
    path_prefix: str
    service: str = ''
    split: list[_Split] = []


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    health_path: str = '/'
    # New flows a second that a cold backend server bears.
    warmup_per_s: float = msgspec.field(name='WarmupPerS', default=0)


class _Limits(msgspec.Struct, rename='pascal', frozen=True):
    # Of flows; the other limits describe HTTP, which is not read here.
    idle_timeout_ms: float = msgspec.field(
        name='IdleTimeoutMs', default=15000.0
    )


class _Configuration(msgspec.Struct, rename='pascal'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


def decode(text: bytes) -> routes.RouteTable:
    """Read a configuration.

    Raises:
        DocumentRejectedError: It is not one; nothing of it is used.
    """
    try:
        found = msgspec.json.decode(text, type=_Configuration)
        rows = tuple(_route(row) for row in found.routes)
    except (msgspec.MsgspecError, ValueError) as error:
        fault = exceptions.Fault(KEY_CONFIGURATION, str(error))
        raise exceptions.DocumentRejectedError((fault,)) from error
    return routes.RouteTable(
        found.version,
        {(row.address, row.port): row for row in rows},
        {row.name: _service(row) for row in found.services},
        found.limits.idle_timeout_ms / _MS_PER_S,
    )


def _route(row: _Route) -> routes.Route:
    shares = tuple(
        routes.WeightedService(part.service, part.weight) for part in row.split
    )
    if not shares:
        shares = (routes.WeightedService(row.service, _FULL_WEIGHT),)
    address = ipaddress.IPv4Address(row.host)
    return routes.Route(int(address), int(row.path_prefix.strip('/')), shares)


def _service(row: _Service) -> routes.ServiceConfig:
    return routes.ServiceConfig(row.name, row.warmup_per_s, row.health_path)
