"""Rate-limited log of decisions about single flows."""

import collections
import typing
from collections import abc

from kumquatport.process.logs import rate_limit

# Lines per second that one process writes about flows, and the burst after a
# quiet time.
LINES_PER_S: typing.Final = 100.0
BURST_LINES: typing.Final = 200.0


class DecisionLog:
    """Counts decisions and logs them within a rate limit.

    Attributes:
        counts: Number of decisions by event.
    """

    def __init__(
        self, logger: typing.Any, describe: abc.Callable[[bytes], str]
    ) -> None:
        """Start with the full burst.

        Args:
            logger: Logger of the module that takes the decisions.
            describe: Returns the addresses and ports of a flow as text.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self._logger = logger
        self._describe = describe
        self._lines = rate_limit.RateLimitedLogger(
            logger, LINES_PER_S, BURST_LINES
        )

    def note(self, event: str, flow: bytes, **inputs: typing.Any) -> None:
        """Count a decision and log it if the rate limit allows.

        Args:
            event: Name of the decision.
            flow: Key of the flow.
            **inputs: Values that led to the decision.
        """
        self.counts[event] += 1
        if self._lines.try_acquire():
            self._logger.info(event, flow=self._describe(flow), **inputs)

    def flush(self) -> None:
        """Log the number of lines omitted since the last call."""
        self._lines.log_dropped_lines()
