"""Frames between instances that carry packets and name flows."""

import struct
import types
import typing

KIND_FORWARD: typing.Final = 1
KIND_RETURN: typing.Final = 2
KIND_HELD: typing.Final = 3
KIND_CONTROL: typing.Final = 4
KIND_BEAT: typing.Final = 5
# To the registrars of flows, and between them and other balancers.
KIND_REGISTER: typing.Final = 6
KIND_ENDED: typing.Final = 7
KIND_WHERE: typing.Final = 8
KIND_FOUND: typing.Final = 9

# A forward whose sender does not know which agent holds the flow.
ASK: typing.Final = 1
# The agent may ask its backend server by delivering the packet.
TEST: typing.Final = 2
# The agent tells its load at once; only with opening packets.
REPORT: typing.Final = 4

# Reasons of a return.
REASON_NOT_HELD: typing.Final = 1
REASON_REJECTED: typing.Final = 2
REASON_CLOSED: typing.Final = 3
REASON_COLD: typing.Final = 4
REASON_ROUTE: typing.Final = 5
REASON_FULL: typing.Final = 6

REASON_NAMES: typing.Final = types.MappingProxyType(
    {
        REASON_NOT_HELD: 'not_held',
        REASON_REJECTED: 'backend_server_rejected',
        REASON_CLOSED: 'not_accepting',
        REASON_COLD: 'cold',
        REASON_ROUTE: 'route_unknown',
        REASON_FULL: 'full',
    }
)

FLOW_BYTES: typing.Final = 12
MAX_FLOWS: typing.Final = 100

_HEAD: typing.Final = struct.Struct('<BBQ')
HEAD_BYTES: typing.Final = _HEAD.size
_FOUND: typing.Final = struct.Struct('<BI')


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


class Found(typing.NamedTuple):
    """A registrar's answer.

    Attributes:
        address: IPv4 address of the agent as a number, 0 if not known.
        datagram: The packet that was to be sent there.
    """

    address: int
    datagram: bytes


def pack_where(datagram: bytes) -> bytes:
    """Return the bytes that ask a registrar for the agent of a packet."""
    return bytes((KIND_WHERE,)) + datagram


def unpack_where(message: bytes) -> bytes:
    """Read the packet that a balancer asks about."""
    return message[1:]


def pack_found(address: int, datagram: bytes) -> bytes:
    """Return the bytes of a registrar's answer."""
    return _FOUND.pack(KIND_FOUND, address) + datagram


def unpack_found(message: bytes) -> Found | None:
    """Read a registrar's answer; None if it is too short."""
    if len(message) <= _FOUND.size:
        return None
    _, address = _FOUND.unpack_from(message)
    return Found(address, message[_FOUND.size :])


def pack_flows(kind: int, flows: typing.Iterable[bytes]) -> bytes:
    """Return the bytes that name flows.

    Args:
        kind: ``KIND_HELD``, ``KIND_REGISTER`` or ``KIND_ENDED``.
        flows: At most ``MAX_FLOWS``.
    """
    return bytes((kind,)) + b''.join(flows)


def batches(
    flows: typing.Sequence[bytes],
) -> typing.Iterator[typing.Sequence[bytes]]:
    """Yield parts of a list of flows that fit into one message."""
    for start in range(0, len(flows), MAX_FLOWS):
        yield flows[start : start + MAX_FLOWS]


def unpack_flows(message: bytes) -> list[bytes]:
    """Read the names of flows; a cut one at the end is left out."""
    body = message[1:]
    whole = len(body) - len(body) % FLOW_BYTES
    return [
        body[start : start + FLOW_BYTES]
        for start in range(0, whole, FLOW_BYTES)
    ]
