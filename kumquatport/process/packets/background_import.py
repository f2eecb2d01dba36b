"""Import of modules in a thread without blocking the event loop.

Load pattern: many processes start at once after a power loss, and client
packets arrive before the HTTP library is imported. The interpreter runs one
thread at a time, and a thread that imports modules yields too rarely for
packets that are due within milliseconds.
"""

import asyncio
import sys
import threading
import time
import typing
from collections import abc

# Seconds for which the thread imports before it pauses; a packet may wait that
# long.
SLICE_S: typing.Final = 0.004

# Seconds of a pause, long enough for the event loop to wake up.
PAUSE_S: typing.Final = 0.001

LoadedT = typing.TypeVar('LoadedT')


class _PausingFinder:
    """Module finder that pauses the importing thread and finds nothing."""

    def __init__(self) -> None:
        """Start the first time slice of this thread."""
        self._thread = threading.get_ident()
        self._slice_until = time.monotonic() + SLICE_S

    def find_spec(
        self, _name: str, _path: object, _target: object = None
    ) -> None:
        """Pause the importing thread if its time slice is over."""
        if threading.get_ident() != self._thread:
            return
        if time.monotonic() < self._slice_until:
            return
        time.sleep(PAUSE_S)
        self._slice_until = time.monotonic() + SLICE_S


async def async_run(load: abc.Callable[[], LoadedT]) -> LoadedT:
    """Run a function that imports modules in a thread with pauses.

    Args:
        load: Imports modules and returns a result.
    """
    return await asyncio.to_thread(_run_with_pauses, load)


def _run_with_pauses(load: abc.Callable[[], LoadedT]) -> LoadedT:
    pausing_finder: typing.Any = _PausingFinder()
    sys.meta_path.insert(0, pausing_finder)
    try:
        return load()
    finally:
        sys.meta_path.remove(pausing_finder)
