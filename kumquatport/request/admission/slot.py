"""A concurrency slot held by a request."""

from collections import abc

from kumquatport.request.queue import waiter


class Slot:
    """A slot that can be released once."""

    def __init__(
        self,
        slot_request: waiter.SlotRequest,
        in_progress: int,
        on_release: abc.Callable[[waiter.SlotRequest], None],
    ) -> None:
        """Hold the slot.

        Args:
            slot_request: The request that holds the slot.
            in_progress: Requests in progress now, this one included.
            on_release: Called once, when the slot is released.
        """
        self.in_progress = in_progress
        self._slot_request = slot_request
        self._on_release = on_release
        self._is_held = True

    def release(self) -> None:
        """Release the slot; later calls have no effect."""
        if self._is_held:
            self._is_held = False
            self._on_release(self._slot_request)
