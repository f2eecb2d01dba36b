"""Log lines of decisions about single flows, bounded in number."""

import collections
import typing
from collections import abc

from kumquatport.helpers import clock

# Lines a second that one process writes about flows, and how many it may
# write at once after a quiet time.
LINES_PER_S: typing.Final = 100.0
BURST_LINES: typing.Final = 200.0


class Decisions:
    """Writes one line for a decision while the rate is below its bound."""

    def __init__(
        self, logger: typing.Any, describe: abc.Callable[[bytes], str]
    ) -> None:
        """Start with the full burst.

        Args:
            logger: Of the module whose decisions these are.
            describe: Returns a flow's ends as text.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self._logger = logger
        self._describe = describe
        self._lines = BURST_LINES
        self._filled_at = clock.now()
        self._left_out = 0

    def note(self, event: str, flow: bytes, **inputs: typing.Any) -> None:
        """Count a decision and write its line, if the rate allows.

        Args:
            event: What was decided.
            flow: The flow that it is about.
            **inputs: What decided it.
        """
        self.counts[event] += 1
        now = clock.now()
        grown = (now - self._filled_at) * LINES_PER_S
        self._lines = min(self._lines + grown, BURST_LINES)
        self._filled_at = now
        if self._lines < 1:
            self._left_out += 1
            return
        self._lines -= 1
        self._logger.info(event, flow=self._describe(flow), **inputs)

    def flush(self) -> None:
        """Say how many lines were left out since the last time."""
        if self._left_out:
            self._logger.warning('lines left out', count=self._left_out)
            self._left_out = 0
