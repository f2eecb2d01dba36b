"""Leases of the instances that report to this balancer."""

import typing
from collections import abc

from kumquatport.helpers import clock
from kumquatport.version.spread import const


class Lease(typing.NamedTuple):
    """Since when an instance's lease runs, and when it was last heard.

    The two differ when the lease was granted without hearing the instance:
    what others said of it must not pass for having heard it.
    """

    since: float
    heard_at: float


class Liveness:
    """When each observed instance was heard."""

    def __init__(self, now: abc.Callable[[], float] = clock.now) -> None:
        """Start without leases.

        Args:
            now: Monotonic seconds.
        """
        self._now = now
        self._leases: dict[str, Lease] = {}

    def __len__(self) -> int:
        """Return how many instances are observed."""
        return len(self._leases)

    def __contains__(self, instance: str) -> bool:
        """Tell whether an instance is observed."""
        return instance in self._leases

    def get(self, instance: str) -> Lease | None:
        """Return the lease of an instance."""
        return self._leases.get(instance)

    def hear(self, instance: str) -> None:
        """Note a heartbeat."""
        now = self._now()
        self._leases[instance] = Lease(now, now)

    def grant(self, instance: str) -> None:
        """Start a lease of an instance that was not heard just now."""
        before = self._leases.get(instance)
        heard_at = before.heard_at if before else 0
        self._leases[instance] = Lease(self._now(), heard_at)

    def grant_all(self) -> None:
        """Start all leases anew, after this process was paused."""
        for instance in self._leases:
            self.grant(instance)

    def drop(self, instance: str) -> None:
        """Stop to observe an instance."""
        self._leases.pop(instance, None)

    def is_heard(self, instance: str) -> bool:
        """Tell whether an instance was heard within the lease."""
        lease = self._leases.get(instance)
        if lease is None:
            return False
        return self._now() - lease.heard_at < const.LEASE_S

    def expired(self) -> list[str]:
        """Return the instances whose lease ran out."""
        limit = self._now() - const.LEASE_S
        return [
            instance
            for instance, lease in self._leases.items()
            if lease.since < limit
        ]

    def hears_nobody_but(self, suspect: str, at: float) -> bool:
        """Tell whether all others were silent before a time as well.

        Args:
            suspect: Instance that does not count.
            at: When the question came up.
        """
        others = [
            lease.heard_at
            for instance, lease in self._leases.items()
            if instance != suspect
        ]
        return bool(others) and max(others) < at - const.AUDIBLE_S
