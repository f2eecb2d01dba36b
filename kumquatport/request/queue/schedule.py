"""Start-time fair queueing between a few weighted queues."""

import typing


class _WeightedQueue(typing.NamedTuple):
    """Virtual start time and weight of one queue."""

    start_tag: float
    weight: float


class FairSchedule:
    """Selects the next queue to serve, in proportion to the weights.

    The start tag of a queue that becomes active is at least the current
    virtual time, so the queue accumulates no credit while idle. A higher tag
    from earlier charges stays.
    """

    def __init__(self) -> None:
        """Start without queues."""
        self._queues: dict[str, _WeightedQueue] = {}
        self._virtual_time: float = 0

    def activate(self, name: str, weight: float) -> None:
        """Mark a queue as having work again, with its current weight."""
        queue = self._queues.get(name)
        last_tag = queue.start_tag if queue else self._virtual_time
        self._queues[name] = _WeightedQueue(
            max(last_tag, self._virtual_time), weight
        )

    def select(self, waiting: typing.Iterable[str]) -> str:
        """Return the queue to serve next, of those that have work."""
        name = min(waiting, key=self._start_tag)
        self._virtual_time = max(self._virtual_time, self._start_tag(name))
        return name

    def charge(self, name: str, cost: float) -> None:
        """Charge a queue for what it used; a negative cost is a refund."""
        queue = self._queues.get(name)
        if queue is not None:
            start_tag = queue.start_tag + cost / queue.weight
            self._queues[name] = queue._replace(start_tag=start_tag)

    def remove(self, name: str) -> None:
        """Remove a queue that has no weight any more."""
        self._queues.pop(name, None)

    def _start_tag(self, name: str) -> float:
        return self._queues[name].start_tag
