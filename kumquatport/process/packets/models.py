"""Settings of a process and reports of backend servers."""

import typing


class Endpoint(typing.NamedTuple):
    """An IPv4 address and a port."""

    address: str
    port: int


class Bounds(typing.NamedTuple):
    """Limits that the deployment guarantees to its users.

    Attributes:
        cold_factor: Multiple of the cold rate of a service that a cold backend
            server may get.
        cold_slack: New flows per second in addition to that.
        reorder_s: Seconds within which packets of a flow may be misdelivered.
        flow_ttl_s: Age in seconds after which a flow may be forgotten.
        grace_s: Seconds between SIGTERM and SIGKILL.
        drain_s: Seconds after which a draining backend server gets no more new
            flows.
        apply_s: Seconds after which a confirmed change of the routes is in
            force everywhere.
        evacuate_s: Seconds after which a failure domain that was taken out
            gets no more new flows.
    """

    cold_factor: float
    cold_slack: float
    reorder_s: float
    flow_ttl_s: float
    grace_s: float
    drain_s: float
    apply_s: float
    evacuate_s: float

    @property
    def configuration_s(self) -> float:
        """Return the seconds in which any change in the store is in force."""
        return min(self.apply_s, self.evacuate_s)


class StoreSettings(typing.NamedTuple):
    """Settings of the platform's store.

    Attributes:
        url: Root URL.
        history_s: Seconds for which the store retains changes.
    """

    url: str
    history_s: float


class Settings(typing.NamedTuple):
    """Settings of a balancer or an agent.

    Attributes:
        instance: Unique name of this instance.
        failure_domain: Failure domain of this instance.
        region: Region of the failure domain.
        address: IPv4 address of this instance.
        peer_port: UDP and TCP port for peers, the same on all instances.
        ready: Endpoint of the readiness probe of the platform.
        entry: Endpoint that receives client packets; None for an agent.
        client_port: Port on which clients receive packets.
        heartbeats: Endpoint that receives the backend server's heartbeats;
            None for a balancer.
        outbound: Endpoint that receives the backend server's packets; None for
            a balancer.
        backend_server: Endpoint of the backend server; None for a balancer.
        service: Service of the backend server; empty for a balancer.
        heartbeat_s: Seconds between the backend server's heartbeats.
        seeds: Addresses of instances that may be running.
        is_first_start: Whether the whole deployment starts for the first time.
        store: Settings of the platform's store.
        bounds: Limits guaranteed to the users.
        metrics_port: TCP port of the metrics; 0 for none.
        link_bytes_per_s: Rate of the host's link; 0 if none is stated.
        schedules_by_class: Whether openings are queued and placed by the terms
            of their routes.
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
    link_bytes_per_s: float = 0
    schedules_by_class: bool = False


class BackendServerReport(typing.NamedTuple):
    """Heartbeat of a backend server.

    Attributes:
        identifier: Identifier of the incarnation; in rare cases several
            incarnations share it.
        service: Service that it provides.
        endpoint: Endpoint on which it receives packets.
        failure_domain: Failure domain of its host.
        slots: Requests that it processes concurrently.
        is_draining: Whether it is draining.
        cold_left_s: Seconds for which it is still cold after its start.
        sequence: Number that increases with each heartbeat of an incarnation.
        born_ms: Start time in Unix milliseconds; 0 if unknown.
    """

    identifier: str
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
    sequence: int
    born_ms: int
