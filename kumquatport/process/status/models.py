"""Status of a process and of the instances it knows."""

import typing

from kumquatport.process.metrics import registry


class MemberStatus(typing.TypedDict):
    """Summary of one known instance."""

    instance: str
    kind: str
    failure_domain: str
    service: str
    state: str
    weight: float


class Status(typing.TypedDict):
    """Status of a process, the response to ``GET /status``.

    Attributes:
        instance: Name of the instance.
        kind: balancer, agent or console.
        failure_domain: Its failure domain.
        service: Name of an agent's service; empty for other kinds.
        state: starting, ready, leaving or gone.
        release: Version of the program.
        document_version: Version of the document in force; 0 without one.
        uptime_s: Seconds since the start of the process.
        member_counts: Number of known instances for each ``kind.state``.
        members: Known instances, at most ``const.MAX_LISTED_MEMBERS``.
        metrics: Counters, gauges and histograms.
    """

    instance: str
    kind: str
    failure_domain: str
    service: str
    state: str
    release: str
    document_version: int
    uptime_s: float
    member_counts: dict[str, int]
    members: list[MemberStatus]
    metrics: registry.Snapshot
