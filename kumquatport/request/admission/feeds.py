"""Limits feeds, which hold connections to the backend server, but no slots."""

import asyncio

from kumquatport.request import errors, policy
from kumquatport.request.admission import const, slot
from kumquatport.request.queue import waiter


class Feeds:
    """Counts feeds and opens them one at a time."""

    def __init__(self) -> None:
        """Start without feeds; none is allowed before ``configure``."""
        self._open = 0
        self._max_open = 0
        self._opening_turn = asyncio.Semaphore(1)

    @property
    def open(self) -> int:
        """Feeds that are open, being opened or waiting to be opened."""
        return self._open

    def configure(self, limits: policy.Limits) -> None:
        """Set the maximum number of feeds.

        Twice as many connections to the backend server as it has slots are
        reserved for other requests.
        """
        self._max_open = max(limits.connections - 2 * limits.slots, 0)

    def add(self) -> None:
        """Count a new feed.

        Raises:
            errors.ConnectionsFullError: No connection is left for feeds.
        """
        if self._open >= self._max_open:
            raise errors.ConnectionsFullError(
                'all connections that feeds may use are in use',
            )
        self._open += 1

    def remove(self) -> None:
        """Stop counting a feed that has ended."""
        self._open -= 1

    async def async_acquire(
        self, slot_request: waiter.SlotRequest
    ) -> slot.Slot:
        """Wait for this feed's turn to be opened.

        Feeds take no slot and are opened one at a time, so that a backend
        server that has just started does not get all of them at once. A feed
        that does not begin gives up its turn after ``FEED_OPENING_TURN_S``.
        """
        await self._opening_turn.acquire()
        turn = slot.Slot(slot_request, 1, self._release_turn)
        loop = asyncio.get_running_loop()
        loop.call_later(const.FEED_OPENING_TURN_S, turn.release)
        return turn

    def _release_turn(self, slot_request: waiter.SlotRequest) -> None:
        self._opening_turn.release()
