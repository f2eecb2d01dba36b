"""Counters of the control messages of one process."""

import collections
import typing


class Totals(typing.NamedTuple):
    """Totals since the process started; bytes count whole frames."""

    messages_sent: int
    messages_received: int
    bytes_sent: int
    bytes_received: int


class Traffic:
    """Counts messages and bytes in both directions, and errors by code.

    Attributes:
        errors: Number of errors by error code.
    """

    def __init__(self) -> None:
        """Create counters at zero."""
        self.errors: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def totals(self) -> Totals:
        """Totals of all kinds of messages."""
        return Totals(
            self._sent.total(),
            self._received.total(),
            self._bytes_sent,
            self._bytes_received,
        )

    @property
    def by_kind(self) -> dict[str, tuple[int, int]]:
        """Messages sent and received by kind."""
        kinds = set(self._sent) | set(self._received)
        return {
            kind: (self._sent[kind], self._received[kind])
            for kind in sorted(kinds)
        }

    def count_sent(self, message: object, size: int) -> None:
        """Count a message that was sent, with its frame's size in bytes."""
        self._sent[type(message).__name__] += 1
        self._bytes_sent += size

    def count_received(self, message: object, size: int) -> None:
        """Count a message that was received, with its frame's size in bytes."""
        self._received[type(message).__name__] += 1
        self._bytes_received += size
