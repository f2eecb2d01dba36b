"""A slot that a request holds."""

from collections import abc

from kumquatport.request.queue import waiter


class Slot:
    """Held until it is released, at most once."""

    def __init__(
        self,
        ticket: waiter.Ticket,
        in_progress: int,
        give_back: abc.Callable[[waiter.Ticket], None],
    ) -> None:
        """Take the slot.

        Args:
            ticket: Whose it is.
            in_progress: Requests in progress now, itself included.
            give_back: Called once when it is released.
        """
        self.in_progress = in_progress
        self._ticket = ticket
        self._give_back = give_back
        self._held = True

    def release(self) -> None:
        """Give the slot back, at the first call."""
        if self._held:
            self._held = False
            self._give_back(self._ticket)
