"""Wire format of frames between instances: packets and lists of flows."""

import struct
import types
import typing

KIND_FORWARD: typing.Final = 1
KIND_RETURN: typing.Final = 2
KIND_HELD: typing.Final = 3
KIND_CONTROL: typing.Final = 4
KIND_HEARTBEAT: typing.Final = 5
# Sent by agents to the registrars of their flows.
KIND_REGISTER: typing.Final = 6
KIND_UNREGISTER: typing.Final = 7
# A query from a balancer to a registrar, and the answer.
KIND_LOCATE: typing.Final = 8
KIND_LOCATION: typing.Final = 9
# A query whether the receiver hears some instances, and the answer. Builds that
# know no kinds from here on ignore them.
KIND_HEARD_QUERY: typing.Final = 10
KIND_HEARD: typing.Final = 11
# Seconds since the start of the sender; follows its full heartbeats.
KIND_UPTIME: typing.Final = 12
# Registered flows that a balancer hands over to another one.
KIND_HANDOVER: typing.Final = 13
# Questions with the keys of flows instead of packets: to a registrar, which
# agent holds them, and its answer; to an agent, whether it holds them. It
# answers with ``KIND_HELD`` or, if it knows all flows, ``KIND_NOT_HELD``. It
# returns the question if only a packet of the flow tells.
KIND_FIND: typing.Final = 14
KIND_FOUND: typing.Final = 15
KIND_HOLDS: typing.Final = 16
KIND_NOT_HELD: typing.Final = 17

# Flags of a forwarded packet. Query: the sender does not know whether this
# agent holds the flow, and expects an answer.
FORWARD_QUERY: typing.Final = 1
# Probe: the agent may deliver the packet to find out whether its backend server
# holds the flow.
FORWARD_PROBE: typing.Final = 2
# Report load: the agent reports its load at once; only with opening packets.
FORWARD_REPORT_LOAD: typing.Final = 4

# Reasons for returning a packet.
REASON_NOT_HELD: typing.Final = 1
REASON_REJECTED: typing.Final = 2
REASON_NOT_ACCEPTING: typing.Final = 3
REASON_COLD: typing.Final = 4
REASON_ROUTE_UNKNOWN: typing.Final = 5
REASON_FULL: typing.Final = 6
REASON_OTHER_SERVICE: typing.Final = 7
REASON_DEADLINE: typing.Final = 8

REASON_NAMES: typing.Final = types.MappingProxyType(
    {
        REASON_NOT_HELD: 'not_held',
        REASON_REJECTED: 'backend_server_rejected',
        REASON_NOT_ACCEPTING: 'not_accepting',
        REASON_COLD: 'cold',
        REASON_ROUTE_UNKNOWN: 'route_unknown',
        REASON_FULL: 'full',
        REASON_OTHER_SERVICE: 'other_service',
        REASON_DEADLINE: 'deadline',
    }
)

FLOW_BYTES: typing.Final = 12
MAX_FLOWS_PER_FRAME: typing.Final = 100
# Rows of 16 bytes that fit into one datagram.
MAX_FOUND_PER_FRAME: typing.Final = 80

_HEADER: typing.Final = struct.Struct('<BBQ')
HEADER_BYTES: typing.Final = _HEADER.size
_LOCATION: typing.Final = struct.Struct('<BI')
_FOUND: typing.Final = struct.Struct(f'<I{FLOW_BYTES}s')
_UPTIME: typing.Final = struct.Struct('<BQI')
_MAX_UPTIME_MS: typing.Final = 2**32 - 1
_MS_PER_S: typing.Final = 1000


class Frame(typing.NamedTuple):
    """A packet that is forwarded to an agent or returned by one.

    Attributes:
        kind: ``KIND_FORWARD`` or ``KIND_RETURN``.
        detail: ``FORWARD_*`` flags, or the ``REASON_*`` of a return.
        routes_version: Version of the routes that the sender holds.
        datagram: The packet.
    """

    kind: int
    detail: int
    routes_version: int
    datagram: bytes


def pack(kind: int, detail: int, routes_version: int, datagram: bytes) -> bytes:
    """Encode a forwarded or returned packet; see ``Frame``."""
    return _HEADER.pack(kind, detail, routes_version) + datagram


def unpack(message: bytes) -> Frame | None:
    """Decode a forwarded or returned packet; None if it is too short."""
    if len(message) <= HEADER_BYTES:
        return None
    kind, detail, version = _HEADER.unpack_from(message)
    return Frame(kind, detail, version, message[HEADER_BYTES:])


class Location(typing.NamedTuple):
    """A registrar's answer to a location query.

    Attributes:
        address: IPv4 address of the agent as an integer, 0 if unknown.
        datagram: The packet from the query.
    """

    address: int
    datagram: bytes


def pack_locate(datagram: bytes) -> bytes:
    """Encode a query to a registrar for the agent of a packet's flow."""
    return bytes((KIND_LOCATE,)) + datagram


def unpack_locate(message: bytes) -> bytes:
    """Return the packet of a location query."""
    return message[1:]


def pack_location(address: int, datagram: bytes) -> bytes:
    """Encode a registrar's answer; see ``Location``."""
    return _LOCATION.pack(KIND_LOCATION, address) + datagram


def unpack_location(message: bytes) -> Location | None:
    """Decode a registrar's answer; None if it is too short."""
    if len(message) <= _LOCATION.size:
        return None
    _, address = _LOCATION.unpack_from(message)
    return Location(address, message[_LOCATION.size :])


class FoundFlow(typing.NamedTuple):
    """A registrar's answer about one flow.

    Attributes:
        address: IPv4 address of the agent as an integer, 0 if unknown.
        flow: Key of the flow.
    """

    address: int
    flow: bytes


def pack_found(found: typing.Iterable[FoundFlow]) -> bytes:
    """Encode a registrar's answers.

    Args:
        found: At most ``MAX_FOUND_PER_FRAME`` answers.
    """
    return bytes((KIND_FOUND,)) + b''.join(_FOUND.pack(*row) for row in found)


def unpack_found(message: bytes) -> list[FoundFlow]:
    """Decode a registrar's answers; a truncated one at the end is ignored."""
    body = message[1:]
    whole = len(body) - len(body) % _FOUND.size
    return [FoundFlow(*row) for row in _FOUND.iter_unpack(body[:whole])]


class Uptime(typing.NamedTuple):
    """Statement of an instance how long it has been running.

    Attributes:
        incarnation: Incarnation of its record.
        uptime_s: Seconds since its start.
    """

    incarnation: int
    uptime_s: float


def pack_uptime(uptime: Uptime) -> bytes:
    """Encode how long an instance has been running; see ``Uptime``."""
    uptime_ms = min(round(uptime.uptime_s * _MS_PER_S), _MAX_UPTIME_MS)
    return _UPTIME.pack(KIND_UPTIME, uptime.incarnation, uptime_ms)


def unpack_uptime(message: bytes) -> Uptime | None:
    """Decode how long an instance has been running; None if too short."""
    if len(message) < _UPTIME.size:
        return None
    _, incarnation, uptime_ms = _UPTIME.unpack_from(message)
    return Uptime(incarnation, uptime_ms / _MS_PER_S)


def pack_flows(kind: int, flows: typing.Iterable[bytes]) -> bytes:
    """Encode a list of flows.

    Args:
        kind: ``KIND_HELD``, ``KIND_REGISTER`` or another kind that carries
            nothing but flows.
        flows: Keys of at most ``MAX_FLOWS_PER_FRAME`` flows.
    """
    return bytes((kind,)) + b''.join(flows)


def flow_batches(
    flows: typing.Sequence[bytes],
) -> typing.Iterator[typing.Sequence[bytes]]:
    """Split flows into batches that fit into one frame each."""
    for start in range(0, len(flows), MAX_FLOWS_PER_FRAME):
        yield flows[start : start + MAX_FLOWS_PER_FRAME]


def unpack_flows(message: bytes) -> list[bytes]:
    """Decode a list of flows; a truncated key at the end is ignored."""
    body = message[1:]
    whole = len(body) - len(body) % FLOW_BYTES
    return [
        body[start : start + FLOW_BYTES]
        for start in range(0, whole, FLOW_BYTES)
    ]
