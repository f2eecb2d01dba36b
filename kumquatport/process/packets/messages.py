"""What instances tell each other beside packets."""

import typing

import msgspec

from kumquatport import exceptions
from kumquatport.connection.packets import frame
from kumquatport.version import members


class Load(typing.NamedTuple):
    """How busy an agent's backend server is.

    Attributes:
        slots: Requests that it works on at a time.
        busy: Requests in progress.
        flows: Flows open or opening.
        service_ms: Mean time to the first byte of an answer, milliseconds.
        accepts: Whether new flows are taken.
        is_cold: Whether just a few new flows are taken.
        is_sure: Whether the agent knows all flows of its backend server.
    """

    slots: int
    busy: int
    flows: int
    service_ms: float
    accepts: bool
    is_cold: bool
    is_sure: bool


class Beliefs(typing.NamedTuple):
    """Which configuration an instance acts on.

    Attributes:
        routes_version: Version of the routes.
        domains_revision: Revision of the store that ``domains_out`` is of.
        domains_out: Failure domains that get no new flow.
        age_s: Seconds since the store confirmed both.
        has_watch: Whether this instance asks the store itself.
    """

    routes_version: int
    domains_revision: int
    domains_out: tuple[str, ...]
    age_s: float
    has_watch: bool


class Heartbeat(typing.NamedTuple):
    """What each instance tells its peers a few times a second.

    Attributes:
        record: Of the sender.
        load: Of an agent; None from a balancer.
        beliefs: Of the sender.
        members_digest: Digest of the records that the sender holds.
        wants_answer: Whether the sender has not heard from the receiver.
    """

    record: members.InstanceRecord
    load: Load | None
    beliefs: Beliefs
    members_digest: int
    wants_answer: bool


class Records(typing.NamedTuple):
    """Records of other instances."""

    records: tuple[members.InstanceRecord, ...]


class Digests(typing.NamedTuple):
    """Digests by bucket; the receiver answers with the records that differ."""

    digests: tuple[int, ...]


Message = Heartbeat | Records | Digests

_KINDS: typing.Final = (Heartbeat, Records, Digests)


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
