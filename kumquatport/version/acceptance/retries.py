"""Retry loop with exponential backoff, jitter and a deadline."""

import asyncio
import random
import time
from collections import abc

from kumquatport.version.acceptance import const


async def async_attempts(retry_window_s: float) -> abc.AsyncIterator[int]:
    """Yield attempt numbers from 0, sleeping longer between each.

    At least one attempt is made; none starts after the retry window.

    Args:
        retry_window_s: Longest time from the first attempt to the start of
            the last one, in seconds.
    """
    deadline = time.monotonic() + retry_window_s
    delay_s = const.FIRST_RETRY_DELAY_S
    attempt = 0
    yield attempt
    while time.monotonic() + delay_s < deadline:
        await asyncio.sleep(delay_s * random.uniform(0.5, 1))
        attempt += 1
        yield attempt
        delay_s = min(delay_s * 2, const.MAX_RETRY_DELAY_S)
