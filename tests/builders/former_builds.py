"""Messages of builds that do not know the era of the store.

Such a build refuses a message with a field more or less.
"""

import struct
import typing

from kumquatport.version import members

SHORT_HEARTBEAT = struct.Struct('!QIQQQfHBHHHf')


class Load(typing.NamedTuple):
    """Load of an agent's backend server."""

    slots: int
    busy: int
    flows: int
    service_ms: float
    accepts: bool
    is_cold: bool
    knows_all_flows: bool
    is_draining: bool
    has_report: bool
    is_failing: bool = False


class ConfigurationState(typing.NamedTuple):
    """Configuration that an instance uses."""

    routes_version: int
    domains_revision: int
    domains_out: tuple[str, ...]
    age_s: float
    origin: str
    changes: tuple[typing.Any, ...] = ()


class Heartbeat(typing.NamedTuple):
    """Full heartbeat."""

    record: members.InstanceRecord
    load: Load | None
    configuration: ConfigurationState
    wants_reply: bool
    receiver_was_draining: bool = False


class Confirmation(typing.NamedTuple):
    """Reply of a balancer that was not paused."""

    token: int
    configuration: ConfigurationState
    receiver_was_draining: bool
