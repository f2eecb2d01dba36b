"""Reports attempts at the backend server to the concurrency limit."""

import asyncio
from collections import abc

from kumquatport.request.limit import limit, sample
from kumquatport.request.proxy import request_context


class AttemptObserver:
    """Measures one attempt, and reports it as overdue while it runs."""

    def __init__(
        self,
        context: request_context.RequestContext,
        concurrency_limit: limit.ConcurrencyLimit,
        clock: abc.Callable[[], float],
        in_progress: int,
        lag_s: abc.Callable[[], float],
    ) -> None:
        """Record the start time.

        Args:
            context: The request; the latency of one that holds no slot says
                nothing about load.
            concurrency_limit: The limit to report to.
            clock: Returns monotonic seconds.
            in_progress: Requests in progress, this one included.
            lag_s: Returns the current event loop lag in seconds.
        """
        self._lag_s = lag_s
        self._request_class = context.request_class
        self._limit = concurrency_limit
        self._clock = clock
        self._in_progress = in_progress
        self._began_at = clock()
        self._overdue = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer that reports the attempt as overdue."""
        slow_threshold_s = self._limit.slow_threshold_s(
            self._request_class.name
        )
        if slow_threshold_s is None or not self._request_class.holds_slot:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(slow_threshold_s, self._report_overdue)

    def finish(self, result: sample.Result) -> None:
        """Report the result of the attempt."""
        self.cancel()
        holds_slot = self._request_class.holds_slot
        if holds_slot or result is not sample.Result.answered:
            self._observe(result)

    def cancel(self) -> None:
        """Cancel the overdue timer."""
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
        """Return whether the attempt is slow only by this process's own lag."""
        slow_threshold_s = self._limit.slow_threshold_s(
            self._request_class.name
        )
        if slow_threshold_s is None or latency_s < slow_threshold_s:
            return False
        # Sending and receiving are each delayed by the event loop lag.
        return latency_s - 2 * self._lag_s() < slow_threshold_s
