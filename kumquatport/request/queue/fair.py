"""A queue fair between client accounts, then between the classes of each.

Within one client account and class the earliest deadline goes first.
"""

import heapq
import itertools
import typing
from collections import abc

from kumquatport.request.queue import schedule, waiter

_Entry: typing.TypeAlias = tuple[float, int, waiter.Waiter]


class _AccountQueue:
    """The waiting requests of one client account, a heap for each class."""

    def __init__(self) -> None:
        self.heaps: dict[str, list[_Entry]] = {}
        self.schedule = schedule.FairSchedule()
        self.backlog_s: float = 0
        self.length = 0


class FairQueue:
    """Waiting requests in the order in which slots are due to them."""

    def __init__(self) -> None:
        """Begin empty."""
        self._shares: abc.Mapping[str, float] = {}
        self._accounts: dict[str, _AccountQueue] = {}
        self._schedule = schedule.FairSchedule()
        self._sequence = itertools.count()

    @property
    def backlog_s(self) -> float:
        """Slot time of all that waits, in seconds."""
        return sum(account.backlog_s for account in self._accounts.values())

    def __len__(self) -> int:
        """Count the requests that wait."""
        return sum(account.length for account in self._accounts.values())

    def account_length(self, name: str) -> int:
        """Count the requests of one client account that wait."""
        account = self._accounts.get(name)
        return account.length if account else 0

    def configure(self, shares: abc.Mapping[str, float]) -> None:
        """Take the client accounts' shares of the current document."""
        self._shares = shares
        for name in tuple(self._accounts):
            if name not in shares and not self._accounts[name].length:
                self._accounts.pop(name)
                self._schedule.remove(name)

    def push(self, request: waiter.Waiter) -> None:
        """Add a waiting request."""
        ticket = request.slot_request
        account = self._accounts.setdefault(
            ticket.client_account, _AccountQueue()
        )
        if not account.length:
            self._schedule.activate(
                ticket.client_account, self._share(ticket.client_account)
            )
        heap = account.heaps.setdefault(ticket.class_name, [])
        if not heap:
            account.schedule.activate(ticket.class_name, 1)
        entry = (ticket.deadline_at, next(self._sequence), request)
        heapq.heappush(heap, entry)
        account.length += 1
        account.backlog_s += ticket.cost_s

    def has_work(self, blocked: abc.Container[str] = ()) -> bool:
        """Tell whether a request of a class that is not blocked waits."""
        return any(self._accounts_with_work(blocked))

    def pop(self, blocked: abc.Container[str] = ()) -> waiter.Waiter:
        """Take out the request whose turn it is, and charge for it.

        Args:
            blocked: Classes whose turn does not come now.
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

    def charge(self, ticket: waiter.SlotRequest, cost_s: float) -> None:
        """Charge slot time to the ticket's client account and class."""
        self._schedule.charge(ticket.client_account, cost_s)
        account = self._accounts.get(ticket.client_account)
        if account is not None:
            account.schedule.charge(ticket.class_name, cost_s)

    def discard(self, request: waiter.Waiter) -> None:
        """Take out a request that no longer waits, if it is still there."""
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
        """Take out the request of the greediest client account that can wait.

        The greediest has the most slot time waiting for its share.
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
        self, ticket: waiter.SlotRequest, slots: float
    ) -> float:
        """Estimate how long a new request would wait, in seconds.

        Args:
            ticket: The request, not yet in the queue.
            slots: How many requests may be in progress at once.
        """
        share = self._share(ticket.client_account)
        competing = sum(
            self._share(name)
            for name in self._accounts_with_work()
            if name != ticket.client_account
        )
        account = self._accounts.get(ticket.client_account)
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
