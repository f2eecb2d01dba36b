"""Frames between instances that carry packets and name flows."""

import struct
import types
import typing

KIND_FORWARD: typing.Final = 1
KIND_RETURN: typing.Final = 2
KIND_HELD: typing.Final = 3
KIND_CONTROL: typing.Final = 4
KIND_BEAT: typing.Final = 5

# A forward whose sender does not know which agent holds the flow.
ASK: typing.Final = 1
# The agent may ask its backend server by delivering the packet.
TEST: typing.Final = 2

# Reasons of a return.
REASON_NOT_HELD: typing.Final = 1
REASON_REJECTED: typing.Final = 2
REASON_CLOSED: typing.Final = 3
REASON_COLD: typing.Final = 4
REASON_ROUTE: typing.Final = 5

REASON_NAMES: typing.Final = types.MappingProxyType(
    {
        REASON_NOT_HELD: 'not_held',
        REASON_REJECTED: 'backend_server_rejected',
        REASON_CLOSED: 'not_accepting',
        REASON_COLD: 'cold',
        REASON_ROUTE: 'route_unknown',
    }
)

FLOW_BYTES: typing.Final = 12
MAX_FLOWS: typing.Final = 100

_HEAD: typing.Final = struct.Struct('<BBQ')
HEAD_BYTES: typing.Final = _HEAD.size


class Frame(typing.NamedTuple):
    """A forward or a return.

    Attributes:
        kind: ``KIND_FORWARD`` or ``KIND_RETURN``.
        detail: Bits of a forward, or the reason of a return.
        version: Version of the routes that its sender holds.
        datagram: The packet.
    """

    kind: int
    detail: int
    version: int
    datagram: bytes


def pack(kind: int, detail: int, version: int, datagram: bytes) -> bytes:
    """Return the bytes of a forward or a return."""
    return _HEAD.pack(kind, detail, version) + datagram


def unpack(message: bytes) -> Frame | None:
    """Read a forward or a return; None if it is too short."""
    if len(message) <= HEAD_BYTES:
        return None
    kind, detail, version = _HEAD.unpack_from(message)
    return Frame(kind, detail, version, message[HEAD_BYTES:])


def pack_held(flows: typing.Sequence[bytes]) -> bytes:
    """Return the bytes that name flows which an agent holds."""
    return bytes((KIND_HELD,)) + b''.join(flows)


def unpack_held(message: bytes) -> list[bytes]:
    """Read the names of flows; a cut one at the end is left out."""
    body = message[1:]
    whole = len(body) - len(body) % FLOW_BYTES
    return [
        body[start : start + FLOW_BYTES]
        for start in range(0, whole, FLOW_BYTES)
    ]
