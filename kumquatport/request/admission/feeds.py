"""Feeds hold connections to the backend server, not slots."""

import asyncio

from kumquatport.request import errors, policy
from kumquatport.request.admission import const, slot
from kumquatport.request.queue import waiter


class Feeds:
    """Counts open feeds, and lets a few at a time be opened."""

    def __init__(self) -> None:
        """Begin with none open."""
        self._open = 0
        self._max_open = 0
        self._opening_turn = asyncio.Semaphore(1)

    @property
    def open(self) -> int:
        """Feeds open, being opened or waiting to be."""
        return self._open

    def configure(self, limits: policy.Limits) -> None:
        """Keep twice the slots free of the backend server's connections."""
        self._max_open = max(limits.connections - 2 * limits.slots, 0)

    def add(self) -> None:
        """Count a feed.

        Raises:
            errors.ConnectionsFullError: No connection is left for feeds.
        """
        if self._open >= self._max_open:
            raise errors.ConnectionsFullError('no connection left for feeds')
        self._open += 1

    def remove(self) -> None:
        """Stop counting a feed."""
        self._open -= 1

    async def async_acquire(self, ticket: waiter.SlotRequest) -> slot.Slot:
        """Return once the feed may be opened.

        One feed is opened at a time: it takes no slot, and a backend server
        that has just started is not asked for all of them at once. One that
        does not begin holds up the others only for a moment.
        """
        await self._opening_turn.acquire()
        turn = slot.Slot(ticket, 1, self._release_turn)
        loop = asyncio.get_running_loop()
        loop.call_later(const.FEED_OPENING_TURN_S, turn.release)
        return turn

    def _release_turn(self, ticket: waiter.SlotRequest) -> None:
        self._opening_turn.release()
