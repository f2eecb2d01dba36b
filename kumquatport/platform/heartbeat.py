"""The heartbeats that backend servers send."""

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
    # Requests that it works on at a time, not flows.
    concurrency: int
    sequence: int
    # Seconds of being slow that are left, not since its start.
    warmup_left_ms: float = msgspec.field(name='WarmupLeftMs', default=0)
    # Unix milliseconds of its start.
    born: int = msgspec.field(name='born', default=0)


def decode(identifier: str, body: bytes) -> models.BackendServerReport:
    """Read a heartbeat.

    Args:
        identifier: Of the backend server, from the path of the call.
        body: JSON text.

    Raises:
        HeartbeatRejectedError: It is malformed or of an unknown state.
    """
    try:
        beat = msgspec.json.decode(body, type=_Heartbeat)
        host, _, port = beat.address.rpartition(':')
        endpoint = models.Endpoint(host, int(port))
    except (msgspec.MsgspecError, ValueError) as error:
        raise exceptions.HeartbeatRejectedError(
            f'{identifier}: {error}'
        ) from error
    return models.BackendServerReport(
        identifier=identifier,
        service=beat.service,
        endpoint=endpoint,
        slots=max(beat.concurrency, 1),
        is_draining=beat.state == _DRAINING,
        cold_left_s=max(beat.warmup_left_ms, 0) / _MS_PER_S,
        sequence=beat.sequence,
        born_ms=beat.born,
    )
