"""Agents that refused a packet recently because their process is gone."""

import time
from collections import abc

from kumquatport.connection.forward import header

REFUSAL_TTL_S = 2.0


class RefusedEndpoints:
    """Endpoints that refused a packet in the last ``REFUSAL_TTL_S`` seconds.

    New flows avoid them until they have had time to restart or the members'
    records show that they are back. Established flows are not affected: each of
    their packets is sent, and the kernel reports whether it was refused.
    """

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic):
        """Create an empty set.

        Args:
            clock: Returns monotonic time in seconds.
        """
        self._clock = clock
        self._until: dict[header.Endpoint, float] = {}

    def __bool__(self) -> bool:
        """Return whether any endpoint is stored, even if it has expired."""
        return bool(self._until)

    def add(self, endpoint: header.Endpoint) -> None:
        """Add an endpoint that has refused a packet."""
        self._until[endpoint] = self._clock() + REFUSAL_TTL_S

    def remove(self, endpoint: header.Endpoint) -> None:
        """Remove an endpoint, for example when its agent is back."""
        self._until.pop(endpoint, None)

    def is_refused(self, endpoint: header.Endpoint) -> bool:
        """Return whether an endpoint refused a packet recently."""
        until = self._until.get(endpoint)
        if until is None:
            return False
        if until > self._clock():
            return True
        self.remove(endpoint)
        return False
