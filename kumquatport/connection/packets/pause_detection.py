"""Detection of process pauses, after which the configuration may be stale.

A host may be frozen or suspended for seconds while the configuration changes,
a failure domain is taken out or a backend server starts to drain, and packets
queue in its sockets. After a pause the process opens no flow until a peer that
was not paused has confirmed the current configuration.
"""

import typing

# Seconds without an iteration of the event loop that count as a pause. New
# configuration is in force within a few seconds, and the loop runs four times a
# second.
MIN_PAUSE_S: typing.Final = 1.0

# Seconds after which a process continues unconfirmed: all peers may have been
# paused too, or be unreachable, in which case none of them sends it flows
# either.
MAX_UNCONFIRMED_S: typing.Final = 2.0

# Seconds without a check after which datagrams may have waited to be read; the
# checks are at half of this interval.
MAX_CHECK_GAP_S: typing.Final = 0.5


class PauseDetector:
    """Detects pauses of this process and tracks their confirmation.

    Attributes:
        token: Number of the latest pause. A confirmation repeats it, so that an
            answer to an earlier pause is not accepted.
    """

    def __init__(self, now: float) -> None:
        """Start as not paused.

        Args:
            now: Monotonic time in seconds that advances during suspension.
        """
        self.token = 0
        self._last_check_at = now
        self._unconfirmed_until = now

    def check(self, now: float) -> bool:
        """Return whether the process was paused since the previous call.

        A gap between two calls of more than ``MIN_PAUSE_S`` counts as a pause.

        Args:
            now: Monotonic time in seconds that advances during suspension.
        """
        has_paused = now - self._last_check_at > MIN_PAUSE_S
        self._last_check_at = now
        if has_paused:
            self.token += 1
            self._unconfirmed_until = now + MAX_UNCONFIRMED_S
        return has_paused

    def may_have_paused(self, now: float) -> bool:
        """Return whether datagrams read now may have waited for long.

        Args:
            now: Monotonic time in seconds that advances during suspension.
        """
        return (
            now - self._last_check_at > MAX_CHECK_GAP_S
            or self.is_unconfirmed(now)
        )

    def is_unconfirmed(self, now: float) -> bool:
        """Return whether no peer has confirmed the configuration yet.

        Args:
            now: Monotonic time in seconds that advances during suspension.
        """
        return now < self._unconfirmed_until

    def confirm(self, token: int, now: float) -> bool:
        """Accept a peer's confirmation of the configuration.

        Args:
            token: Number of the pause that the peer confirms.
            now: Monotonic time in seconds that advances during suspension.

        Returns:
            False if the token is of an earlier pause or nothing is unconfirmed.
        """
        if token != self.token or not self.is_unconfirmed(now):
            return False
        self._unconfirmed_until = now
        return True
