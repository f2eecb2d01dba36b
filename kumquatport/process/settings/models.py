"""Settings of each program as named tuples."""

import typing


class Secret(bytes):  # noqa: WPS600 - codecs need an instance of bytes
    """Key bytes whose text form is masked in logs and messages."""

    def __repr__(self) -> str:
        return 'Secret(***)'

    def __str__(self) -> str:
        return repr(self)


class Endpoint(typing.NamedTuple):
    """An IPv4 address and a port."""

    address: str
    port: int


class PlatformSettings(typing.NamedTuple):
    """Object API of the platform.

    Attributes:
        url: Base URL of the API.
        timeout_s: Timeout of one call, in seconds.
    """

    url: str
    timeout_s: float


class StatsdSettings(typing.NamedTuple):
    """StatsD server that receives the metrics over UDP."""

    host: str
    port: int
    prefix: str


class LogSettings(typing.NamedTuple):
    """Log settings.

    Attributes:
        format: ``json`` or ``console``.
        level: Lowest level that is logged.
    """

    format: str
    level: str


class TlsSettings(typing.NamedTuple):
    """Certificate and key.

    Each is an absolute path, or ``platform:KEY`` for an object of the platform.
    """

    certificate: str
    key: str


class OperatorSettings(typing.NamedTuple):
    """An operator who may sign in.

    Attributes:
        name: Name of the operator.
        password_hash: Hash in the encoded form of argon2.
    """

    name: str
    password_hash: str


class CommonSettings(typing.NamedTuple):
    """Settings that every program has.

    Attributes:
        instance: Unique name of this instance.
        failure_domain: Failure domain of this instance.
        region: Region of the failure domain.
        address: IPv4 address at which other instances reach this one.
        listen_address: IPv4 address to which the sockets are bound.
        control_port: TCP port for control messages; 0 for none.
        status_port: TCP port of the status server (HTTP).
        platform: Object API of the platform.
        seeds: Control endpoints of initial peers.
        shared_key: 32-byte key that all instances share.
        statsd: Server that receives the metrics.
        log: Format and level of the log.
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
        common: Settings that every program has.
        service: Service of the backend server next to this agent.
        data_port: UDP port that receives forwarded packets.
        backend_server: Endpoint on which the backend server listens.
        tls: Certificate and key presented to clients.
    """

    common: CommonSettings
    service: str
    data_port: int
    backend_server: Endpoint
    tls: TlsSettings


class ConsoleSettings(typing.NamedTuple):
    """Settings of ``kumquatport-console``.

    Attributes:
        common: Settings that every program has; the control port may be 0.
        listen: Endpoint on which the forms are served.
        operators: Operators who may sign in.
        session_key: 32-byte key that signs the session cookies.
        tls: Certificate and key of the server; None serves plain HTTP.
        instances: URLs of the status servers queried for the current load.
    """

    common: CommonSettings
    listen: Endpoint
    operators: tuple[OperatorSettings, ...]
    session_key: Secret
    tls: TlsSettings | None
    instances: tuple[str, ...] = ()
