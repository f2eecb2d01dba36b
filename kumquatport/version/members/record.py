"""The record that an instance keeps of itself."""

import math
import typing

import msgspec
import xxhash

from kumquatport.version.members import const


class InstanceRecord(typing.NamedTuple):
    """What one instance says of itself; nobody else writes it.

    Attributes:
        instance: Name, unique among all instances.
        kind: ``agent`` or ``balancer``.
        region: Region of its failure domain.
        failure_domain: Name of its failure domain.
        service: Service of an agent's backend server; empty for a balancer.
        address: IPv4 address in dotted form.
        control_port: TCP port of its control messages.
        data_port: UDP port that takes forwards; 0 for a balancer.
        state: One of ``const.STATES``; only ``lapsed`` is set by others.
        weight: Share of full work that it wants now, 0 to 1.
        incarnation: Start of its process, in unix milliseconds.
        sequence: Bumped by its owner at each change.
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
    """Tell whether the instance is gone or its lease has lapsed."""
    return record.state in const.DEPARTED_STATES


def is_valid(record: InstanceRecord) -> bool:
    """Tell whether a record that came from elsewhere can be kept."""
    if not record.instance or record.state not in const.STATES:
        return False
    return math.isfinite(record.weight) and 0 <= record.weight <= 1


def precedence(record: InstanceRecord) -> tuple[typing.Any, ...]:
    """Return the key by which one record outranks another.

    A lapse ranks above the very record that it judges and below the next
    one of its owner. The record itself breaks what ties are left, so that
    any two registries that merged the same records hold the same.
    """
    lapsed = record.state == const.STATE_LAPSED
    return (record.incarnation, record.sequence, lapsed, tuple(record))


def fingerprint(record: InstanceRecord) -> int:
    """Return a 64-bit hash of all fields, the same in every process."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(record))
