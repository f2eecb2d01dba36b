"""Admission control: a slot now, a place in the queue, or a refusal."""

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
    """Grants slots within the concurrency limit, in fair queueing order."""

    def __init__(
        self,
        concurrency_limit: limit.ConcurrencyLimit,
        clock: abc.Callable[[], float],
    ) -> None:
        """Start without requests.

        Args:
            concurrency_limit: The limit on requests in progress.
            clock: Returns monotonic seconds.
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
        """Number of slots in use."""
        return self._in_progress

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def queue_pressure(self) -> float:
        """How full the queue is, by length or by expected wait.

        The larger of the two shares of its maximum; above 1 when a limit is
        exceeded.
        """
        if not self.queued:
            return 0
        length_share = self.queued / self._policy_limits.queue_length
        expected_wait_s = self._queue.backlog_s / self._limit.value
        return max(length_share, expected_wait_s / self._policy_limits.queue_s)

    def configure(self, current: policy.Policy) -> None:
        """Apply the limits and shares of the current document."""
        self._policy_limits = current.limits
        self._queue.configure(current.shares)
        self._grant_free_slots()

    def make_slot_request(
        self,
        client_account: str,
        class_name: str,
        deadline_at: float,
    ) -> waiter.SlotRequest:
        """Return the slot request of a request, with its expected cost."""
        cost_s = self.cost_estimator.expected_s(class_name)
        return waiter.SlotRequest(
            client_account, class_name, cost_s, deadline_at
        )

    async def async_acquire(
        self, slot_request: waiter.SlotRequest
    ) -> slot.Slot:
        """Wait until the request holds a slot.

        Raises:
            errors.DeadlineUnmeetableError: The deadline has already passed.
            errors.QueueFullError: The expected wait or the queue is too long.
            errors.QueueTimeoutError: No slot became free within the wait.
        """
        now = self._clock()
        max_wait_s = self._max_wait_s(slot_request, now)
        self._long_running.note_arrival(slot_request.class_name, now)
        if self._can_start_now(slot_request):
            self._note_acquired(slot_request)
            self._queue.charge(slot_request, slot_request.cost_s)
            return self._make_slot(slot_request)
        await self._async_wait(slot_request, max_wait_s)
        return self._make_slot(slot_request)

    def retry_after_s(self) -> float:
        """Return when a refused caller may retry, in seconds, with jitter."""
        wait_s = self._queue.backlog_s / self._limit.value
        jitter_s = random.uniform(0, const.RETRY_AFTER_JITTER_S)  # noqa: S311
        return min(
            max(wait_s, 1) + jitter_s,
            request_const.MAX_RETRY_AFTER_S,
        )

    def _note_acquired(self, slot_request: waiter.SlotRequest) -> None:
        self._in_progress += 1
        self._long_running.note_acquired(slot_request.class_name)

    def _note_released(self, slot_request: waiter.SlotRequest) -> None:
        self._in_progress -= 1
        self._long_running.note_released(slot_request.class_name)
        self._grant_free_slots()

    def _make_slot(self, slot_request: waiter.SlotRequest) -> slot.Slot:
        on_release = functools.partial(self._release, self._clock())
        return slot.Slot(slot_request, self._in_progress, on_release)

    def _release(
        self, granted_at: float, slot_request: waiter.SlotRequest
    ) -> None:
        """Free a slot and correct its estimated cost to the measured one."""
        used_s = self._clock() - granted_at
        self._queue.charge(slot_request, used_s - slot_request.cost_s)
        self.cost_estimator.update(slot_request.class_name, used_s)
        self._note_released(slot_request)

    def _max_wait_s(
        self, slot_request: waiter.SlotRequest, now: float
    ) -> float:
        left_s = slot_request.deadline_at - now
        if left_s <= 0:
            raise errors.DeadlineUnmeetableError(
                'the deadline passed before the request could start',
                self.retry_after_s(),
            )
        # At most half of the time left is reserved for running: a cost that
        # was estimated while the backend server was slow must not refuse the
        # requests that would correct it.
        reserved_s = min(slot_request.cost_s, left_s / 2)
        return min(
            left_s - reserved_s, self._queue_timeout_s(slot_request, now)
        )

    def _queue_timeout_s(
        self, slot_request: waiter.SlotRequest, now: float
    ) -> float:
        """Return the maximum wait by the state of the client account's queue.

        A client account's queue that has not emptied for the maximum wait only
        adds delay. Its wait is cut to what keeps the slots in use; the queues
        of other client accounts are not affected.
        """
        queue_s = self._policy_limits.queue_s
        if not self._queue.account_length(slot_request.client_account):
            return queue_s
        if now - self._backlogged_since[slot_request.client_account] < queue_s:
            return queue_s
        return queue_s * const.STANDING_QUEUE_WAIT_SHARE

    def _can_start_now(self, slot_request: waiter.SlotRequest) -> bool:
        if self._in_progress >= int(self._limit.value):
            return False
        blocked = self._blocked_classes()
        if slot_request.class_name in blocked:
            return False
        return not self._queue.has_work(blocked)

    def _blocked_classes(self) -> frozenset[str]:
        """Return the classes that must leave the last slot to others."""
        return self._long_running.blocked_classes(
            int(self._limit.value), self._clock()
        )

    async def _async_wait(
        self,
        slot_request: waiter.SlotRequest,
        max_wait_s: float,
    ) -> None:
        if (
            self._queue.expected_wait_s(slot_request, self._limit.value)
            > max_wait_s
        ):
            raise errors.QueueFullError(
                'the expected wait exceeds the maximum wait',
                self.retry_after_s(),
            )
        if not self._queue.account_length(slot_request.client_account):
            self._backlogged_since[slot_request.client_account] = self._clock()
        loop = asyncio.get_running_loop()
        request = waiter.Waiter(slot_request, loop.create_future())
        self._queue.push(request)
        self._enforce_queue_length()
        timer = loop.call_later(max_wait_s, self._expire, request)
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
                    'the queue is full',
                    self.retry_after_s(),
                ),
            )

    def _expire(self, request: waiter.Waiter) -> None:
        if request.granted.done():
            return
        self._queue.discard(request)
        request.granted.set_exception(
            errors.QueueTimeoutError(
                'no slot became free within the maximum wait',
                self.retry_after_s(),
            ),
        )

    def _cancel_waiter(self, request: waiter.Waiter) -> None:
        """Remove a waiter whose task was cancelled.

        If its slot was granted just before, the slot is released.
        """
        granted = request.granted
        if granted.done() and not granted.cancelled():
            if granted.exception() is None:
                self._note_released(request.slot_request)
            return
        self._queue.discard(request)

    def _grant_free_slots(self) -> None:
        """Grant free slots to waiting requests, in queue order."""
        while self._in_progress < int(self._limit.value):
            blocked = self._blocked_classes()
            if not self._queue.has_work(blocked):
                return
            request = self._queue.pop(blocked)
            if not request.granted.done():
                self._note_acquired(request.slot_request)
                request.granted.set_result(None)
