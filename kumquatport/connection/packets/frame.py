"""Frames between instances that carry packets and name flows."""

import struct
import types
import typing

KIND_FORWARD: typing.Final = 1
KIND_RETURN: typing.Final = 2
KIND_HELD: typing.Final = 3
KIND_CONTROL: typing.Final = 4
KIND_HEARTBEAT: typing.Final = 5
# To the registrars of flows, and between them and other balancers.
KIND_REGISTER: typing.Final = 6
KIND_UNREGISTER: typing.Final = 7
KIND_LOCATE: typing.Final = 8
KIND_LOCATION: typing.Final = 9

# A forward whose sender does not know which agent holds the flow.
FORWARD_QUERY: typing.Final = 1
# The agent may ask its backend server by delivering the packet.
FORWARD_PROBE: typing.Final = 2
# The agent tells its load at once; only with opening packets.
FORWARD_REPORT_LOAD: typing.Final = 4

# Reasons of a return.
REASON_NOT_HELD: typing.Final = 1
REASON_REJECTED: typing.Final = 2
REASON_NOT_ACCEPTING: typing.Final = 3
REASON_COLD: typing.Final = 4
REASON_ROUTE_UNKNOWN: typing.Final = 5
REASON_FULL: typing.Final = 6

REASON_NAMES: typing.Final = types.MappingProxyType(
    {
        REASON_NOT_HELD: 'not_held',
        REASON_REJECTED: 'backend_server_rejected',
        REASON_NOT_ACCEPTING: 'not_accepting',
        REASON_COLD: 'cold',
        REASON_ROUTE_UNKNOWN: 'route_unknown',
        REASON_FULL: 'full',
    }
)

FLOW_BYTES: typing.Final = 12
MAX_FLOWS_PER_FRAME: typing.Final = 100

_HEADER: typing.Final = struct.Struct('<BBQ')
HEADER_BYTES: typing.Final = _HEADER.size
_LOCATION: typing.Final = struct.Struct('<BI')


class Frame(typing.NamedTuple):
    """A forward or a return.

    Attributes:
        kind: ``KIND_FORWARD`` or ``KIND_RETURN``.
        detail: Bits of a forward, or the reason of a return.
        routes_version: Version of the routes that its sender holds.
        datagram: The packet.
    """

    kind: int
    detail: int
    routes_version: int
    datagram: bytes


def pack(kind: int, detail: int, routes_version: int, datagram: bytes) -> bytes:
    """Return the bytes of a forward or a return."""
    return _HEADER.pack(kind, detail, routes_version) + datagram


def unpack(message: bytes) -> Frame | None:
    """Read a forward or a return; None if it is too short."""
    if len(message) <= HEADER_BYTES:
        return None
    kind, detail, version = _HEADER.unpack_from(message)
    return Frame(kind, detail, version, message[HEADER_BYTES:])


class Location(typing.NamedTuple):
    """A registrar's answer.

    Attributes:
        address: IPv4 address of the agent as a number, 0 if not known.
        datagram: The packet that was to be sent there.
    """

    address: int
    datagram: bytes


def pack_locate(datagram: bytes) -> bytes:
    """Return the bytes that ask a registrar for the agent of a packet."""
    return bytes((KIND_LOCATE,)) + datagram


def unpack_locate(message: bytes) -> bytes:
    """Read the packet that a balancer asks about."""
    return message[1:]


def pack_location(address: int, datagram: bytes) -> bytes:
    """Return the bytes of a registrar's answer."""
    return _LOCATION.pack(KIND_LOCATION, address) + datagram


def unpack_location(message: bytes) -> Location | None:
    """Read a registrar's answer; None if it is too short."""
    if len(message) <= _LOCATION.size:
        return None
    _, address = _LOCATION.unpack_from(message)
    return Location(address, message[_LOCATION.size :])


def pack_flows(kind: int, flows: typing.Iterable[bytes]) -> bytes:
    """Return the bytes that name flows.

    Args:
        kind: ``KIND_HELD``, ``KIND_REGISTER`` or ``KIND_UNREGISTER``.
        flows: At most ``MAX_FLOWS_PER_FRAME``.
    """
    return bytes((kind,)) + b''.join(flows)


def flow_batches(
    flows: typing.Sequence[bytes],
) -> typing.Iterator[typing.Sequence[bytes]]:
    """Yield parts of a list of flows that fit into one message."""
    for start in range(0, len(flows), MAX_FLOWS_PER_FRAME):
        yield flows[start : start + MAX_FLOWS_PER_FRAME]


def unpack_flows(message: bytes) -> list[bytes]:
    """Read the names of flows; a cut one at the end is left out."""
    body = message[1:]
    whole = len(body) - len(body) % FLOW_BYTES
    return [
        body[start : start + FLOW_BYTES]
        for start in range(0, whole, FLOW_BYTES)
    ]
