"""Counts of the control messages of one process."""

import collections
import typing


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
        self.errors: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._bytes_sent = 0
        self._bytes_received = 0

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

    def count_sent(self, message: object, size: int) -> None:
        """Count a message that was sent."""
        self._sent[type(message).__name__] += 1
        self._bytes_sent += size

    def count_received(self, message: object, size: int) -> None:
        """Count a message that was received."""
        self._received[type(message).__name__] += 1
        self._bytes_received += size
