"""Messages by which records and documents spread."""

import typing

from kumquatport.connection.control import frame
from kumquatport.version.members import record as records
from kumquatport.version.replication import const, delta

Records = tuple[records.InstanceRecord, ...]


class Heartbeat(typing.NamedTuple):
    """An instance tells an observer that it is alive.

    Attributes:
        instance: Who it is.
        incarnation: Of its present record.
        sequence: Of its present record.
        version: Version of the document it holds.
        fresh: Whether that version is confirmed.
        digest: Of the agents of its service that it knows; 0 for an observer
            that is not asked for them this time.
        wants_peers: Whether it asks for a list of observers.
        record: Its record, if this observer may not hold it.
    """

    instance: str
    incarnation: int
    sequence: int
    version: int
    fresh: bool
    digest: int
    wants_peers: bool
    record: records.InstanceRecord | None


class HeartbeatAnswer(typing.NamedTuple):
    """What an observer holds.

    Attributes:
        version: Version of the document it holds.
        fresh: Whether that version is confirmed.
        held: Its record of the instance, if it differs from the heartbeat's
            incarnation and sequence or has departed.
        known: Whether it holds a record of the instance at all.
        agents: The agents of the instance's service, if the digests differ.
        balancers: The observers that the instance should have, if asked.
        platform_age: Seconds since the platform answered anybody it knows.
    """

    version: int
    fresh: bool
    held: records.InstanceRecord | None
    known: bool
    agents: Records
    balancers: Records
    platform_age: float


class DocumentFetch(typing.NamedTuple):
    """Ask for the document, if it is newer than the version at hand."""

    version: int


class DocumentAnswer(typing.NamedTuple):
    """The version held, and the document if it is newer."""

    version: int
    fresh: bool
    update: delta.Update | None


class DocumentPush(typing.NamedTuple):
    """A new document on its way down the tree of its origin.

    Attributes:
        origin: Instance at the root.
        sender: Control endpoint that the receiver may fetch from; empty if
            there is none.
        update: The document.
    """

    origin: str
    sender: str
    update: delta.Update


class KnownVersion(typing.NamedTuple):
    """The version that the receiver of a push holds now."""

    version: int
    fresh: bool


class RecordsPush(typing.NamedTuple):
    """Changed records on their way down the tree of their origin."""

    origin: str
    records: Records


class Compare(typing.NamedTuple):
    """Compare what two balancers hold.

    Attributes:
        endpoint: Control endpoint of the asker.
        version: Version of its document.
        digest: Of all its live records.
    """

    endpoint: str
    version: int
    digest: int


class CompareAnswer(typing.NamedTuple):
    """The other's version, and its digests if the records differ."""

    version: int
    fresh: bool
    digests: tuple[int, ...]


class Exchange(typing.NamedTuple):
    """All records of some digest buckets."""

    buckets: tuple[int, ...]
    records: Records


class ExchangeAnswer(typing.NamedTuple):
    """All records of the same digest buckets."""

    records: Records


class LivenessQuery(typing.NamedTuple):
    """Ask when an instance was last heard of; also asked of itself."""

    instance: str
    incarnation: int


class LivenessAnswer(typing.NamedTuple):
    """Whether the instance was heard of within the lease."""

    heard: bool


class LapseNotice(typing.NamedTuple):
    """Tell a live instance that its lapse is being spread."""

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
