"""Whether a process has stood still and may act on what it knew before.

Load pattern: a machine is frozen or suspended for seconds while configurations
change, a failure domain is taken out or a backend server drains, and packets
wait in its sockets. What it believed when it stopped was a permission for that
moment. It opens no flow until a peer that went on has told what is in force.
"""

import typing

# Seconds without a turn of the event loop that count as a pause. Configurations
# are in force within a few seconds; a loop turns four times a second.
MIN_PAUSE_S: typing.Final = 1.0

# Seconds after which a process goes on unconfirmed: all peers may have stood
# still as well, or be out of reach, and then nobody sends it flows either.
MAX_UNCONFIRMED_S: typing.Final = 2.0


class PauseDetector:
    """The latest pause of this process.

    Attributes:
        token: Number of the pause, which its confirmation repeats, so that an
            answer from before is not taken for one.
    """

    def __init__(self, now: float) -> None:
        """Start as not paused.

        Args:
            now: Monotonic seconds that go on while the machine is suspended.
        """
        self.token = 0
        self._last_check_at = now
        self._unconfirmed_until = now

    def check(self, now: float) -> bool:
        """Note a turn of the event loop; tell whether a pause came before."""
        has_paused = now - self._last_check_at > MIN_PAUSE_S
        self._last_check_at = now
        if has_paused:
            self.token += 1
            self._unconfirmed_until = now + MAX_UNCONFIRMED_S
        return has_paused

    def is_unconfirmed(self, now: float) -> bool:
        """Tell whether no peer has confirmed yet what is in force."""
        return now < self._unconfirmed_until

    def confirm(self, token: int, now: float) -> bool:
        """End the doubt, unless a later pause has come; tell whether it did."""
        if token != self.token or not self.is_unconfirmed(now):
            return False
        self._unconfirmed_until = now
        return True
