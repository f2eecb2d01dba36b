"""Expected work of a backend server: requests in progress and new flows."""

import collections
import typing

# Seconds for which a flow that has just been admitted counts as work: the time
# to its first request.
ADMITTED_S: typing.Final = 0.1


class ServerLoad(typing.NamedTuple):
    """Load of a backend server at one moment.

    Attributes:
        in_system: Requests in progress and flows that are about to send one.
        slots: Requests that it processes concurrently.
        wait_s: Expected seconds until a further request gets a slot.
    """

    in_system: int
    slots: int
    wait_s: float

    @property
    def has_free_slot(self) -> bool:
        """Return whether a further request is processed at once."""
        return self.in_system < self.slots


class PendingWork:
    """Work that a backend server has accepted and not finished.

    Attributes:
        requests: Requests in progress, without those that are overdue.
        progress_at: Monotonic time in seconds of the last answer, or of the
            first request after a quiet time.
    """

    def __init__(self) -> None:
        """Start without work."""
        self.requests = 0
        self.progress_at: float = 0
        self._requests_s: float = 0
        self._admitted_s: float = 0
        self._admitted: collections.OrderedDict[bytes, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def admit(self, flow: bytes, work_s: float, now: float) -> None:
        """Add a flow that is about to send its first request.

        Args:
            flow: Key of the flow.
            work_s: Expected work of its request.
            now: Monotonic time in seconds.
        """
        self.forget(flow)
        self._admitted[flow] = (now + ADMITTED_S, work_s)
        self._admitted_s += work_s

    def forget(self, flow: bytes) -> None:
        """Remove a flow that was added by ``admit``, if it is present."""
        admitted = self._admitted.pop(flow, None)
        if admitted is not None:
            self._admitted_s -= admitted[1]
            if not self._admitted:
                self._admitted_s = 0

    def start(self, flow: bytes, work_s: float, now: float) -> None:
        """Add a request.

        Args:
            flow: Key of the flow.
            work_s: Its expected work.
            now: Monotonic time in seconds.
        """
        if self._admitted:
            self.forget(flow)
        if not self.requests:
            self.progress_at = now
        self.requests += 1
        self._requests_s += work_s

    def end(self, work_s: float) -> None:
        """Remove a request.

        Args:
            work_s: Its expected work, as given to ``start``.
        """
        self.requests -= 1
        self._requests_s -= work_s
        if not self.requests:
            # Ends the accumulation of rounding errors.
            self._requests_s = 0

    def load(self, slots: int, now: float) -> ServerLoad:
        """Return the load.

        Args:
            slots: Requests that the backend server processes concurrently, at
                least one.
            now: Monotonic time in seconds.
        """
        while self._admitted:
            flow, (until, _) = next(iter(self._admitted.items()))
            if until > now:
                break
            self.forget(flow)
        in_system = self.requests + len(self._admitted)
        if in_system < slots:
            return ServerLoad(in_system, slots, 0)
        remaining_s = self._requests_s + self._admitted_s
        if self.requests:
            # Of the requests in slots, the work since the last answer is done.
            mean_s = self._requests_s / self.requests
            done_s = min(now - self.progress_at, mean_s)
            remaining_s -= done_s * min(self.requests, slots)
        return ServerLoad(in_system, slots, max(remaining_s, 0) / slots)
