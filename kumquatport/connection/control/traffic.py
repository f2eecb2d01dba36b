"""Counts of the control messages of one process."""

import collections
import typing
from collections import abc

from kumquatport.connection.control import const

Count = abc.Callable[[str, int], None]


class Totals(typing.NamedTuple):
    """Totals since the process started; bytes are those of frames."""

    messages_sent: int
    messages_received: int
    bytes_sent: int
    bytes_received: int


class Traffic:
    """Messages and bytes in both directions, and faults by code.

    Attributes:
        faults: Count of faults for each error code.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.faults: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._bytes_sent = 0
        self._bytes_received = 0
        self._count: Count = _ignore

    @property
    def totals(self) -> Totals:
        """Return the totals of all kinds."""
        return Totals(
            self._sent.total(),
            self._received.total(),
            self._bytes_sent,
            self._bytes_received,
        )

    @property
    def by_kind(self) -> dict[str, tuple[int, int]]:
        """Return messages sent and received for each kind."""
        kinds = set(self._sent) | set(self._received)
        return {
            kind: (self._sent[kind], self._received[kind])
            for kind in sorted(kinds)
        }

    def report_to(self, count: Count) -> None:
        """Count bytes in the process's metrics as well.

        Args:
            count: Adds an amount to a counter by its name.
        """
        self._count = count

    def sent(self, message: object, size: int) -> None:
        """Count a message that was sent."""
        self._sent[type(message).__name__] += 1
        self._bytes_sent += size
        self._count(const.METRIC_BYTES_SENT, size)

    def received(self, message: object, size: int) -> None:
        """Count a message that was received."""
        self._received[type(message).__name__] += 1
        self._bytes_received += size
        self._count(const.METRIC_BYTES_RECEIVED, size)


def _ignore(_name: str, _amount: int) -> None:
    """Leave out the metrics of a process that keeps none."""
