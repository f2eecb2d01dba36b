"""Record by which an instance describes itself to the others."""

import ipaddress
import math
import typing

import msgspec
import xxhash

from kumquatport.helpers import decoding
from kumquatport.version.members import const


class InstanceRecord(typing.NamedTuple):
    """State of one instance, written only by the instance itself.

    Attributes:
        instance: Name, unique among all instances.
        kind: ``agent`` or ``balancer``.
        region: Region of its failure domain.
        failure_domain: Name of its failure domain.
        service: Service of an agent's backend server; empty for a balancer.
        address: IPv4 address in dotted notation.
        control_port: TCP port for control messages.
        data_port: UDP port for forwarded packets; 0 for a balancer.
        state: One of ``const.STATES``; only ``lapsed`` is set by others.
        weight: Requested share of the full load, 0 to 1.
        incarnation: Start of its process in Unix milliseconds.
        sequence: Incremented by its owner at each change.
    """

    instance: str
    kind: str
    region: str
    failure_domain: str
    service: str
    address: str
    control_port: int
    data_port: int
    state: str
    weight: float
    incarnation: int
    sequence: int

    @property
    def endpoint(self) -> str:
        """Return ``address:control_port``."""
        return f'{self.address}:{self.control_port}'


def is_departed(record: InstanceRecord) -> bool:
    """Return whether the instance is gone or its lease has lapsed."""
    return record.state in const.DEPARTED_STATES


def is_valid(record: InstanceRecord) -> bool:
    """Return whether a received record can be stored."""
    if not record.instance or record.state not in const.STATES:
        return False
    if record.kind not in const.KINDS or not _is_address(record.address):
        return False
    ports = (record.control_port, record.data_port)
    if any(not 0 <= port <= decoding.MAX_PORT for port in ports):
        return False
    if not 0 <= record.incarnation <= const.MAX_INCARNATION:
        return False
    if not 0 <= record.sequence <= const.MAX_SEQUENCE:
        return False
    return math.isfinite(record.weight) and 0 <= record.weight <= 1


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def precedence(record: InstanceRecord) -> tuple[typing.Any, ...]:
    """Return the sort key by which one record outranks another.

    A lapsed record ranks directly above the record that it was made from and
    below the owner's next one. The record itself breaks remaining ties, so that
    any two registries that merged the same records are equal.
    """
    lapsed = record.state == const.STATE_LAPSED
    return (record.incarnation, record.sequence, lapsed, tuple(record))


def fingerprint(record: InstanceRecord) -> int:
    """Return a 64-bit hash of all fields, the same in every process."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(record))
