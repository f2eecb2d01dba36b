"""What a process says about itself."""

import typing

from kumquatport.process.metrics import registry


class MemberStatus(typing.TypedDict):
    """One instance that this process knows."""

    instance: str
    kind: str
    failure_domain: str
    service: str
    state: str
    weight: float


class Status(typing.TypedDict):
    """State of a process, answered at ``GET /status``.

    Attributes:
        instance: Name of the instance.
        kind: balancer, agent or console.
        failure_domain: Its failure domain.
        service: Service of an agent's backend server; empty for others.
        state: starting, ready, leaving or gone.
        release: Version of the program.
        document_version: Version of the document in force; 0 for none.
        uptime_s: Seconds since the start.
        member_counts: Number of known instances for each ``kind.state``.
        members: Known instances, the first few hundred.
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
