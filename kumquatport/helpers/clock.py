"""Clocks for leases, timeouts and timestamps."""

import time


def now() -> float:
    """Return monotonic time in seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
