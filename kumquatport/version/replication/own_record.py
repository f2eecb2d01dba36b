"""This instance's own record, written by no other process."""

import math
import typing

import structlog

from kumquatport.helpers import clock, listeners
from kumquatport.version import members
from kumquatport.version.members import const as members_const

_LOGGER = structlog.get_logger(__name__)


class OwnRecord:
    """Publishes the own record and outranks foreign records of this instance.

    Attributes:
        superseded: Whether another process with the same name started later.
        confirmed: Whether an observer has stored the record. From then on, a
            higher incarnation belongs to a newer process.
        changes: Listeners called without arguments at each change.
    """

    def __init__(
        self,
        first: members.InstanceRecord,
        registry: members.Registry,
    ) -> None:
        """Merge the first record into the registry and subscribe to it.

        Args:
            first: First record of this process.
            registry: Registry of this process.
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
        """Return the current record."""
        return self._current

    def update(self, state: str | None, weight: float | None) -> None:
        """Change state or weight, unchanged where ``None``."""
        current = self._current
        changed = current._replace(
            state=current.state if state is None else state,
            weight=current.weight if weight is None else _clamp_weight(weight),
        )
        if changed != current:
            self.publish(changed._replace(sequence=current.sequence + 1))

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
        current = self._current
        if record.instance != current.instance or record == current:
            return
        if record.incarnation > current.incarnation and self.confirmed:
            self._mark_superseded(record)
            return
        self.publish(_outranking(record, current))

    def _mark_superseded(self, record: members.InstanceRecord) -> None:
        self.superseded = True
        _LOGGER.error(
            'another process uses the name of this instance',
            instance=record.instance,
            endpoint=record.endpoint,
        )


def _clamp_weight(weight: float) -> float:
    """Return a weight as a float from 0 to 1, 0 for NaN.

    An integer would be encoded differently and change the fingerprint.
    """
    if math.isnan(weight):
        weight = 0
    return float(min(max(weight, 0), 1))


def _outranking(
    record: members.InstanceRecord,
    current: members.InstanceRecord,
) -> members.InstanceRecord:
    """Return the current record, changed to outrank another record."""
    if _is_same_process(record, current):
        return current._replace(sequence=record.sequence + 1)
    # The record is from an earlier process whose clock was ahead. It may still
    # run, and only a higher incarnation shows it that it is superseded.
    return current._replace(incarnation=record.incarnation + 1, sequence=1)


def _is_same_process(
    record: members.InstanceRecord,
    current: members.InstanceRecord,
) -> bool:
    same_start = record.incarnation == current.incarnation
    same_ports = record.data_port == current.data_port
    return same_start and same_ports and record.endpoint == current.endpoint


def first_record(**fields: typing.Any) -> members.InstanceRecord:
    """Return the first record of a process.

    Args:
        **fields: Fields of ``InstanceRecord`` except state, weight,
            incarnation and sequence.
    """
    return members.InstanceRecord(
        state=members_const.STATE_STARTING,
        weight=1.0,
        incarnation=clock.unix_ms(),
        sequence=1,
        **fields,
    )
