"""Settings of each program, as typed tuples."""

import typing


class Secret(bytes):  # noqa: WPS600 - callers need real bytes for their codecs
    """Key bytes that do not show in logs or messages."""

    def __repr__(self) -> str:
        return 'Secret(***)'

    def __str__(self) -> str:
        return repr(self)


class Endpoint(typing.NamedTuple):
    """An IPv4 address and a port."""

    address: str
    port: int


class PlatformSettings(typing.NamedTuple):
    """Where the platform's object API is; ``timeout_s`` is for one call."""

    url: str
    timeout_s: float


class StatsdSettings(typing.NamedTuple):
    """Where metrics go, over UDP."""

    host: str
    port: int
    prefix: str


class LogSettings(typing.NamedTuple):
    """``format`` is json or console; ``level`` the lowest level shown."""

    format: str
    level: str


class TlsSettings(typing.NamedTuple):
    """Absolute paths, or ``platform:KEY`` for objects of the platform."""

    certificate: str
    key: str


class OperatorSettings(typing.NamedTuple):
    """An operator who may sign in; the hash is argon2's encoded form."""

    name: str
    password_hash: str


class CommonSettings(typing.NamedTuple):
    """What every program has.

    Attributes:
        instance: Unique name of this instance.
        failure_domain: Failure domain this instance is in.
        region: Region the failure domain is in.
        address: IPv4 address by which others reach this instance.
        listen_address: IPv4 address that its sockets are bound to.
        control_port: TCP port for control messages; 0 for none.
        status_port: TCP port for status over HTTP.
        platform: The platform's object API.
        seeds: Control endpoints of some peers.
        shared_key: 32 bytes that all instances share.
        statsd: Receiver of the metrics.
        log: Form of the log.
    """

    instance: str
    failure_domain: str
    region: str
    address: str
    listen_address: str
    control_port: int
    status_port: int
    platform: PlatformSettings
    seeds: tuple[Endpoint, ...]
    shared_key: Secret
    statsd: StatsdSettings
    log: LogSettings


class BalancerSettings(typing.NamedTuple):
    """Settings of ``kumquatport-balancer``."""

    common: CommonSettings


class AgentSettings(typing.NamedTuple):
    """Settings of ``kumquatport-agent``.

    Attributes:
        common: What every program has.
        service: Service of the backend server beside this agent.
        data_port: UDP port that takes forwards.
        backend_server: Where the backend server listens.
        tls: Certificate and key shown to callers.
    """

    common: CommonSettings
    service: str
    data_port: int
    backend_server: Endpoint
    tls: TlsSettings


class ConsoleSettings(typing.NamedTuple):
    """Settings of ``kumquatport-console``.

    Attributes:
        common: What every program has; its control port may be 0.
        listen: Where the forms are served.
        operators: Who may sign in.
        session_key: 32 bytes that sign the session cookies.
        tls: Certificate and key shown to operators; None serves plain HTTP.
        instances: Status servers asked for the present load.
    """

    common: CommonSettings
    listen: Endpoint
    operators: tuple[OperatorSettings, ...]
    session_key: Secret
    tls: TlsSettings | None
    instances: tuple[str, ...] = ()
