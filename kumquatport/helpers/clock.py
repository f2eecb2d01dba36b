"""The clock by which leases and freshness are reckoned."""

import time


def now() -> float:
    """Return seconds that never go back and also count while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in unix milliseconds."""
    return time.time_ns() // 1_000_000
