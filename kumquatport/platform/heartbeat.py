"""Decode the heartbeats of backend servers."""

import ipaddress
import typing

import msgspec

from kumquatport import exceptions
from kumquatport.helpers import decoding
from kumquatport.process.packets import models

_MS_PER_S: typing.Final = 1000.0
_DRAINING: typing.Final = 'draining'

# Limits of what a heartbeat can mean: requests at once, a warm-up of a day, and
# numbers that all fields on the wire can hold.
_MAX_CONCURRENCY: typing.Final = 65_535
_MAX_WARMUP_MS: typing.Final = 86_400_000
_MAX_NUMBER: typing.Final = 2**53

_Number = typing.Annotated[int, msgspec.Meta(le=_MAX_NUMBER)]


class _Heartbeat(msgspec.Struct, rename='pascal'):
    service: str
    address: str
    zone: str
    # Version of the backend server's software, not of a protocol.
    version: str
    state: typing.Literal['ready', 'draining']
    # Number of concurrent requests, not of flows.
    concurrency: typing.Annotated[int, msgspec.Meta(le=_MAX_CONCURRENCY)]
    sequence: _Number
    # Remaining warm-up time, not the time since the start.
    warmup_left_ms: typing.Annotated[float, msgspec.Meta(le=_MAX_WARMUP_MS)]
    # Start time in Unix milliseconds.
    born: _Number = msgspec.field(name='born', default=0)


def decode(identifier: str, body: bytes) -> models.BackendServerReport:
    """Decode a heartbeat.

    Args:
        identifier: Identifier of the backend server, from the URL path.
        body: JSON text.

    Raises:
        HeartbeatRejectedError: A field is missing, malformed or unknown.
    """
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
        endpoint = _parse_endpoint(heartbeat.address)
    except decoding.MALFORMED as error:
        raise exceptions.HeartbeatRejectedError(
            f'{identifier}: {error}'
        ) from error
    return models.BackendServerReport(
        identifier=identifier,
        service=heartbeat.service,
        endpoint=endpoint,
        failure_domain=heartbeat.zone,
        slots=max(heartbeat.concurrency, 1),
        is_draining=heartbeat.state == _DRAINING,
        cold_left_s=max(heartbeat.warmup_left_ms, 0) / _MS_PER_S,
        sequence=heartbeat.sequence,
        born_ms=heartbeat.born,
    )


def _parse_endpoint(address: str) -> models.Endpoint:
    host, _, port = address.rpartition(':')
    return models.Endpoint(
        str(ipaddress.IPv4Address(host)), decoding.parse_port(port)
    )
