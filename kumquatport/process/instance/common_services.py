"""Services that balancers and agents have in common."""

import time
import typing

import mode

import kumquatport
from kumquatport.platform import client
from kumquatport.process.metrics import control_usage, flusher
from kumquatport.process.metrics import registry as metrics_registry
from kumquatport.process.settings import models
from kumquatport.process.status import const as status_const
from kumquatport.process.status import models as status_models
from kumquatport.process.status import server
from kumquatport.version import document as documents
from kumquatport.version import members
from kumquatport.version.replication import membership, own_record


class Role(typing.NamedTuple):
    """Role of an instance.

    Attributes:
        kind: ``agent`` or ``balancer``.
        service: Name of an agent's service; empty for a balancer.
        data_port: UDP port where an agent receives forwards; 0 for a balancer.
    """

    kind: str
    service: str
    data_port: int


class CommonServices(typing.NamedTuple):
    """Services shared by every instance.

    Attributes:
        platform: Client of the platform.
        membership: Membership of the instance: records, tables and the
            document in force.
        metrics: Counters, gauges and histograms.
        flusher: Sends the metrics to the statsd receiver.
        status: HTTP server for status requests.
    """

    platform: client.PlatformClient
    membership: membership.Membership
    metrics: metrics_registry.Registry
    flusher: flusher.Flusher
    status: server.Server

    @property
    def services(self) -> tuple[mode.Service, ...]:
        """The ``mode`` services, in the order in which they start."""
        return (self.platform, self.membership, self.status, self.flusher)


def build(common: models.CommonSettings, role: Role) -> CommonServices:
    """Build the common services of one instance; start nothing.

    Args:
        common: Settings that all programs share.
        role: Role of the instance.
    """
    metrics = metrics_registry.Registry()
    platform = client.PlatformClient(
        common.platform.url,
        common.platform.timeout_s,
    )
    member = membership.Membership(
        _own_record(common, role),
        tuple(f'{seed.address}:{seed.port}' for seed in common.seeds),
        common.shared_key,
        platform,
        documents.parse,
        common.listen_address,
    )
    control_usage.track(
        metrics,
        (platform, member),
        lambda: member.traffic.totals,
    )
    started_at = time.monotonic()

    def build_status() -> status_models.Status:
        return _build_status(member, metrics, started_at)

    return CommonServices(
        platform=platform,
        membership=member,
        metrics=metrics,
        flusher=flusher.Flusher(
            common.statsd,
            metrics,
            role.kind,
            common.instance,
        ),
        status=server.Server(
            common.listen_address,
            common.status_port,
            build_status,
            metrics,
        ),
    )


def _own_record(
    common: models.CommonSettings,
    role: Role,
) -> members.InstanceRecord:
    return own_record.first_record(
        instance=common.instance,
        kind=role.kind,
        region=common.region,
        failure_domain=common.failure_domain,
        service=role.service,
        address=common.address,
        control_port=common.control_port,
        data_port=role.data_port,
    )


def _build_status(
    member: membership.Membership,
    metrics: metrics_registry.Registry,
    started_at: float,
) -> status_models.Status:
    own = member.announcer.own
    records = member.registry.all_records()
    counts: dict[str, int] = {}
    for record in records:
        label = f'{record.kind}.{record.state}'
        counts[label] = counts.get(label, 0) + 1
    return status_models.Status(
        instance=own.instance,
        kind=own.kind,
        failure_domain=own.failure_domain,
        service=own.service,
        state=own.state,
        release=kumquatport.__version__,
        document_version=member.reported_version or 0,
        uptime_s=time.monotonic() - started_at,
        member_counts=counts,
        members=[
            _member_status(record)
            for record in records[: status_const.MAX_LISTED_MEMBERS]
        ],
        metrics=metrics.snapshot(),
    )


def _member_status(
    record: members.InstanceRecord,
) -> status_models.MemberStatus:
    return status_models.MemberStatus(
        instance=record.instance,
        kind=record.kind,
        failure_domain=record.failure_domain,
        service=record.service,
        state=record.state,
        weight=record.weight,
    )
