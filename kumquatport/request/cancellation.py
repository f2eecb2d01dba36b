"""Cancels the work for a request when its caller has left."""

import asyncio
import contextlib
from collections import abc


async def async_run(
    work: abc.Coroutine[None, None, None],
    cancelled: asyncio.Event,
) -> bool:
    """Run the work until it is done or cancelled.

    Args:
        work: The coroutine to run.
        cancelled: Set when the caller has left.

    Returns:
        Whether the work was completed; its errors are raised.
    """
    task = asyncio.ensure_future(work)
    cancel_wait = asyncio.ensure_future(cancelled.wait())
    try:
        await asyncio.wait(
            (task, cancel_wait), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        cancel_wait.cancel()
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
    if task.cancelled():
        return False
    task.result()
    return True
