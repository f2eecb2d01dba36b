"""A queue fair between tenants, then between the classes of a tenant.

Within one tenant and class the earliest deadline goes first.
"""

import heapq
import itertools
import typing
from collections import abc

from kumquatport.request.queue import schedule, waiter

_Entry: typing.TypeAlias = tuple[float, int, waiter.Waiter]


class _Tenant:
    """The waiting requests of one tenant, a heap for each class."""

    def __init__(self) -> None:
        self.classes: dict[str, list[_Entry]] = {}
        self.turns = schedule.Schedule()
        self.queued_s: float = 0
        self.length = 0


class FairQueue:
    """Waiting requests in the order in which slots are due to them."""

    def __init__(self) -> None:
        """Begin empty."""
        self._shares: abc.Mapping[str, float] = {}
        self._tenants: dict[str, _Tenant] = {}
        self._turns = schedule.Schedule()
        self._numbers = itertools.count()

    @property
    def queued_s(self) -> float:
        """Slot time of all that waits, in seconds."""
        return sum(tenant.queued_s for tenant in self._tenants.values())

    def __len__(self) -> int:
        """Count the requests that wait."""
        return sum(tenant.length for tenant in self._tenants.values())

    def length(self, tenant_name: str) -> int:
        """Count the requests of one tenant that wait."""
        tenant = self._tenants.get(tenant_name)
        return tenant.length if tenant else 0

    def configure(self, shares: abc.Mapping[str, float]) -> None:
        """Take the tenants' shares of the current document."""
        self._shares = shares
        for name in tuple(self._tenants):
            if name not in shares and not self._tenants[name].length:
                self._tenants.pop(name)
                self._turns.forget(name)

    def push(self, request: waiter.Waiter) -> None:
        """Add a waiting request."""
        ticket = request.ticket
        tenant = self._tenants.setdefault(ticket.tenant, _Tenant())
        if not tenant.length:
            self._turns.join(ticket.tenant, self._share(ticket.tenant))
        heap = tenant.classes.setdefault(ticket.class_name, [])
        if not heap:
            tenant.turns.join(ticket.class_name, 1)
        entry = (ticket.deadline_at, next(self._numbers), request)
        heapq.heappush(heap, entry)
        tenant.length += 1
        tenant.queued_s += ticket.cost_s

    def has_work(self, blocked: abc.Container[str] = ()) -> bool:
        """Tell whether a request of a class that is not blocked waits."""
        return any(self._backlogged(blocked))

    def pop(self, blocked: abc.Container[str] = ()) -> waiter.Waiter:
        """Take out the request whose turn it is, and charge for it.

        Args:
            blocked: Classes whose turn does not come now.
        """
        tenant_name = self._turns.choose(self._backlogged(blocked))
        tenant = self._tenants[tenant_name]
        class_name = tenant.turns.choose(_backlogged_classes(tenant, blocked))
        entry = heapq.heappop(tenant.classes[class_name])
        _removed(tenant, entry)
        self.charge(entry[2].ticket, entry[2].ticket.cost_s)
        return entry[2]

    def charge(self, ticket: waiter.Ticket, cost_s: float) -> None:
        """Charge slot time to the ticket's tenant and class."""
        self._turns.charge(ticket.tenant, cost_s)
        tenant = self._tenants.get(ticket.tenant)
        if tenant is not None:
            tenant.turns.charge(ticket.class_name, cost_s)

    def discard(self, request: waiter.Waiter) -> None:
        """Take out a request that no longer waits, if it is still there."""
        tenant = self._tenants.get(request.ticket.tenant)
        if tenant is None:
            return
        heap = tenant.classes.get(request.ticket.class_name, [])
        for entry in heap:
            if entry[2] is request:
                heap.remove(entry)
                heapq.heapify(heap)
                _removed(tenant, entry)
                return

    def evict(self) -> waiter.Waiter | None:
        """Take out the request that can wait longest of the greediest tenant.

        The greediest has the most slot time waiting for its share.
        """
        names = tuple(self._backlogged())
        if not names:
            return None
        tenant = self._tenants[max(names, key=self._backlog_s)]
        heap = max(tenant.classes.values(), key=len)
        entry = max(heap)
        heap.remove(entry)
        heapq.heapify(heap)
        _removed(tenant, entry)
        return entry[2]

    def wait_s(self, ticket: waiter.Ticket, slots: float) -> float:
        """Estimate how long a new request would wait, in seconds.

        Args:
            ticket: The request, not yet in the queue.
            slots: How many requests may be in progress at once.
        """
        share = self._share(ticket.tenant)
        competing = sum(
            self._share(name)
            for name in self._backlogged()
            if name != ticket.tenant
        )
        tenant = self._tenants.get(ticket.tenant)
        ahead_s = tenant.queued_s if tenant else 0
        return ahead_s * (share + competing) / share / slots

    def _backlogged(
        self,
        blocked: abc.Container[str] = (),
    ) -> abc.Iterator[str]:
        for name, tenant in self._tenants.items():
            if any(_backlogged_classes(tenant, blocked)):
                yield name

    def _backlog_s(self, name: str) -> float:
        return self._tenants[name].queued_s / self._share(name)

    def _share(self, name: str) -> float:
        return self._shares.get(name, 1)


def _backlogged_classes(
    tenant: _Tenant,
    blocked: abc.Container[str],
) -> abc.Iterator[str]:
    for name, heap in tenant.classes.items():
        if heap and name not in blocked:
            yield name


def _removed(tenant: _Tenant, entry: _Entry) -> None:
    tenant.length -= 1
    tenant.queued_s -= entry[2].ticket.cost_s
    if not tenant.length:
        tenant.queued_s = 0
