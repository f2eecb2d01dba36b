"""Types of the document, with every default filled in."""

import typing


class FailureDomain(typing.TypedDict):
    """A failure domain; ``out`` means that it receives no packets at all."""

    name: str
    region: str
    out: bool


class TrafficClass(typing.TypedDict):
    """A kind of request of a service.

    ``deadline_s`` is None for requests without a deadline, such as feeds.
    """

    name: str
    methods: list[str]
    path_prefix: str
    repeatable: bool
    holds_slot: bool
    deadline_s: float | None


class ClientAccount(typing.TypedDict):
    """A client account of a service and its share against the others."""

    name: str
    share: float


class Limits(typing.TypedDict):
    """What one backend server of the service bears."""

    slots: int
    connections: int
    queue_s: float
    retry_budget: float
    queue_length: int


class Ramp(typing.TypedDict):
    """How work grows on a backend server that has just started."""

    start_share: float
    double_s: float


class Service(typing.TypedDict):
    """A service as callers reach it."""

    name: str
    address: str
    entry_port: int
    classes: list[TrafficClass]
    client_accounts: list[ClientAccount]
    limits: Limits
    ramp: Ramp


class Rule(typing.TypedDict):
    """Weight of a failure domain for a service's new work; 0 means none."""

    service: str
    failure_domain: str
    weight: float


class Predecessor(typing.TypedDict):
    """An accepted document that came before, newest first in the list."""

    base_version: int
    identifier: str


class Document(typing.TypedDict):
    """The whole configuration.

    Attributes:
        schema: Number of the schema.
        identifier: Unique for each attempt to put a document in force.
        base_version: Version in force that this document was made from.
        operator: Who submitted it.
        comment: Why.
        submitted_s: Unix time of the attempt, in seconds.
        predecessors: The latest documents accepted before this one.
        failure_domains: All failure domains.
        services: All services.
        rules: Weights where they differ from 1.
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
