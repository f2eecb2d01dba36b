"""Instance records, and the registry that merges them."""

from kumquatport.version.members.record import (
    InstanceRecord,
    is_departed,
    precedence,
)
from kumquatport.version.members.registry import Registry

__all__ = ('InstanceRecord', 'Registry', 'is_departed', 'precedence')
