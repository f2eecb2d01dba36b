"""Fair queue between client accounts, then between the classes of each.

Within one client account and class the earliest deadline is served first.
"""

import heapq
import itertools
import typing
from collections import abc

from kumquatport.request.queue import schedule, waiter

_Entry: typing.TypeAlias = tuple[float, int, waiter.Waiter]


class _AccountQueue:
    """Waiting requests of one client account, in one heap per class."""

    def __init__(self) -> None:
        self.heaps: dict[str, list[_Entry]] = {}
        self.schedule = schedule.FairSchedule()
        self.backlog_s: float = 0
        self.length = 0


class FairQueue:
    """Waiting requests in the order in which they are granted slots."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._shares: abc.Mapping[str, float] = {}
        self._accounts: dict[str, _AccountQueue] = {}
        self._schedule = schedule.FairSchedule()
        self._sequence = itertools.count()

    @property
    def backlog_s(self) -> float:
        """Expected slot time of all waiting requests, in seconds."""
        return sum(account.backlog_s for account in self._accounts.values())

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(account.length for account in self._accounts.values())

    def account_length(self, name: str) -> int:
        """Return the number of waiting requests of one client account."""
        account = self._accounts.get(name)
        return account.length if account else 0

    def configure(self, shares: abc.Mapping[str, float]) -> None:
        """Apply the client accounts' shares of the current document."""
        self._shares = shares
        for name in tuple(self._accounts):
            if name not in shares and not self._accounts[name].length:
                self._accounts.pop(name)
                self._schedule.remove(name)

    def push(self, request: waiter.Waiter) -> None:
        """Add a waiting request."""
        slot_request = request.slot_request
        account = self._accounts.setdefault(
            slot_request.client_account, _AccountQueue()
        )
        if not account.length:
            self._schedule.activate(
                slot_request.client_account,
                self._share(slot_request.client_account),
            )
        heap = account.heaps.setdefault(slot_request.class_name, [])
        if not heap:
            account.schedule.activate(slot_request.class_name, 1)
        entry = (slot_request.deadline_at, next(self._sequence), request)
        heapq.heappush(heap, entry)
        account.length += 1
        account.backlog_s += slot_request.cost_s

    def has_work(self, blocked: abc.Container[str] = ()) -> bool:
        """Return whether a request waits in a class that is not blocked."""
        return any(self._accounts_with_work(blocked))

    def pop(self, blocked: abc.Container[str] = ()) -> waiter.Waiter:
        """Remove and return the next request, and charge for its cost.

        Args:
            blocked: Classes to skip.
        """
        name = self._schedule.select(self._accounts_with_work(blocked))
        account = self._accounts[name]
        class_name = account.schedule.select(
            _classes_with_work(account, blocked)
        )
        entry = heapq.heappop(account.heaps[class_name])
        _note_removed(account, entry)
        self.charge(entry[2].slot_request, entry[2].slot_request.cost_s)
        return entry[2]

    def charge(self, slot_request: waiter.SlotRequest, cost_s: float) -> None:
        """Charge slot time to the client account and class of a request."""
        self._schedule.charge(slot_request.client_account, cost_s)
        account = self._accounts.get(slot_request.client_account)
        if account is not None:
            account.schedule.charge(slot_request.class_name, cost_s)

    def discard(self, request: waiter.Waiter) -> None:
        """Remove a request that no longer waits, if it is still queued."""
        account = self._accounts.get(request.slot_request.client_account)
        if account is None:
            return
        heap = account.heaps.get(request.slot_request.class_name, [])
        for entry in heap:
            if entry[2] is request:
                heap.remove(entry)
                heapq.heapify(heap)
                _note_removed(account, entry)
                return

    def evict(self) -> waiter.Waiter | None:
        """Remove the latest deadline of the most backlogged client account.

        That is the client account with the largest backlog of slot time in
        proportion to its share; the request is taken from its longest class.

        Returns:
            The evicted request, None if the queue is empty.
        """
        names = tuple(self._accounts_with_work())
        if not names:
            return None
        account = self._accounts[max(names, key=self._weighted_backlog_s)]
        heap = max(account.heaps.values(), key=len)
        entry = max(heap)
        heap.remove(entry)
        heapq.heapify(heap)
        _note_removed(account, entry)
        return entry[2]

    def expected_wait_s(
        self, slot_request: waiter.SlotRequest, slots: float
    ) -> float:
        """Estimate how long a new request would wait, in seconds.

        Args:
            slot_request: The request, not queued yet.
            slots: Maximum number of requests in progress.
        """
        share = self._share(slot_request.client_account)
        competing = sum(
            self._share(name)
            for name in self._accounts_with_work()
            if name != slot_request.client_account
        )
        account = self._accounts.get(slot_request.client_account)
        ahead_s = account.backlog_s if account else 0
        return ahead_s * (share + competing) / share / slots

    def _accounts_with_work(
        self,
        blocked: abc.Container[str] = (),
    ) -> abc.Iterator[str]:
        for name, account in self._accounts.items():
            if any(_classes_with_work(account, blocked)):
                yield name

    def _weighted_backlog_s(self, name: str) -> float:
        return self._accounts[name].backlog_s / self._share(name)

    def _share(self, name: str) -> float:
        return self._shares.get(name, 1)


def _classes_with_work(
    account: _AccountQueue,
    blocked: abc.Container[str],
) -> abc.Iterator[str]:
    for name, heap in account.heaps.items():
        if heap and name not in blocked:
            yield name


def _note_removed(account: _AccountQueue, entry: _Entry) -> None:
    account.length -= 1
    account.backlog_s -= entry[2].slot_request.cost_s
    if not account.length:
        account.backlog_s = 0
