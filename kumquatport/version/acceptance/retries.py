"""Waiting between attempts, jittered and bounded by a deadline."""

import asyncio
import random
import time
from collections import abc

from kumquatport.version.acceptance import const


async def async_attempts(retry_window_s: float) -> abc.AsyncIterator[int]:
    """Yield the numbers of attempts from 0, with growing pauses between.

    At least one attempt is made; none starts once the patience has run out.

    Args:
        retry_window_s: Seconds from the first attempt to the last one's start.
    """
    deadline = time.monotonic() + retry_window_s
    pause = const.FIRST_RETRY_DELAY_S
    attempt = 0
    yield attempt
    while time.monotonic() + pause < deadline:
        await asyncio.sleep(pause * random.uniform(0.5, 1))
        attempt += 1
        yield attempt
        pause = min(pause * 2, const.MAX_RETRY_DELAY_S)
