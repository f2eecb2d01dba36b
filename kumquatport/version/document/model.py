"""Types of a validated document."""

import typing


class FailureDomain(typing.TypedDict):
    """A failure domain.

    It receives no packets at all while ``out`` is true.
    """

    name: str
    region: str
    out: bool


class TrafficClass(typing.TypedDict):
    """A class of requests to a service.

    ``deadline_s`` is None for requests without a deadline, such as feeds.
    """

    name: str
    methods: list[str]
    path_prefix: str
    repeatable: bool
    holds_slot: bool
    deadline_s: float | None


class ClientAccount(typing.TypedDict):
    """A client account of a service and its share in fair queueing."""

    name: str
    share: float


class Limits(typing.TypedDict):
    """Capacity limits of one backend server of the service."""

    slots: int
    connections: int
    queue_s: float
    retry_budget: float
    queue_length: int


class Ramp(typing.TypedDict):
    """Slow start: how load ramps up on a newly started backend server."""

    start_share: float
    double_s: float


class Service(typing.TypedDict):
    """A service and its listening address."""

    name: str
    address: str
    entry_port: int
    classes: list[TrafficClass]
    client_accounts: list[ClientAccount]
    limits: Limits
    ramp: Ramp


class Rule(typing.TypedDict):
    """Weight of a failure domain for a service's new flows; 0 means none."""

    service: str
    failure_domain: str
    weight: float


class Predecessor(typing.TypedDict):
    """A previously accepted document."""

    base_version: int
    identifier: str


class Document(typing.TypedDict):
    """The whole configuration.

    Attributes:
        schema: Version of the schema.
        identifier: Unique for each attempt to put a document in force.
        base_version: Version in force that this document is based on.
        operator: Name of the operator who submitted it.
        comment: Reason of the change.
        submitted_s: Unix time of the attempt, in seconds.
        predecessors: The latest documents accepted before, newest first.
        failure_domains: All failure domains.
        services: All services.
        rules: Failure domain weights that differ from 1.
    """

    schema: int
    identifier: str
    base_version: int
    operator: str
    comment: str
    submitted_s: float
    predecessors: list[Predecessor]
    failure_domains: list[FailureDomain]
    services: list[Service]
    rules: list[Rule]
