"""Control messages between instances."""

import math
import struct
import typing
from collections import abc

import msgspec

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.helpers import decoding
from kumquatport.version import members, routes


class Load(typing.NamedTuple):
    """Load of an agent's backend server.

    Attributes:
        slots: Requests that it processes concurrently.
        busy: Requests in progress.
        flows: Open or opening flows.
        service_ms: Mean time to the first byte of a response, in milliseconds.
        accepts: Whether new flows are accepted.
        is_cold: Whether only a limited rate of new flows is accepted.
        knows_all_flows: Whether the agent knows all flows of its backend
            server.
        is_draining: Whether the backend server is draining or gone.
        has_report: Whether the backend server has sent a heartbeat.
        is_failing: Whether some of its requests get no response.
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


class CapacityReport(typing.NamedTuple):
    """Capacity of an agent's backend server for further requests.

    Attributes:
        waits_s: Expected seconds until a request meets a free slot, for the
            priorities 0, 1 and 2, and for all lower ones.
        work_s: Mean seconds of work of a request.
        committed: Share of its slots that the requests of its open flows are
            expected to keep in use.
        is_answer: Whether this answers an offer that requested the load, so
            that the balancer can measure the round trip.
        main_route: Tag, from 0 to 255, of the route with most requests.
        main_work_s: Mean seconds of work of a request of that route, 0 if it is
            unknown.
    """

    waits_s: tuple[float, float, float, float]
    work_s: float
    committed: float = 0
    is_answer: bool = False
    main_route: int = 0
    main_work_s: float = 0

    def wait_s(self, priority: int) -> float:
        """Return the expected wait of a request.

        Args:
            priority: Priority of its route; 0 is the highest.
        """
        return self.waits_s[min(priority, len(self.waits_s) - 1)]


# Entry among the failure domains that carries the era of the store. Builds that
# know no eras take it for a failure domain without instances, while they would
# refuse a message with a further field.
_ERA_PREFIX: typing.Final = '\0era='


class ConfigurationState(typing.NamedTuple):
    """Configuration that an instance uses.

    Attributes:
        routes_version: Version of the routes.
        domains_revision: Store revision of the last change of
            ``domains_out``.
        domains_out: Failure domains that get no new flows, as encoded by
            ``encode_domains``.
        age_s: Seconds since the store confirmed both.
        origin: Instance that read the latest change from the store.
        changes: Latest changes of the routes, the newest last; few or none if
            they are large.
    """

    routes_version: int
    domains_revision: int
    domains_out: tuple[str, ...]
    age_s: float
    origin: str
    changes: tuple[routes.RouteTableDelta, ...] = ()

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Return the failure domains that get no new flows."""
        return tuple(
            name for name in self.domains_out if not _is_era_entry(name)
        )

    @property
    def store_era(self) -> int:
        """Return the era of ``domains_revision``; 0 if it is not stated.

        Raises:
            ValueError: It is not a number.
        """
        for name in self.domains_out:
            if _is_era_entry(name):
                return int(name.removeprefix(_ERA_PREFIX))
        return 0


def encode_domains(
    failure_domains: abc.Iterable[str], era: int
) -> tuple[str, ...]:
    """Return failure domains and the era of their revision as one tuple."""
    names = sorted(name for name in failure_domains if not _is_era_entry(name))
    return (*names, f'{_ERA_PREFIX}{era}') if era else tuple(names)


def _is_era_entry(name: str) -> bool:
    return name.startswith(_ERA_PREFIX)


class Heartbeat(typing.NamedTuple):
    """Full heartbeat, with the complete state of an instance.

    Attributes:
        record: Record of the sender.
        load: Load of an agent; None from a balancer.
        configuration: Configuration of the sender.
        wants_reply: Whether the receiver should answer with a full heartbeat.
        receiver_was_draining: Whether the receiver's backend server was
            draining when the receiver last reported it.
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
    """Digests by bucket; the receiver replies with the records that differ."""

    digests: tuple[int, ...]


class ConfirmationRequest(typing.NamedTuple):
    """Request of a process that was paused to confirm its configuration.

    Attributes:
        token: Number of the pause.
    """

    token: int


class Confirmation(typing.NamedTuple):
    """Reply of a balancer that was not paused.

    Attributes:
        token: Token of the request.
        configuration: Configuration of the balancer.
        receiver_was_draining: Whether the receiver's backend server was
            draining when the receiver last reported it.
    """

    token: int
    configuration: ConfigurationState
    receiver_was_draining: bool


class ShortHeartbeat(typing.NamedTuple):
    """Periodic heartbeat that carries versions instead of content.

    Attributes:
        incarnation: Incarnation of the sender's record.
        sequence: Sequence number of the sender's record.
        members_digest: Digest of the records that sender and receiver share.
        routes_version: Version of the sender's routes.
        domains_revision: Store revision of the last change of the failure
            domains taken out that the sender knows.
        age_s: Seconds since the store confirmed both.
        round_s: Seconds between two heartbeat rounds of the sender.
        load: Load of an agent; None from a balancer.
        store_era: Era of the store in which ``domains_revision`` was read; 0
            if the store has none or the sender's build knows none.
        is_informed: Whether the sender's members come from the store, directly
            or from peers.
        capacity: Capacity of an agent's backend server; None if it is unknown, no
            route of its service states an objective, or the sender's build
            reports none.
    """

    incarnation: int
    sequence: int
    members_digest: int
    routes_version: int
    domains_revision: int
    age_s: float
    round_s: float
    load: Load | None
    store_era: int = 0
    is_informed: bool = False
    capacity: CapacityReport | None = None


_SHORT_HEARTBEAT: typing.Final = struct.Struct('!QIQQQfHBHHHf')
# Follows a short heartbeat if the store has eras or a capacity report follows, 0
# for no era; other builds ignore it.
_STORE_ERA: typing.Final = struct.Struct('!Q')
_STORE_ERA_OFFSET: typing.Final = 1 + _SHORT_HEARTBEAT.size
# Follows the era: waits in ms, work in ms, committed share in thousandths and
# flags. Other builds ignore it.
_CAPACITY: typing.Final = struct.Struct('!7H')
_CAPACITY_OFFSET: typing.Final = _STORE_ERA_OFFSET + _STORE_ERA.size
_IS_ANSWER: typing.Final = 1
# The flags also hold the main route, and its work relative to the mean work as
# a power of 2 in steps of 1/8, 0 if it is unknown. A step is 9%, little compared
# with a server that is twice as slow.
_RELATIVE_WORK_SHIFT: typing.Final = 1
_RELATIVE_WORK_MASK: typing.Final = 0x7F
_RELATIVE_WORK_EQUAL: typing.Final = 64
_STEPS_PER_DOUBLING: typing.Final = 8
_MAIN_ROUTE_SHIFT: typing.Final = 8
_MAIN_ROUTE_MASK: typing.Final = 0xFF
_COMMITTED_SCALE: typing.Final = 1000
_IS_INFORMED: typing.Final = 1
_IS_AGENT: typing.Final = 2
_ACCEPTS: typing.Final = 4
_IS_COLD: typing.Final = 8
_KNOWS_ALL_FLOWS: typing.Final = 16
_IS_DRAINING: typing.Final = 32
_HAS_REPORT: typing.Final = 64
_IS_FAILING: typing.Final = 128
_MAX_COUNT: typing.Final = 0xFFFF
_MS_PER_S: typing.Final = 1000

# What decoding raises, including for an unknown kind.
_MALFORMED: typing.Final = (IndexError, *decoding.MALFORMED)

# Names of instances in one frame, which keep it below 3 KB.
NAMES_PER_FRAME: typing.Final = 40

Message = Heartbeat | Records | Digests | ConfirmationRequest | Confirmation

# The index is the number on the wire, so new kinds are appended.
_KINDS: typing.Final = (
    Heartbeat,
    Records,
    Digests,
    ConfirmationRequest,
    Confirmation,
)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    kind = _KINDS.index(type(message))
    return bytes((frame.KIND_CONTROL, kind)) + msgspec.msgpack.encode(message)


def decode(datagram: bytes) -> Message:
    """Decode a message.

    Raises:
        FramePayloadError: The datagram is malformed.
    """
    try:
        message_type = _KINDS[datagram[1]]
        message = typing.cast(
            Message, msgspec.msgpack.decode(datagram[2:], type=message_type)
        )
    except _MALFORMED as error:
        raise exceptions.FramePayloadError(str(error)) from error
    _check_values(message)
    return message


def encode_names(kind: int, names: abc.Sequence[str]) -> bytes:
    """Encode names of instances as a frame.

    Args:
        kind: ``frame.KIND_HEARD_QUERY`` or ``frame.KIND_HEARD``.
        names: At most ``NAMES_PER_FRAME`` names.
    """
    return bytes((kind,)) + msgspec.msgpack.encode(names)


def decode_names(datagram: bytes) -> tuple[str, ...]:
    """Decode a frame with names of instances.

    Raises:
        FramePayloadError: The datagram is malformed.
    """
    try:
        return msgspec.msgpack.decode(datagram[1:], type=tuple[str, ...])
    except decoding.MALFORMED as error:
        raise exceptions.FramePayloadError(str(error)) from error


def _check_values(message: Message) -> None:
    """Check the ranges of values that are used for packing and sending.

    Raises:
        FramePayloadError: A value is out of range.
    """
    records: tuple[members.InstanceRecord, ...] = ()
    state = None
    if isinstance(message, Heartbeat):
        records = (message.record,)
        state = message.configuration
    elif isinstance(message, Records):
        records = message.records
    elif isinstance(message, Confirmation):
        state = message.configuration
    if not all(map(members.is_valid, records)):
        raise exceptions.FramePayloadError(
            'a field of a record is out of range'
        )
    if state is not None and not _is_valid_state(state):
        raise exceptions.FramePayloadError(
            'age or version of the configuration is out of range'
        )


def _is_valid_state(state: ConfigurationState) -> bool:
    try:
        era = state.store_era
    except ValueError:
        return False
    versions = (state.routes_version, state.domains_revision, era)
    return _is_valid_age(state.age_s) and all(
        0 <= version <= routes.MAX_VERSION for version in versions
    )


def _is_valid_age(age_s: float) -> bool:
    return math.isfinite(age_s) and age_s >= 0


def encode_short_heartbeat(heartbeat: ShortHeartbeat) -> bytes:
    """Encode a short heartbeat as a datagram."""
    load = heartbeat.load or _NO_LOAD
    flags = (
        heartbeat.is_informed * _IS_INFORMED
        + (heartbeat.load is not None) * _IS_AGENT
        + load.accepts * _ACCEPTS
        + load.is_cold * _IS_COLD
        + load.knows_all_flows * _KNOWS_ALL_FLOWS
        + load.is_draining * _IS_DRAINING
        + load.has_report * _HAS_REPORT
        + load.is_failing * _IS_FAILING
    )
    era = heartbeat.store_era
    capacity = heartbeat.capacity
    suffix = _STORE_ERA.pack(era) if era or capacity else b''
    if capacity is not None:
        suffix += _encode_capacity(capacity)
    body = _SHORT_HEARTBEAT.pack(
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.members_digest,
        heartbeat.routes_version,
        heartbeat.domains_revision,
        heartbeat.age_s,
        min(round(heartbeat.round_s * _MS_PER_S), _MAX_COUNT),
        flags,
        min(load.slots, _MAX_COUNT),
        min(load.busy, _MAX_COUNT),
        min(load.flows, _MAX_COUNT),
        load.service_ms,
    )
    return bytes((frame.KIND_HEARTBEAT,)) + body + suffix


def decode_short_heartbeat(datagram: bytes) -> ShortHeartbeat:
    """Decode a short heartbeat.

    Raises:
        FramePayloadError: The datagram is too short, or its age invalid.
    """
    try:
        fields = _SHORT_HEARTBEAT.unpack_from(datagram, 1)
    except struct.error as error:
        raise exceptions.FramePayloadError(str(error)) from error
    if not _is_valid_age(fields[5]):
        raise exceptions.FramePayloadError(
            f'expected an age of 0 s or more, got {fields[5]}'
        )
    flags, slots, busy, flows, service_ms = fields[7:]
    load = None
    if flags & _IS_AGENT:
        load = Load(
            slots,
            busy,
            flows,
            service_ms,
            accepts=bool(flags & _ACCEPTS),
            is_cold=bool(flags & _IS_COLD),
            knows_all_flows=bool(flags & _KNOWS_ALL_FLOWS),
            is_draining=bool(flags & _IS_DRAINING),
            has_report=bool(flags & _HAS_REPORT),
            is_failing=bool(flags & _IS_FAILING),
        )
    return ShortHeartbeat(
        incarnation=fields[0],
        sequence=fields[1],
        members_digest=fields[2],
        routes_version=fields[3],
        domains_revision=fields[4],
        age_s=fields[5],
        round_s=fields[6] / _MS_PER_S,
        load=load,
        store_era=_decode_store_era(datagram),
        is_informed=bool(flags & _IS_INFORMED),
        capacity=_decode_capacity(datagram),
    )


def _encode_capacity(capacity: CapacityReport) -> bytes:
    return _CAPACITY.pack(
        *(_to_count(wait_s * _MS_PER_S) for wait_s in capacity.waits_s),
        max(_to_count(capacity.work_s * _MS_PER_S), 1),
        _to_count(capacity.committed * _COMMITTED_SCALE),
        capacity.is_answer * _IS_ANSWER
        + (_encode_relative_work(capacity) << _RELATIVE_WORK_SHIFT)
        + ((capacity.main_route & _MAIN_ROUTE_MASK) << _MAIN_ROUTE_SHIFT),
    )


def _encode_relative_work(capacity: CapacityReport) -> int:
    if capacity.main_work_s <= 0 or capacity.work_s <= 0:
        return 0
    doublings = math.log2(capacity.main_work_s / capacity.work_s)
    steps = round(_STEPS_PER_DOUBLING * doublings) + _RELATIVE_WORK_EQUAL
    return min(max(steps, 1), _RELATIVE_WORK_MASK)


def _decode_relative_work(flags: int) -> float:
    """Return the work of the main route as a multiple of the mean work."""
    steps = (flags >> _RELATIVE_WORK_SHIFT) & _RELATIVE_WORK_MASK
    if not steps:
        return 0
    return math.pow(2, (steps - _RELATIVE_WORK_EQUAL) / _STEPS_PER_DOUBLING)


def _to_count(number: float) -> int:
    """Return the nearest number that 16 bits can hold."""
    return round(min(max(number, 0), _MAX_COUNT))


def _decode_capacity(datagram: bytes) -> CapacityReport | None:
    """Return the capacity report that follows the era; None if none follows."""
    if len(datagram) < _CAPACITY_OFFSET + _CAPACITY.size:
        return None
    *waits_ms, work_ms, committed, flags = _CAPACITY.unpack_from(
        datagram, _CAPACITY_OFFSET
    )
    first, second, third, lower = (wait / _MS_PER_S for wait in waits_ms)
    return CapacityReport(
        (first, second, third, lower),
        work_ms / _MS_PER_S,
        committed / _COMMITTED_SCALE,
        is_answer=bool(flags & _IS_ANSWER),
        main_route=flags >> _MAIN_ROUTE_SHIFT,
        main_work_s=work_ms / _MS_PER_S * _decode_relative_work(flags),
    )


def _decode_store_era(datagram: bytes) -> int:
    """Return the era that follows a short heartbeat; 0 if none follows.

    Raises:
        FramePayloadError: It is out of range.
    """
    if len(datagram) < _STORE_ERA_OFFSET + _STORE_ERA.size:
        return 0
    era = _STORE_ERA.unpack_from(datagram, _STORE_ERA_OFFSET)[0]
    if era > routes.MAX_VERSION:
        raise exceptions.FramePayloadError(
            f'expected an era of at most {routes.MAX_VERSION}, got {era}'
        )
    return int(era)


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
