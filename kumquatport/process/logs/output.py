"""Standard output whose writes never block."""

import os
import typing

_STDOUT: typing.Final = 1


class NonBlockingStream:
    """Text stream that drops a line which cannot be written at once.

    Attributes:
        dropped_lines: Lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        """Set up the stream.

        Args:
            descriptor: File descriptor in non-blocking mode.
        """
        self.dropped_lines = 0
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped; returns its length."""
        try:
            os.write(self._descriptor, text.encode('utf-8', 'replace'))
        except OSError:
            # The reader is gone or slow. Only a later line could
            # report this, since this stream is the log.
            self.dropped_lines += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""


def open_stdout() -> typing.TextIO:
    """Set standard output to non-blocking mode and return it as a stream."""
    os.set_blocking(_STDOUT, False)
    return typing.cast(typing.TextIO, NonBlockingStream(_STDOUT))
