"""What instances tell each other beside packets."""

import struct
import typing

import msgspec

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.version import members, routes


class Load(typing.NamedTuple):
    """How busy an agent's backend server is.

    Attributes:
        slots: Requests that it works on at a time.
        busy: Requests in progress.
        flows: Flows open or opening.
        service_ms: Mean time to the first byte of an answer, milliseconds.
        accepts: Whether new flows are taken.
        is_cold: Whether just a few new flows are taken.
        knows_all_flows: Whether the agent knows all flows of its backend server.
        is_draining: Whether the backend server is about to leave.
        has_report: Whether the agent has heard from its backend server.
        is_failing: Whether a part of its requests get no answer.
    """

    slots: int
    busy: int
    flows: int
    service_ms: float
    accepts: bool
    is_cold: bool
    knows_all_flows: bool
    is_draining: bool
    has_report: bool
    is_failing: bool = False


class ConfigurationState(typing.NamedTuple):
    """Which configuration an instance acts on.

    Attributes:
        routes_version: Version of the routes.
        domains_revision: Revision of the store at which ``domains_out``
            changed last.
        domains_out: Failure domains that get no new flow.
        age_s: Seconds since the store confirmed both.
        origin: Instance that had the latest change from the store.
        changes: The latest changes of the routes, the newest last; few or
            none if they are large.
    """

    routes_version: int
    domains_revision: int
    domains_out: tuple[str, ...]
    age_s: float
    origin: str
    changes: tuple[routes.RouteTableDelta, ...] = ()


class Heartbeat(typing.NamedTuple):
    """What each instance tells its peers a few times a second.

    Attributes:
        record: Of the sender.
        load: Of an agent; None from a balancer.
        configuration: Of the sender.
        wants_reply: Whether the sender has not heard from the receiver.
        receiver_was_draining: Whether the receiver's backend server was draining
            when the receiver last told of it.
    """

    record: members.InstanceRecord
    load: Load | None
    configuration: ConfigurationState
    wants_reply: bool
    receiver_was_draining: bool = False


class Records(typing.NamedTuple):
    """Records of other instances."""

    records: tuple[members.InstanceRecord, ...]


class Digests(typing.NamedTuple):
    """Digests by bucket; the receiver answers with the records that differ."""

    digests: tuple[int, ...]


class ConfirmationRequest(typing.NamedTuple):
    """Asked by a process that has stood still: what is in force now.

    Attributes:
        token: Number of its pause.
    """

    token: int


class Confirmation(typing.NamedTuple):
    """The answer of a balancer that went on.

    Attributes:
        token: As asked.
        configuration: Of the balancer.
        receiver_was_draining: Whether the receiver's backend server was draining
            when the receiver last told of it.
    """

    token: int
    configuration: ConfigurationState
    receiver_was_draining: bool


class ShortHeartbeat(typing.NamedTuple):
    """A short heartbeat between two of those that carry everything.

    Attributes:
        incarnation: Of the sender's record.
        sequence: Of the sender's record.
        members_digest: Digest of the records that sender and receiver keep.
        routes_version: Version of the sender's routes.
        domains_revision: Revision at which the failure domains taken out
            changed last, as far as the sender knows.
        age_s: Seconds since the store confirmed both.
        round_s: Seconds between two rounds of the sender's heartbeats.
        load: Of an agent; None from a balancer.
    """

    incarnation: int
    sequence: int
    members_digest: int
    routes_version: int
    domains_revision: int
    age_s: float
    round_s: float
    load: Load | None


_SHORT_HEARTBEAT: typing.Final = struct.Struct('!QIQQQfHBHHHf')
_IS_AGENT: typing.Final = 2
_ACCEPTS: typing.Final = 4
_IS_COLD: typing.Final = 8
_IS_SURE: typing.Final = 16
_IS_DRAINING: typing.Final = 32
_IS_KNOWN: typing.Final = 64
_IS_FAILING: typing.Final = 128
_MAX_COUNT: typing.Final = 0xFFFF
_MS_PER_S: typing.Final = 1000


Message = Heartbeat | Records | Digests | ConfirmationRequest | Confirmation

# In the order of their numbers on the wire; new kinds come last.
_KINDS: typing.Final = (
    Heartbeat,
    Records,
    Digests,
    ConfirmationRequest,
    Confirmation,
)


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    kind = _KINDS.index(type(message))
    return bytes((frame.KIND_CONTROL, kind)) + msgspec.msgpack.encode(message)


def decode(datagram: bytes) -> Message:
    """Read a message.

    Raises:
        FramePayloadError: The bytes are no message.
    """
    try:
        shape = _KINDS[datagram[1]]
        return typing.cast(
            Message, msgspec.msgpack.decode(datagram[2:], type=shape)
        )
    except (IndexError, msgspec.MsgspecError) as error:
        raise exceptions.FramePayloadError(str(error)) from error


def encode_short_heartbeat(beat: ShortHeartbeat) -> bytes:
    """Return the datagram of a short heartbeat."""
    load = beat.load or _NO_LOAD
    bits = (
        (beat.load is not None) * _IS_AGENT
        + load.accepts * _ACCEPTS
        + load.is_cold * _IS_COLD
        + load.knows_all_flows * _IS_SURE
        + load.is_draining * _IS_DRAINING
        + load.has_report * _IS_KNOWN
        + load.is_failing * _IS_FAILING
    )
    return bytes((frame.KIND_HEARTBEAT,)) + _SHORT_HEARTBEAT.pack(
        beat.incarnation,
        beat.sequence,
        beat.members_digest,
        beat.routes_version,
        beat.domains_revision,
        beat.age_s,
        min(round(beat.round_s * _MS_PER_S), _MAX_COUNT),
        bits,
        min(load.slots, _MAX_COUNT),
        min(load.busy, _MAX_COUNT),
        min(load.flows, _MAX_COUNT),
        load.service_ms,
    )


def decode_short_heartbeat(datagram: bytes) -> ShortHeartbeat:
    """Read a short heartbeat.

    Raises:
        FramePayloadError: The bytes are none.
    """
    try:
        row = _SHORT_HEARTBEAT.unpack_from(datagram, 1)
    except struct.error as error:
        raise exceptions.FramePayloadError(str(error)) from error
    bits, slots, busy, flows, service_ms = row[7:]
    load = None
    if bits & _IS_AGENT:
        load = Load(
            slots,
            busy,
            flows,
            service_ms,
            accepts=bool(bits & _ACCEPTS),
            is_cold=bool(bits & _IS_COLD),
            knows_all_flows=bool(bits & _IS_SURE),
            is_draining=bool(bits & _IS_DRAINING),
            has_report=bool(bits & _IS_KNOWN),
            is_failing=bool(bits & _IS_FAILING),
        )
    return ShortHeartbeat(
        incarnation=row[0],
        sequence=row[1],
        members_digest=row[2],
        routes_version=row[3],
        domains_revision=row[4],
        age_s=row[5],
        round_s=row[6] / _MS_PER_S,
        load=load,
    )


_NO_LOAD: typing.Final = Load(
    slots=0,
    busy=0,
    flows=0,
    service_ms=0,
    accepts=False,
    is_cold=False,
    knows_all_flows=False,
    is_draining=False,
    has_report=False,
)
