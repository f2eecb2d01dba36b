"""What a process that carries packets is told at start and by others."""

import typing


class Endpoint(typing.NamedTuple):
    """An IPv4 address and a port."""

    address: str
    port: int


class Bounds(typing.NamedTuple):
    """Limits that the deployment promises its users.

    Attributes:
        cold_factor: Times the rate that a cold backend server bears.
        cold_slack: New flows a second on top of that.
        reorder_s: Seconds within which packets of a flow may take wrong ways.
        flow_ttl_s: Age in seconds after which a flow may be forgotten.
        grace_s: Seconds from SIGTERM to SIGKILL.
        drain_s: Seconds within which a draining backend server gets no more
            new flows.
    """

    cold_factor: float
    cold_slack: float
    reorder_s: float
    flow_ttl_s: float
    grace_s: float
    drain_s: float


class StoreSettings(typing.NamedTuple):
    """The platform's store.

    Attributes:
        url: Its root.
        history_s: Seconds of changes that it remembers.
    """

    url: str
    history_s: float


class Settings(typing.NamedTuple):
    """Settings of one process.

    Attributes:
        instance: Unique name of this instance.
        failure_domain: Failure domain it is in.
        region: Region of that.
        address: Its IPv4 address.
        peer_port: Port for other instances, UDP and TCP; the same everywhere.
        ready: Where the platform asks whether it takes packets.
        entry: Where clients' packets arrive; None for an agent.
        client_port: Port at which clients take packets.
        heartbeats: Where the backend server sends its heartbeats; None for
            a balancer.
        outbound: Where the backend server sends its packets; None for a
            balancer.
        backend_server: Where the backend server takes packets; None for a
            balancer.
        service: Service of the backend server; empty for a balancer.
        heartbeat_s: Seconds between the backend server's heartbeats.
        seeds: Addresses of instances that may be up.
        is_first_start: Whether the whole deployment starts for the first time.
        store: The platform's store.
        bounds: Limits promised to the users.
        metrics_port: TCP port of its metrics; 0 for none.
    """

    instance: str
    failure_domain: str
    region: str
    address: str
    peer_port: int
    ready: Endpoint
    entry: Endpoint | None
    client_port: int
    heartbeats: Endpoint | None
    outbound: Endpoint | None
    backend_server: Endpoint | None
    service: str
    heartbeat_s: float
    seeds: tuple[str, ...]
    is_first_start: bool
    store: StoreSettings
    bounds: Bounds
    metrics_port: int = 0


class BackendServerReport(typing.NamedTuple):
    """A heartbeat of a backend server.

    Attributes:
        identifier: Names its incarnation, in most cases.
        service: Service that it runs.
        endpoint: Where it takes packets.
        slots: Requests that it works on at a time.
        is_draining: Whether it is about to leave.
        cold_left_s: Seconds for which it stays slow after its start.
        sequence: Grows with each heartbeat of an incarnation.
        born_ms: Its start, in unix milliseconds; 0 where it is not told.
    """

    identifier: str
    service: str
    endpoint: Endpoint
    slots: int
    is_draining: bool
    cold_left_s: float
    sequence: int
    born_ms: int
