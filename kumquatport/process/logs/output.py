"""Standard output that is never waited for."""

import os
import typing

_STDOUT: typing.Final = 1


class NonBlockingStream:
    """Text stream; a line that cannot be written at once is left out.

    Attributes:
        dropped_lines: Lines left out so far.
    """

    def __init__(self, descriptor: int) -> None:
        """Set up.

        Args:
            descriptor: File descriptor that does not block.
        """
        self.dropped_lines = 0
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write a line."""
        try:
            os.write(self._descriptor, text.encode('utf-8', 'replace'))
        except OSError:
            # Nobody reads, or the reader is slow; there is no other place
            # to say so but a later line.
            self.dropped_lines += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: nothing is held back."""


def open_stdout() -> typing.TextIO:
    """Return standard output as a stream that does not block."""
    os.set_blocking(_STDOUT, False)
    return typing.cast(typing.TextIO, NonBlockingStream(_STDOUT))
