"""Rate limit for log lines, with a count of the lines dropped."""

import typing

from kumquatport.helpers import clock


class RateLimitedLogger:
    """Logger for one kind of line, limited by a token bucket.

    A kind is for example the lines about flows, or those about peers.
    """

    def __init__(
        self,
        logger: typing.Any,
        lines_per_s: float,
        burst_lines: float,
    ) -> None:
        """Start with a full bucket.

        Args:
            logger: Logger of the module that writes the lines.
            lines_per_s: Sustained limit, in lines per second.
            burst_lines: Size of the bucket: lines that may be written at once
                after a time without lines.
        """
        self._logger = logger
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._refilled_at = clock.now()
        self._dropped_lines = 0

    def try_acquire(self) -> bool:
        """Take a token for a line; False counts the line as dropped."""
        now = clock.now()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + refill, self._burst_lines)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped_lines += 1
            return False
        self._tokens -= 1
        return True

    def info(self, event: str, **fields: typing.Any) -> None:
        """Log a line at level info unless the limit is reached."""
        if self.try_acquire():
            self._logger.info(event, **fields)

    def warning(self, event: str, **fields: typing.Any) -> None:
        """Log a line at level warning unless the limit is reached."""
        if self.try_acquire():
            self._logger.warning(event, **fields)

    def log_dropped_lines(self) -> None:
        """Log how many lines were dropped since the last call, if any."""
        if self._dropped_lines:
            self._logger.warning('lines left out', count=self._dropped_lines)
            self._dropped_lines = 0
