"""Log lines whose rate is bounded, with a count of those left out."""

import typing

from kumquatport.helpers import clock


class RateLimitedLogger:
    """Lines of one kind, for example about flows or about peers."""

    def __init__(
        self,
        logger: typing.Any,
        lines_per_s: float,
        burst_lines: float,
    ) -> None:
        """Start with the full burst.

        Args:
            logger: Of the module whose lines these are.
            lines_per_s: Lines a second that may be written.
            burst_lines: Lines that may be written at once after a quiet time.
        """
        self._logger = logger
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._refilled_at = clock.now()
        self._dropped_lines = 0

    def try_acquire(self) -> bool:
        """Tell whether a line may be written now; counts it either way."""
        now = clock.now()
        grown = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + grown, self._burst_lines)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped_lines += 1
            return False
        self._tokens -= 1
        return True

    def info(self, event: str, **fields: typing.Any) -> None:
        """Write a line at level info if the rate allows."""
        if self.try_acquire():
            self._logger.info(event, **fields)

    def warning(self, event: str, **fields: typing.Any) -> None:
        """Write a line at level warning if the rate allows."""
        if self.try_acquire():
            self._logger.warning(event, **fields)

    def log_dropped_lines(self) -> None:
        """Say how many lines were left out since the last time."""
        if self._dropped_lines:
            self._logger.warning('lines left out', count=self._dropped_lines)
            self._dropped_lines = 0
