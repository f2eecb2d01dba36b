"""Loading modules in a thread without holding up the event loop.

Load pattern: many processes start at once after a loss of power, and their
clients' packets are there before the HTTP library is. The interpreter runs one
thread at a time, and one that loads modules gives way too seldom for packets
that are due within milliseconds.
"""

import asyncio
import sys
import threading
import time
import typing
from collections import abc

# Seconds for which a thread loads before others get their turn; a packet may
# wait that long.
SLICE_S: typing.Final = 0.004

# Seconds of a pause, enough for the event loop to wake up.
PAUSE_S: typing.Final = 0.001

LoadedT = typing.TypeVar('LoadedT')


class _PausingFinder:
    """Finder of modules that pauses the thread that loads; it finds none."""

    def __init__(self) -> None:
        """Begin a turn of this thread."""
        self._thread = threading.get_ident()
        self._until = time.monotonic() + SLICE_S

    def find_spec(
        self, _name: str, _path: object, _target: object = None
    ) -> None:
        """Pause when the turn is over."""
        if threading.get_ident() != self._thread:
            return
        if time.monotonic() < self._until:
            return
        time.sleep(PAUSE_S)
        self._until = time.monotonic() + SLICE_S


async def async_run(load: abc.Callable[[], LoadedT]) -> LoadedT:
    """Run a function that loads modules, in a thread and by turns.

    Args:
        load: Imports what it needs and returns what it makes of it.
    """
    return await asyncio.to_thread(_by_turns, load)


def _by_turns(load: abc.Callable[[], LoadedT]) -> LoadedT:
    turns: typing.Any = _PausingFinder()
    sys.meta_path.insert(0, turns)
    try:
        return load()
    finally:
        sys.meta_path.remove(turns)
