"""Builders of packets, settings, reports and records for packet processes."""

import ipaddress
import struct
import typing

from kumquatport.connection.packets import packet as packets
from kumquatport.connection.packets import request_class
from kumquatport.platform import packet as codec
from kumquatport.process.packets import messages, models
from kumquatport.version import members, routes
from kumquatport.version.members import const as members_const

CLIENT = '100.64.0.7'
SERVICE = ('198.18.0.1', 443)
SYN, ACK, FIN, RST, BOUNCED = 1, 16, 8, 128, 32
HEAD = struct.Struct('<IIHHIIIB5sHI')


def flow(port: int = 40001, service: tuple[str, int] = SERVICE) -> bytes:
    """Return the key of a flow of the client."""
    return struct.pack(
        '<IIHH',
        int(ipaddress.IPv4Address(CLIENT)),
        int(ipaddress.IPv4Address(service[0])),
        port,
        service[1],
    )


def datagram(
    ends: bytes,
    flags: int = ACK,
    *,
    sequence: int = 1,
    acknowledged: int = 0,
    data: bytes = b'',
    mark: int = 0,
    named_service: str = '',
) -> bytes:
    """Return a packet in the wire format of the platform.

    Args:
        ends: Key of the flow.
        flags: Flags of the header.
        sequence: Sequence number.
        acknowledged: Acknowledgement number.
        data: Body.
        mark: Mark that a bounce preserves.
        named_service: Service that the forwarding instance names; none if
            empty.
    """
    tag = packets.service_tag(named_service) if named_service else 0
    head = HEAD.pack(
        *struct.unpack('<IIHH', ends),
        0xA1B2C3D5,
        sequence,
        acknowledged,
        flags,
        tag.to_bytes(5, 'little'),
        len(data),
        mark,
    )
    return head + data


def answer(ends: bytes, flags: int = ACK, **fields: typing.Any) -> bytes:
    """Return a packet from the backend server of a flow."""
    reverse_flow = ends[4:8] + ends[:4] + ends[10:12] + ends[8:10]
    return datagram(reverse_flow, flags, **fields)


def settings(**fields: typing.Any) -> models.Settings:
    """Return the settings of an agent."""
    defaults = models.Settings(
        instance='side-1',
        failure_domain='a',
        region='r',
        address='10.0.0.2',
        peer_port=7000,
        ready=models.Endpoint('10.0.0.2', 1),
        entry=None,
        client_port=9000,
        heartbeats=models.Endpoint('10.0.0.2', 2),
        outbound=models.Endpoint('10.0.0.2', 3),
        backend_server=models.Endpoint('10.0.0.2', 4),
        service='store',
        heartbeat_s=1.0,
        seeds=(),
        is_first_start=False,
        store=models.StoreSettings('http://127.0.0.1:1', 20.0),
        bounds=models.Bounds(
            cold_factor=1.5,
            cold_slack=5,
            reorder_s=2.0,
            flow_ttl_s=60.0,
            grace_s=6.0,
            drain_s=3.0,
            apply_s=3.0,
            evacuate_s=5.0,
        ),
        schedules_by_class=True,
    )
    return defaults._replace(**fields)


def report(**fields: typing.Any) -> models.BackendServerReport:
    """Return a heartbeat of a backend server."""
    defaults = models.BackendServerReport(
        identifier='i-1',
        service='store',
        endpoint=models.Endpoint('10.0.0.2', 4),
        failure_domain='a',
        slots=5,
        is_draining=False,
        cold_left_s=0.0,
        sequence=1,
        born_ms=0,
    )
    return defaults._replace(**fields)


def load(**fields: typing.Any) -> messages.Load:
    """Return the load of a healthy agent."""
    defaults = messages.Load(
        slots=5,
        busy=0,
        flows=0,
        service_ms=50.0,
        accepts=True,
        is_cold=False,
        knows_all_flows=True,
        is_draining=False,
        has_report=True,
    )
    return defaults._replace(**fields)


def record(instance: str, **fields: typing.Any) -> members.InstanceRecord:
    """Return the record of an agent."""
    defaults = members.InstanceRecord(
        instance=instance,
        kind=members.KIND_AGENT,
        region='r',
        failure_domain='a',
        service='store',
        address='10.0.0.9',
        control_port=7000,
        data_port=7000,
        state=members_const.STATE_READY,
        weight=1.0,
        incarnation=1,
        sequence=1,
    )
    return defaults._replace(**fields)


def table(
    version: int = 1,
    service: str = 'store',
    terms: request_class.RequestClass | None = None,
) -> routes.RouteTable:
    """Return routes that send the client's flows to a service."""
    address = int(ipaddress.IPv4Address(SERVICE[0]))
    shares = (routes.WeightedService(service, 1.0),)
    route = routes.Route(address, SERVICE[1], routes.with_terms(shares, terms))
    return routes.RouteTable(
        version,
        {(address, SERVICE[1]): route},
        {service: routes.ServiceConfig(service, 4.0, '/health')},
        15.0,
    )


CODEC = codec.CODEC


def number(address: str) -> int:
    """Return an IPv4 address as a number."""
    return int(ipaddress.IPv4Address(address))
