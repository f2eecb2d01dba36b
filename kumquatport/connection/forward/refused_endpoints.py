"""Agents whose process was just seen to be gone."""

import time
from collections import abc

from kumquatport.connection.forward import header

REFUSAL_TTL_S = 2.0


class RefusedEndpoints:
    """Endpoints that refused a forward a moment ago.

    New flows avoid them until they have had time to come back or until the
    members' records say so. Established flows are not affected: each of their
    packets is answered by what the kernel says of it.
    """

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic):
        """Start with none.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._until: dict[header.Endpoint, float] = {}

    def __bool__(self) -> bool:
        """Tell whether any endpoint is noted."""
        return bool(self._until)

    def add(self, endpoint: header.Endpoint) -> None:
        """Note that an endpoint has refused a forward."""
        self._until[endpoint] = self._clock() + REFUSAL_TTL_S

    def remove(self, endpoint: header.Endpoint) -> None:
        """Forget an endpoint, for example when its agent is back."""
        self._until.pop(endpoint, None)

    def is_refused(self, endpoint: header.Endpoint) -> bool:
        """Tell whether an endpoint refused a forward a moment ago."""
        until = self._until.get(endpoint)
        if until is None:
            return False
        if until > self._clock():
            return True
        self.remove(endpoint)
        return False
