"""Decode the heartbeats of backend servers."""

import typing

import msgspec

from kumquatport import exceptions
from kumquatport.process.packets import models

_MS_PER_S: typing.Final = 1000.0
_DRAINING: typing.Final = 'draining'


class _Heartbeat(msgspec.Struct, rename='pascal'):
    service: str
    address: str
    state: typing.Literal['ready', 'draining']
    # Number of concurrent requests, not of flows.
    concurrency: int
    sequence: int
    # Remaining warm-up time, not the time since the start.
    warmup_left_ms: float = msgspec.field(name='WarmupLeftMs', default=0)
    # Start time in Unix milliseconds.
    born: int = msgspec.field(name='born', default=0)


def decode(identifier: str, body: bytes) -> models.BackendServerReport:
    """Decode a heartbeat.

    Args:
        identifier: Identifier of the backend server, from the URL path.
        body: JSON text.

    Raises:
        HeartbeatRejectedError: It is malformed or has an unknown state.
    """
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
        host, _, port = heartbeat.address.rpartition(':')
        endpoint = models.Endpoint(host, int(port))
    except (msgspec.MsgspecError, ValueError) as error:
        raise exceptions.HeartbeatRejectedError(
            f'{identifier}: {error}'
        ) from error
    return models.BackendServerReport(
        identifier=identifier,
        service=heartbeat.service,
        endpoint=endpoint,
        slots=max(heartbeat.concurrency, 1),
        is_draining=heartbeat.state == _DRAINING,
        cold_left_s=max(heartbeat.warmup_left_ms, 0) / _MS_PER_S,
        sequence=heartbeat.sequence,
        born_ms=heartbeat.born,
    )
