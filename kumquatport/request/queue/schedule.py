"""Start-time fair queueing between a few weighted lines."""

import typing


class _Line(typing.NamedTuple):
    """Virtual times of one line."""

    start: float
    share: float


class Schedule:
    """Choose whose turn it is, in proportion to shares.

    A line that had nothing waiting joins at the present virtual time, so it
    neither saves up turns while idle nor pays for them later.
    """

    def __init__(self) -> None:
        """Begin with no lines."""
        self._lines: dict[str, _Line] = {}
        self._virtual_time: float = 0

    def join(self, name: str, share: float) -> None:
        """Note that the line has work waiting again."""
        line = self._lines.get(name)
        earliest = line.start if line else self._virtual_time
        self._lines[name] = _Line(max(earliest, self._virtual_time), share)

    def choose(self, waiting: typing.Iterable[str]) -> str:
        """Return the line, of those with work waiting, whose turn it is."""
        name = min(waiting, key=self._start)
        self._virtual_time = max(self._virtual_time, self._start(name))
        return name

    def charge(self, name: str, cost: float) -> None:
        """Put the line back by what it used; a negative cost is a refund."""
        line = self._lines.get(name)
        if line is not None:
            start = line.start + cost / line.share
            self._lines[name] = line._replace(start=start)

    def forget(self, name: str) -> None:
        """Drop a line that has no share any more."""
        self._lines.pop(name, None)

    def _start(self, name: str) -> float:
        return self._lines[name].start
