"""Feeds hold connections to the backend server, not slots."""

import contextlib
from collections import abc

from kumquatport.request import errors, policy


class Feeds:
    """Counts open feeds, and leaves connections for what holds slots."""

    def __init__(self) -> None:
        """Begin with none open."""
        self._open = 0
        self._most = 0

    @property
    def open(self) -> int:
        """Feeds open or being opened."""
        return self._open

    def configure(self, limits: policy.Limits) -> None:
        """Keep twice the slots free of the backend server's connections."""
        self._most = max(limits.connections - 2 * limits.slots, 0)

    @contextlib.contextmanager
    def admitted(
        self, request_class: policy.RequestClass
    ) -> abc.Iterator[None]:
        """Count a request while it lasts, if it is a feed.

        Raises:
            errors.ConnectionsFullError: No connection is left for feeds.
        """
        if request_class.holds_slot:
            yield
            return
        if self._open >= self._most:
            raise errors.ConnectionsFullError('no connection left for feeds')
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
