"""Instance records and the registry that merges them."""

from kumquatport.version.members.const import KIND_AGENT, KIND_BALANCER
from kumquatport.version.members.record import (
    InstanceRecord,
    fingerprint,
    is_departed,
    is_valid,
    precedence,
)
from kumquatport.version.members.registry import Registry

__all__ = (
    'KIND_AGENT',
    'KIND_BALANCER',
    'InstanceRecord',
    'Registry',
    'fingerprint',
    'is_departed',
    'is_valid',
    'precedence',
)
