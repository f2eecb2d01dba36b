"""Leases of the instances that report to this balancer."""

import typing
from collections import abc

from kumquatport.helpers import clock
from kumquatport.version.replication import const


class HeartbeatLease(typing.NamedTuple):
    """Since when an instance's lease runs, and when it was last heard.

    The two differ when the lease was granted without hearing the instance:
    what others said of it must not pass for having heard it.
    """

    started_at: float
    heard_at: float


class HeartbeatLeases:
    """When each observed instance was heard."""

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Start without leases.

        Args:
            now: Monotonic seconds.
        """
        self._now = now
        self._leases: dict[str, HeartbeatLease] = {}

    def __len__(self) -> int:
        """Return how many instances are observed."""
        return len(self._leases)

    def __contains__(self, instance: str) -> bool:
        """Tell whether an instance is observed."""
        return instance in self._leases

    def get(self, instance: str) -> HeartbeatLease | None:
        """Return the lease of an instance."""
        return self._leases.get(instance)

    def record_heartbeat(self, instance: str) -> None:
        """Note a heartbeat."""
        now = self._now()
        self._leases[instance] = HeartbeatLease(now, now)

    def grant(self, instance: str) -> None:
        """Start a lease of an instance that was not heard just now."""
        before = self._leases.get(instance)
        heard_at = before.heard_at if before else 0
        self._leases[instance] = HeartbeatLease(self._now(), heard_at)

    def restart_all(self) -> None:
        """Start all leases anew, after this process was paused."""
        for instance in self._leases:
            self.grant(instance)

    def drop(self, instance: str) -> None:
        """Stop to observe an instance."""
        self._leases.pop(instance, None)

    def is_heard_recently(self, instance: str) -> bool:
        """Tell whether an instance was heard within the lease."""
        lease = self._leases.get(instance)
        if lease is None:
            return False
        return self._now() - lease.heard_at < const.HEARTBEAT_LEASE_S

    def expired(self) -> list[str]:
        """Return the instances whose lease ran out."""
        limit = self._now() - const.HEARTBEAT_LEASE_S
        return [
            instance
            for instance, lease in self._leases.items()
            if lease.started_at < limit
        ]

    def are_others_silent(self, suspect: str, asked_at: float) -> bool:
        """Tell whether all others were silent before a time as well.

        Args:
            suspect: Instance that does not count.
            asked_at: When the question came up.
        """
        others = [
            lease.heard_at
            for instance, lease in self._leases.items()
            if instance != suspect
        ]
        return bool(others) and max(others) < asked_at - const.OTHERS_SILENT_S
