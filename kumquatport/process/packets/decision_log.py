"""Log lines of decisions about single flows, bounded in number."""

import collections
import typing
from collections import abc

from kumquatport.process.logs import rate_limit

# Lines a second that one process writes about flows, and how many it may
# write at once after a quiet time.
LINES_PER_S: typing.Final = 100.0
BURST_LINES: typing.Final = 200.0


class DecisionLog:
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
        self._lines = rate_limit.RateLimitedLogger(
            logger, LINES_PER_S, BURST_LINES
        )

    def note(self, event: str, flow: bytes, **inputs: typing.Any) -> None:
        """Count a decision and write its line, if the rate allows.

        Args:
            event: What was decided.
            flow: The flow that it is about.
            **inputs: What decided it.
        """
        self.counts[event] += 1
        if self._lines.try_acquire():
            self._logger.info(event, flow=self._describe(flow), **inputs)

    def flush(self) -> None:
        """Say how many lines were left out since the last time."""
        self._lines.log_dropped_lines()
