"""Stops the work for a caller that has left."""

import asyncio
import contextlib
from collections import abc


async def async_run(
    work: abc.Coroutine[None, None, None],
    cancelled: asyncio.Event,
) -> bool:
    """Run the work until it is done or no longer wanted.

    Args:
        work: What to do.
        cancelled: Set when the caller has left.

    Returns:
        Whether the work was done; errors of the work are raised.
    """
    task = asyncio.ensure_future(work)
    left = asyncio.ensure_future(cancelled.wait())
    try:
        await asyncio.wait((task, left), return_when=asyncio.FIRST_COMPLETED)
    finally:
        left.cancel()
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
    if task.cancelled():
        return False
    task.result()
    return True
