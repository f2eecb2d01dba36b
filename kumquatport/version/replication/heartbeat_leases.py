"""Leases of the instances that send heartbeats to this balancer."""

import typing
from collections import abc

from kumquatport.helpers import clock
from kumquatport.version.replication import const


class HeartbeatLease(typing.NamedTuple):
    """Start of an instance's lease, and time of its last heartbeat.

    The two differ if the lease was granted without a heartbeat, for example
    because a peer confirmed the instance. Such reports must not count as
    heartbeats received here.
    """

    started_at: float
    heard_at: float


class HeartbeatLeases:
    """Heartbeat lease of each observed instance."""

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Initialize without leases.

        Args:
            now: Monotonic clock in seconds.
        """
        self._now = now
        self._leases: dict[str, HeartbeatLease] = {}

    def __len__(self) -> int:
        """Return the number of observed instances."""
        return len(self._leases)

    def __contains__(self, instance: str) -> bool:
        """Return whether an instance is observed."""
        return instance in self._leases

    def get(self, instance: str) -> HeartbeatLease | None:
        """Return the lease of an instance."""
        return self._leases.get(instance)

    def record_heartbeat(self, instance: str) -> None:
        """Restart the lease of an instance after its heartbeat."""
        now = self._now()
        self._leases[instance] = HeartbeatLease(now, now)

    def grant(self, instance: str) -> None:
        """Start a lease without a heartbeat of the instance."""
        previous = self._leases.get(instance)
        heard_at = previous.heard_at if previous else 0
        self._leases[instance] = HeartbeatLease(self._now(), heard_at)

    def restart_all(self) -> None:
        """Restart all leases, after this process was suspended."""
        for instance in self._leases:
            self.grant(instance)

    def drop(self, instance: str) -> None:
        """Stop observing an instance."""
        self._leases.pop(instance, None)

    def is_heard_recently(self, instance: str) -> bool:
        """Return whether the last heartbeat is younger than the lease."""
        lease = self._leases.get(instance)
        if lease is None:
            return False
        return self._now() - lease.heard_at < const.HEARTBEAT_LEASE_S

    def expired(self) -> list[str]:
        """Return the instances whose lease has expired."""
        oldest_start = self._now() - const.HEARTBEAT_LEASE_S
        return [
            instance
            for instance, lease in self._leases.items()
            if lease.started_at < oldest_start
        ]

    def are_others_silent(self, suspect: str, asked_at: float) -> bool:
        """Return whether no other instance sent heartbeats recently either.

        Args:
            suspect: Instance to ignore.
            asked_at: Monotonic seconds when peers were asked about the suspect.

        Returns:
            ``False`` also if no other instance is observed.
        """
        heard_times = [
            lease.heard_at
            for instance, lease in self._leases.items()
            if instance != suspect
        ]
        return (
            bool(heard_times)
            and max(heard_times) < asked_at - const.OTHERS_SILENT_S
        )
