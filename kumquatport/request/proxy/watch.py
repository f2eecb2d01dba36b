"""Tells the limit how one try at the backend server goes."""

import asyncio
from collections import abc

from kumquatport.request.limit import limit, sample
from kumquatport.request.proxy import job


class Watch:
    """Times one try; reports it as overdue while it still runs."""

    def __init__(
        self,
        asked: job.Job,
        learnt: limit.Limit,
        clock: abc.Callable[[], float],
        in_progress: int,
    ) -> None:
        """Take the time.

        Args:
            asked: The request; one that holds no slot says nothing of load.
            learnt: The limit to tell.
            clock: Monotonic seconds.
            in_progress: Requests in progress, this one included.
        """
        self._class = asked.request_class
        self._limit = learnt
        self._clock = clock
        self._in_progress = in_progress
        self._began_at = clock()
        self._overdue = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Start to wait for the age at which the try counts as slow."""
        slow_after_s = self._limit.slow_after_s(self._class.name)
        if slow_after_s is None or not self._class.holds_slot:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(slow_after_s, self._report_overdue)

    def end(self, result: sample.Result) -> None:
        """Report how the try ended."""
        self.cancel()
        holds_slot = self._class.holds_slot
        if holds_slot or result is not sample.Result.answered:
            self._observe(result)

    def cancel(self) -> None:
        """Report nothing more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _report_overdue(self) -> None:
        self._observe(sample.Result.overdue)
        self._overdue = True

    def _observe(self, result: sample.Result) -> None:
        now = self._clock()
        self._limit.observe(
            sample.Sample(
                class_name=self._class.name,
                latency_s=now - self._began_at,
                in_progress=self._in_progress,
                result=result,
                at=now,
                overdue=self._overdue,
            ),
        )
