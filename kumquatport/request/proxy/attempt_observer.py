"""Tells the limit how one try at the backend server goes."""

import asyncio
from collections import abc

from kumquatport.request.limit import limit, sample
from kumquatport.request.proxy import request_context


class AttemptObserver:
    """Times one try; reports it as overdue while it still runs."""

    def __init__(
        self,
        asked: request_context.RequestContext,
        concurrency_limit: limit.ConcurrencyLimit,
        clock: abc.Callable[[], float],
        in_progress: int,
        lag_s: abc.Callable[[], float],
    ) -> None:
        """Take the time.

        Args:
            asked: The request; one that holds no slot says nothing of load.
            concurrency_limit: The limit to tell.
            clock: Monotonic seconds.
            in_progress: Requests in progress, this one included.
            lag_s: How late this process's event loop is now.
        """
        self._lag_s = lag_s
        self._request_class = asked.request_class
        self._limit = concurrency_limit
        self._clock = clock
        self._in_progress = in_progress
        self._began_at = clock()
        self._overdue = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to wait for the age at which the try counts as slow."""
        slow_after_s = self._limit.slow_threshold_s(self._request_class.name)
        if slow_after_s is None or not self._request_class.holds_slot:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(slow_after_s, self._report_overdue)

    def finish(self, result: sample.Result) -> None:
        """Report how the try ended."""
        self.cancel()
        holds_slot = self._request_class.holds_slot
        if holds_slot or result is not sample.Result.answered:
            self._observe(result)

    def cancel(self) -> None:
        """Report nothing more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _report_overdue(self) -> None:
        self._overdue = True
        self._observe(sample.Result.overdue)

    def _observe(self, result: sample.Result) -> None:
        now = self._clock()
        latency_s = now - self._began_at
        if self._is_own_delay(latency_s):
            return
        self._limit.observe(
            sample.Sample(
                class_name=self._request_class.name,
                latency_s=latency_s,
                in_progress=self._in_progress,
                result=result,
                at=now,
                overdue=self._overdue,
            ),
        )

    def _is_own_delay(self, latency_s: float) -> bool:
        """Tell whether only this process's own delay makes a try slow."""
        slow_after_s = self._limit.slow_threshold_s(self._request_class.name)
        if slow_after_s is None or latency_s < slow_after_s:
            return False
        # Both the sending and the receiving wait for their turn in the loop.
        return latency_s - 2 * self._lag_s() < slow_after_s
