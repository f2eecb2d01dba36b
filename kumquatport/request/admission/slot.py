"""A slot that a request holds."""

from collections import abc

from kumquatport.request.queue import waiter


class Slot:
    """Held until it is released, at most once."""

    def __init__(
        self,
        slot_request: waiter.SlotRequest,
        in_progress: int,
        on_release: abc.Callable[[waiter.SlotRequest], None],
    ) -> None:
        """Take the slot.

        Args:
            slot_request: Whose it is.
            in_progress: Requests in progress now, itself included.
            on_release: Called once when it is released.
        """
        self.in_progress = in_progress
        self._slot_request = slot_request
        self._on_release = on_release
        self._is_held = True

    def release(self) -> None:
        """Give the slot back, at the first call."""
        if self._is_held:
            self._is_held = False
            self._on_release(self._slot_request)
