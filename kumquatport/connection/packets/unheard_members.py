"""Expiry of members that this process knows only from reports of others.

The store, or a peer, reports the record of an instance that may be lost. Two
processes that report the same record to each other must not keep it, and an
instance that others hear must not be removed here. So a report does not prolong
a record, and only the statement of a process that hears the instance does.
"""

import math
import typing
from collections import abc

from kumquatport.helpers import clock
from kumquatport.version import members

# Seconds without evidence after which others are asked whether they hear a
# member. In the rest of its time each of up to 30 balancers is asked.
DOUBT_S: typing.Final = 60.0

# Seconds between the first question and the expiry, in which answers arrive. A
# process that was paused must ask before it expires anything.
ANSWER_S: typing.Final = 3.0

# Seconds for which reports of an expired record are refused, counted from the
# latest report. Others that have the record expire it within this time.
REFUSAL_S: typing.Final = 300.0

# Members asked about in one heartbeat round, in four frames.
MAX_QUERIED: typing.Final = 160


class _Expired(typing.NamedTuple):
    precedence: tuple[typing.Any, ...]
    refused_at: float


class UnheardMembers:
    """Evidence of the members that are not heard, and those that expired."""

    def __init__(self, expiry_s: float) -> None:
        """Start without members.

        Args:
            expiry_s: Seconds without evidence after which a member expires.
        """
        self._expiry_s = expiry_s
        self._evidence_at: dict[str, float] = {}
        self._first_queried_at: dict[str, float] = {}
        self._queried_at: dict[str, float] = {}
        self._expired: dict[str, _Expired] = {}

    def note_learned(self, instance: str) -> None:
        """Record that a new or changed record has been reported.

        Args:
            instance: Name of its instance, which has not been heard.
        """
        self._note_evidence(instance, clock.now())

    def note_heard(self, instance: str) -> None:
        """Record that an instance has been heard by this process."""
        self.remove(instance)
        self._expired.pop(instance, None)

    def note_silent(self, instance: str, heard_at: float) -> None:
        """Record that an instance that was heard is silent.

        Args:
            instance: Name of the instance.
            heard_at: Monotonic seconds when it was last heard.
        """
        self._evidence_at.setdefault(instance, heard_at)

    def note_heard_elsewhere(self, instance: str) -> None:
        """Record that another process hears an instance."""
        self._expired.pop(instance, None)
        if instance in self._evidence_at:
            self._note_evidence(instance, clock.now())

    def remove(self, instance: str) -> None:
        """Remove the evidence of an instance."""
        self._evidence_at.pop(instance, None)
        self._first_queried_at.pop(instance, None)
        self._queried_at.pop(instance, None)

    def expire(self, record: members.InstanceRecord) -> None:
        """Refuse a record from now on, since its instance has expired."""
        self.remove(record.instance)
        self._expired[record.instance] = _Expired(
            members.precedence(record), clock.now()
        )

    def is_refused(self, record: members.InstanceRecord) -> bool:
        """Return whether a reported record is one that has expired.

        A later record shows that the instance was alive after the expired one.
        """
        expired = self._expired.get(record.instance)
        if expired is None or members.precedence(record) > expired.precedence:
            return False
        self._expired[record.instance] = expired._replace(
            refused_at=clock.now()
        )
        return True

    def next_queried(self) -> list[str]:
        """Return the members to ask others about now, and mark them as asked.

        Those that were asked about last come last.
        """
        now = clock.now()
        doubtful = sorted(
            (
                instance
                for instance, evidence_at in self._evidence_at.items()
                if now - evidence_at > DOUBT_S
            ),
            key=lambda instance: self._queried_at.get(instance, 0),
        )
        queried = doubtful[:MAX_QUERIED]
        for instance in queried:
            self._first_queried_at.setdefault(instance, now)
            self._queried_at[instance] = now
        return queried

    def due(self) -> abc.Iterator[str]:
        """Yield the members that expire now, and forget old refusals."""
        now = clock.now()
        for instance, expired in tuple(self._expired.items()):
            if now - expired.refused_at > REFUSAL_S:
                self._expired.pop(instance)
        for name, evidence_at in tuple(self._evidence_at.items()):
            queried_at = self._first_queried_at.get(name, now)
            if (
                now - evidence_at > self._expiry_s
                and now - queried_at >= ANSWER_S
            ):
                yield name

    def has_evidence(self, instance: str) -> bool:
        """Return whether there is evidence that has not expired."""
        evidence_at = self._evidence_at.get(instance, -math.inf)
        return clock.now() - evidence_at <= self._expiry_s

    def _note_evidence(self, instance: str, moment: float) -> None:
        self._evidence_at[instance] = moment
        self._first_queried_at.pop(instance, None)
