"""Messages that replicate records and documents."""

import typing

from kumquatport.connection.control import frame
from kumquatport.version.members import record as records
from kumquatport.version.replication import const, delta

Records = tuple[records.InstanceRecord, ...]


class Heartbeat(typing.NamedTuple):
    """Heartbeat from an instance to one of its observers.

    Attributes:
        instance: Name of the sender.
        incarnation: Incarnation of its current record.
        sequence: Sequence of its current record.
        version: Version of the document it holds.
        fresh: Whether that version is confirmed.
        agents_digest: Digest of the agents of its service that it knows; 0 if
            it does not request them from this observer.
        wants_observers: Whether it requests a list of observers.
        record: Its record, if the observer may not have it.
    """

    instance: str
    incarnation: int
    sequence: int
    version: int
    fresh: bool
    agents_digest: int
    wants_observers: bool
    record: records.InstanceRecord | None


class HeartbeatAnswer(typing.NamedTuple):
    """Answer of an observer to a heartbeat.

    Attributes:
        version: Version of the document the observer holds.
        fresh: Whether that version is confirmed.
        held_record: Its record of the instance, if newer than the incarnation
            and sequence of the heartbeat, or departed.
        known: Whether it has that record of the instance or a newer one.
        agents: Changed agents of the instance's service, if the digests differ.
        balancers: Balancers that should observe the instance, if requested.
        platform_age: Seconds since the platform's latest known answer to any
            process.
    """

    version: int
    fresh: bool
    held_record: records.InstanceRecord | None
    known: bool
    agents: Records
    balancers: Records
    platform_age: float


class DocumentFetch(typing.NamedTuple):
    """Request for the document, if newer than the requester's version."""

    version: int


class DocumentAnswer(typing.NamedTuple):
    """Version of the answering process, and the document if it is newer."""

    version: int
    fresh: bool
    update: delta.Update | None


class DocumentPush(typing.NamedTuple):
    """New document, relayed down the broadcast tree of its origin.

    Attributes:
        origin: Name of the instance at the root.
        sender: Control endpoint that the receiver can fetch from; empty if
            there is none.
        update: Update to the document.
    """

    origin: str
    sender: str
    update: delta.Update


class KnownVersion(typing.NamedTuple):
    """Version that the receiver holds after a push."""

    version: int
    fresh: bool


class RecordsPush(typing.NamedTuple):
    """Changed records, relayed down the broadcast tree of their origin."""

    origin: str
    records: Records


class Compare(typing.NamedTuple):
    """Request to compare the state of two balancers.

    Attributes:
        endpoint: Control endpoint of the requester.
        version: Version of its document.
        digest: Digest of all its live records.
    """

    endpoint: str
    version: int
    digest: int


class CompareAnswer(typing.NamedTuple):
    """Version of the answering balancer; bucket digests if they differ."""

    version: int
    fresh: bool
    digests: tuple[int, ...]


class Exchange(typing.NamedTuple):
    """All records of some digest buckets of the requester."""

    buckets: tuple[int, ...]
    records: Records


class ExchangeAnswer(typing.NamedTuple):
    """All records of the same digest buckets of the answering balancer."""

    records: Records


class LivenessQuery(typing.NamedTuple):
    """Query whether an instance is alive, to its observers or to itself."""

    instance: str
    incarnation: int


class LivenessAnswer(typing.NamedTuple):
    """Whether the instance is alive.

    An observer answers whether it received a heartbeat within the lease.
    """

    is_alive: bool


class LapseNotice(typing.NamedTuple):
    """Notifies a live instance that a lapsed record of it is replicated."""

    lapse: records.InstanceRecord


frame.register(const.KIND_LAPSE_NOTICE, LapseNotice)
frame.register(const.KIND_HEARTBEAT, Heartbeat)
frame.register(const.KIND_HEARTBEAT_ANSWER, HeartbeatAnswer)
frame.register(const.KIND_DOCUMENT_FETCH, DocumentFetch)
frame.register(const.KIND_DOCUMENT_ANSWER, DocumentAnswer)
frame.register(const.KIND_DOCUMENT_PUSH, DocumentPush)
frame.register(const.KIND_KNOWN_VERSION, KnownVersion)
frame.register(const.KIND_RECORDS_PUSH, RecordsPush)
frame.register(const.KIND_COMPARE, Compare)
frame.register(const.KIND_COMPARE_ANSWER, CompareAnswer)
frame.register(const.KIND_EXCHANGE, Exchange)
frame.register(const.KIND_EXCHANGE_ANSWER, ExchangeAnswer)
frame.register(const.KIND_LIVENESS_QUERY, LivenessQuery)
frame.register(const.KIND_LIVENESS_ANSWER, LivenessAnswer)
