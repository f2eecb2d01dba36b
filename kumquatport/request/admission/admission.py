"""Admission: a slot now, a place in the queue, or a refusal at once."""

import asyncio
import functools
import random
from collections import abc

from kumquatport.request import const as request_const
from kumquatport.request import errors, policy
from kumquatport.request.admission import const, costs, long_running, slot
from kumquatport.request.limit import limit
from kumquatport.request.queue import fair, waiter


class AdmissionControl:
    """Gives slots to requests, within the limit and in fair order."""

    def __init__(
        self,
        concurrency_limit: limit.ConcurrencyLimit,
        clock: abc.Callable[[], float],
    ) -> None:
        """Begin with nothing in progress.

        Args:
            concurrency_limit: The limit on requests in progress.
            clock: Monotonic seconds.
        """
        self.cost_estimator = costs.CostEstimator()
        self._limit = concurrency_limit
        self._clock = clock
        self._queue = fair.FairQueue()
        self._policy_limits = policy.Limits()
        self._in_progress = 0
        self._backlogged_since: dict[str, float] = {}
        self._long_running = long_running.LongRunningClasses(
            self.cost_estimator
        )

    @property
    def in_progress(self) -> int:
        """Slots in use."""
        return self._in_progress

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def queue_pressure(self) -> float:
        """Expected wait of new work over the longest wait allowed."""
        if not self.queued:
            return 0
        length_share = self.queued / self._policy_limits.queue_length
        queued_s = self._queue.backlog_s / self._limit.value
        return max(length_share, queued_s / self._policy_limits.queue_s)

    def configure(self, current: policy.Policy) -> None:
        """Take the limits and shares of the current document."""
        self._policy_limits = current.limits
        self._queue.configure(current.shares)
        self._grant_free_slots()

    def make_slot_request(
        self,
        client_account: str,
        class_name: str,
        deadline_at: float,
    ) -> waiter.SlotRequest:
        """Describe a request to the queue."""
        cost_s = self.cost_estimator.expected_s(class_name)
        return waiter.SlotRequest(
            client_account, class_name, cost_s, deadline_at
        )

    async def async_acquire(self, ticket: waiter.SlotRequest) -> slot.Slot:
        """Return once the request holds a slot.

        Raises:
            errors.DeadlineUnmeetableError: Its deadline comes before its turn.
            errors.QueueFullError: Too much waits already.
            errors.QueueTimeoutError: It waited as long as it may.
        """
        now = self._clock()
        longest_s = self._max_wait_s(ticket, now)
        self._long_running.note_arrival(ticket.class_name, now)
        if self._can_start_now(ticket):
            self._note_acquired(ticket)
            self._queue.charge(ticket, ticket.cost_s)
            return self._make_slot(ticket)
        await self._async_wait(ticket, longest_s)
        return self._make_slot(ticket)

    def retry_after_s(self) -> float:
        """Return when refused work may come back, spread at random."""
        wait_s = self._queue.backlog_s / self._limit.value
        spread_s = random.uniform(0, const.RETRY_AFTER_JITTER_S)  # noqa: S311
        return min(
            max(wait_s, 1) + spread_s,
            request_const.MAX_RETRY_AFTER_S,
        )

    def _note_acquired(self, ticket: waiter.SlotRequest) -> None:
        self._in_progress += 1
        self._long_running.note_acquired(ticket.class_name)

    def _note_released(self, ticket: waiter.SlotRequest) -> None:
        self._in_progress -= 1
        self._long_running.note_released(ticket.class_name)
        self._grant_free_slots()

    def _make_slot(self, ticket: waiter.SlotRequest) -> slot.Slot:
        give_back = functools.partial(self._release, self._clock())
        return slot.Slot(ticket, self._in_progress, give_back)

    def _release(self, granted_at: float, ticket: waiter.SlotRequest) -> None:
        """Free a slot, and settle what it cost."""
        used_s = self._clock() - granted_at
        self._queue.charge(ticket, used_s - ticket.cost_s)
        self.cost_estimator.update(ticket.class_name, used_s)
        self._note_released(ticket)

    def _max_wait_s(self, ticket: waiter.SlotRequest, now: float) -> float:
        left_s = ticket.deadline_at - now
        if left_s <= 0:
            raise errors.DeadlineUnmeetableError(
                'the deadline leaves no time to run',
                self.retry_after_s(),
            )
        # Half of what is left is kept at most: a cost that was learnt in bad
        # times must not refuse what would unlearn it.
        needed_s = min(ticket.cost_s, left_s / 2)
        return min(left_s - needed_s, self._queue_timeout_s(ticket, now))

    def _queue_timeout_s(self, ticket: waiter.SlotRequest, now: float) -> float:
        """Return how long a request may wait now.

        A client account's queue that has not emptied for the longest wait adds
        delay: it is kept just long enough to keep the slots in use. The other
        client accounts' work is not the worse for it.
        """
        queue_s = self._policy_limits.queue_s
        if not self._queue.account_length(ticket.client_account):
            return queue_s
        if now - self._backlogged_since[ticket.client_account] < queue_s:
            return queue_s
        return queue_s * const.STANDING_QUEUE_WAIT_SHARE

    def _can_start_now(self, ticket: waiter.SlotRequest) -> bool:
        if self._in_progress >= int(self._limit.value):
            return False
        blocked = self._blocked_classes()
        if ticket.class_name in blocked:
            return False
        return not self._queue.has_work(blocked)

    def _blocked_classes(self) -> frozenset[str]:
        """Return the classes that must leave the last slot to others."""
        return self._long_running.blocked_classes(
            int(self._limit.value), self._clock()
        )

    async def _async_wait(
        self,
        ticket: waiter.SlotRequest,
        longest_s: float,
    ) -> None:
        if self._queue.expected_wait_s(ticket, self._limit.value) > longest_s:
            raise errors.QueueFullError(
                'the wait is longer than the request may wait',
                self.retry_after_s(),
            )
        if not self._queue.account_length(ticket.client_account):
            self._backlogged_since[ticket.client_account] = self._clock()
        loop = asyncio.get_running_loop()
        request = waiter.Waiter(ticket, loop.create_future())
        self._queue.push(request)
        self._enforce_queue_length()
        timer = loop.call_later(longest_s, self._expire, request)
        try:
            await request.granted
        except asyncio.CancelledError:
            self._cancel_waiter(request)
            raise
        finally:
            timer.cancel()

    def _enforce_queue_length(self) -> None:
        if self.queued <= self._policy_limits.queue_length:
            return
        evicted = self._queue.evict()
        if evicted is not None and not evicted.granted.done():
            evicted.granted.set_exception(
                errors.QueueFullError(
                    'too many requests wait',
                    self.retry_after_s(),
                ),
            )

    def _expire(self, request: waiter.Waiter) -> None:
        if request.granted.done():
            return
        self._queue.discard(request)
        request.granted.set_exception(
            errors.QueueTimeoutError(
                'no slot came free in time',
                self.retry_after_s(),
            ),
        )

    def _cancel_waiter(self, request: waiter.Waiter) -> None:
        """Drop a waiter whose task is cancelled, perhaps just granted."""
        granted = request.granted
        if granted.done() and not granted.cancelled():
            if granted.exception() is None:
                self._note_released(request.slot_request)
            return
        self._queue.discard(request)

    def _grant_free_slots(self) -> None:
        """Grant free slots to those whose turn it is."""
        while self._in_progress < int(self._limit.value):
            blocked = self._blocked_classes()
            if not self._queue.has_work(blocked):
                return
            request = self._queue.pop(blocked)
            if not request.granted.done():
                self._note_acquired(request.slot_request)
                request.granted.set_result(None)
