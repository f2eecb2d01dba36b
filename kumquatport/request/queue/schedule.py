"""Start-time fair queueing between a few weighted lines."""

import typing


class _WeightedQueue(typing.NamedTuple):
    """Virtual times of one line."""

    start_tag: float
    weight: float


class FairSchedule:
    """Choose whose turn it is, in proportion to shares.

    A line that had nothing waiting joins at the present virtual time, so it
    neither saves up turns while idle nor pays for them later.
    """

    def __init__(self) -> None:
        """Begin with no lines."""
        self._queues: dict[str, _WeightedQueue] = {}
        self._virtual_time: float = 0

    def activate(self, name: str, share: float) -> None:
        """Note that the line has work waiting again."""
        line = self._queues.get(name)
        earliest = line.start_tag if line else self._virtual_time
        self._queues[name] = _WeightedQueue(
            max(earliest, self._virtual_time), share
        )

    def select(self, waiting: typing.Iterable[str]) -> str:
        """Return the line, of those with work waiting, whose turn it is."""
        name = min(waiting, key=self._start_tag)
        self._virtual_time = max(self._virtual_time, self._start_tag(name))
        return name

    def charge(self, name: str, cost: float) -> None:
        """Put the line back by what it used; a negative cost is a refund."""
        line = self._queues.get(name)
        if line is not None:
            start = line.start_tag + cost / line.weight
            self._queues[name] = line._replace(start_tag=start)

    def remove(self, name: str) -> None:
        """Drop a line that has no share any more."""
        self._queues.pop(name, None)

    def _start_tag(self, name: str) -> float:
        return self._queues[name].start_tag
