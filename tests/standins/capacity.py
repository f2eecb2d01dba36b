"""Capacity of a backend server: slots, cold start and overload collapse."""

import asyncio
import contextlib
import math
import random
import typing
from collections import abc

from tests import clocks

MAX_SLOWDOWN = 4.0
COLLAPSE_SLOWDOWN = 20.0


class Profile(typing.NamedTuple):
    """Capacity and service times of a backend server.

    Attributes:
        slots: Requests processed concurrently.
        backlog: Requests that may wait for a slot; further ones are shed.
        service_s: Median time that a request holds a slot on a warm server.
        spread: Sigma of the log-normal distribution of that time.
        cold_s: Seconds after which a cold server is warm in any case.
        cold_requests: Served requests after which it is warm in any case.
        cold_share: Share of full capacity at the start of the warm-up.
        grace_s: Seconds of overload after which a cold server collapses.
        collapse_s: Duration of a collapse in seconds.
    """

    slots: int = 5
    backlog: int = 8
    service_s: float = 0.01
    spread: float = 0.3
    cold_s: float = 10.0
    cold_requests: int = 500
    cold_share: float = 0.2
    grace_s: float = 0.3
    collapse_s: float = 3.0


class ShedError(Exception):
    """The backend server rejected the request without starting it."""


class Capacity:
    """Slots and warm-up progress of one backend server."""

    def __init__(self, profile: Profile, seed: int) -> None:
        self.profile = profile
        self.running = 0
        self.waiting = 0
        self.peak_running = 0
        self.peak_waiting = 0
        self.collapses = 0
        self.started = 0
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(profile.slots)
        self._cold_since: float | None = None
        self._cold_served = 0
        self._overload_since: float | None = None
        self._collapsed_until = 0.0

    @property
    def outstanding(self) -> int:
        """Number of requests that hold a slot or wait for one."""
        return self.running + self.waiting

    @property
    def load(self) -> float:
        return min(1.0, self.outstanding / self.profile.slots)

    @property
    def cold(self) -> bool:
        return self.factor < 1

    @property
    def collapsed(self) -> bool:
        return clocks.now() < self._collapsed_until

    @property
    def factor(self) -> float:
        """Current share of full capacity, from ``cold_share`` to 1."""
        if self._cold_since is None:
            return 1.0
        profile = self.profile
        progress = max(
            (clocks.now() - self._cold_since) / profile.cold_s,
            self._cold_served / profile.cold_requests,
        )
        if progress >= 1:
            self._cold_since = None
            self._overload_since = None
            return 1.0
        return profile.cold_share + (1 - profile.cold_share) * progress

    @property
    def threshold(self) -> int:
        """Number of concurrent requests above which overload starts."""
        if not self.cold:
            return self.profile.slots + self.profile.backlog
        return max(1, math.ceil(self.profile.slots * self.factor))

    def set_cold(self) -> None:
        """Restart the warm-up from a cold server."""
        self._cold_since = clocks.now()
        self._cold_served = 0
        self._overload_since = None

    @contextlib.asynccontextmanager
    async def slot(self) -> abc.AsyncIterator[None]:
        """Hold a slot; raise ``ShedError`` if the request is shed.

        A full backlog sheds all requests, a collapsed server half of them.
        """
        self._check_overload()
        full = self.waiting >= self.profile.backlog
        if full or (self.collapsed and self._random.random() < 0.5):
            raise ShedError
        self.waiting += 1
        self.peak_waiting = max(self.peak_waiting, self.waiting)
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self._count_start()
            yield
        finally:
            self.running -= 1
            self._cold_served += 1
            self._check_overload()
            self._slots.release()

    async def async_process_request(self) -> None:
        """Sleep for the current processing time of one request."""
        median = self.profile.service_s
        spread = self._random.lognormvariate(0, self.profile.spread)
        await asyncio.sleep(median * spread * self._slowdown())

    def _count_start(self) -> None:
        self.started += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)

    def _slowdown(self) -> float:
        if self.collapsed:
            return COLLAPSE_SLOWDOWN
        excess = (
            max(1.0, self.outstanding / self.threshold) if self.cold else 1.0
        )
        return min(MAX_SLOWDOWN, excess / self.factor)

    def _check_overload(self) -> None:
        now = clocks.now()
        if (
            not self.cold
            or self.collapsed
            or self.outstanding <= self.threshold
        ):
            self._overload_since = None
            return
        if self._overload_since is None:
            self._overload_since = now
            return
        if now - self._overload_since < self.profile.grace_s:
            return
        self.collapses += 1
        self._collapsed_until = now + self.profile.collapse_s
        self.set_cold()
