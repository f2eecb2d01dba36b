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
        self._most = 0
        self._opening = asyncio.Semaphore(1)

    @property
    def open(self) -> int:
        """Feeds open, being opened or waiting to be."""
        return self._open

    def configure(self, limits: policy.Limits) -> None:
        """Keep twice the slots free of the backend server's connections."""
        self._most = max(limits.connections - 2 * limits.slots, 0)

    def begin(self) -> None:
        """Count a feed.

        Raises:
            errors.ConnectionsFullError: No connection is left for feeds.
        """
        if self._open >= self._most:
            raise errors.ConnectionsFullError('no connection left for feeds')
        self._open += 1

    def end(self) -> None:
        """Stop counting a feed."""
        self._open -= 1

    async def async_acquire(self, ticket: waiter.Ticket) -> slot.Slot:
        """Return once the feed may be opened.

        One feed is opened at a time: it takes no slot, and a backend server
        that has just started is not asked for all of them at once. One that
        does not begin holds up the others only for a moment.
        """
        await self._opening.acquire()
        turn = slot.Slot(ticket, 1, self._give_back)
        loop = asyncio.get_running_loop()
        loop.call_later(const.FEED_TURN_S, turn.release)
        return turn

    def _give_back(self, ticket: waiter.Ticket) -> None:
        self._opening.release()
