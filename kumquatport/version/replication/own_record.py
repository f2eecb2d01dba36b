"""This instance's own record, which nobody else writes."""

import math
import typing

import structlog

from kumquatport.helpers import clock, listeners
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)


class OwnRecord:
    """Goes above whatever others hold of this instance and it did not say.

    Attributes:
        superseded: Whether another process runs under the same name and
            started later.
        confirmed: Whether an observer has held the record; from then on a
            higher incarnation is a younger process's.
        changes: Called back, without arguments, at each change.
    """

    def __init__(
        self,
        first: members.InstanceRecord,
        registry: members.Registry,
    ) -> None:
        """Put the first record into the registry and follow it there.

        Args:
            first: First record of this process.
            registry: Of this process.
        """
        self.superseded = False
        self.confirmed = False
        self.changes: listeners.Listeners[typing.Any] = listeners.Listeners()
        self._current = first
        self._registry = registry
        registry.merge(first)
        registry.subscribe(self._on_record)

    @property
    def current(self) -> members.InstanceRecord:
        """Return the record as it is now."""
        return self._current

    def update(self, state: str | None, weight: float | None) -> None:
        """Change state or weight, unchanged where ``None``."""
        present = self._current
        changed = present._replace(
            state=present.state if state is None else state,
            weight=present.weight if weight is None else _share(weight),
        )
        if changed != present:
            self.publish(changed._replace(sequence=present.sequence + 1))

    def publish(self, record: members.InstanceRecord) -> None:
        """Replace the record."""
        self._current = record
        self._registry.merge(record)
        self.changes.notify()

    def _on_record(
        self,
        record: members.InstanceRecord,
        _previous: members.InstanceRecord | None,
    ) -> None:
        present = self._current
        if record.instance != present.instance or record == present:
            return
        if record.incarnation > present.incarnation and self.confirmed:
            self._mark_superseded(record)
            return
        self.publish(_above(record, present))

    def _mark_superseded(self, record: members.InstanceRecord) -> None:
        self.superseded = True
        _LOGGER.error(
            'another process runs under this name',
            instance=record.instance,
            endpoint=record.endpoint,
        )


def _share(weight: float) -> float:
    """Return a weight as all processes encode it, a float from 0 to 1."""
    if math.isnan(weight):
        weight = 0
    return float(min(max(weight, 0), 1))


def _above(
    record: members.InstanceRecord,
    present: members.InstanceRecord,
) -> members.InstanceRecord:
    """Return the present record such that it outranks another."""
    if _is_same_process(record, present):
        return present._replace(sequence=record.sequence + 1)
    # Of an earlier process whose clock was ahead, which may even live on
    # and must see that it has been superseded.
    return present._replace(incarnation=record.incarnation + 1, sequence=1)


def _is_same_process(
    record: members.InstanceRecord,
    own: members.InstanceRecord,
) -> bool:
    same_start = record.incarnation == own.incarnation
    same_ports = record.data_port == own.data_port
    return same_start and same_ports and record.endpoint == own.endpoint


def first_record(**fields: typing.Any) -> members.InstanceRecord:
    """Return the first record of a process.

    Args:
        **fields: Those of ``InstanceRecord`` but for state, weight,
            incarnation and sequence.
    """
    return members.InstanceRecord(
        state=members_const.STATE_STARTING,
        weight=1.0,
        incarnation=clock.unix_ms(),
        sequence=1,
        **fields,
    )
