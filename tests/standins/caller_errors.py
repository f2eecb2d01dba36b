"""What a caller may meet, each a type of its own."""

H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C


class CallerError(Exception):
    """Root of all the caller's errors."""


class HandshakeTimeoutError(CallerError):
    """No connection came about in time."""


class ResponseTimeoutError(CallerError):
    """An answer, or the rest of it, did not come in time."""


class StatelessResetError(CallerError):
    """The other end has lost the connection and said so."""


class GoawayError(CallerError):
    """The other end takes no new requests on this connection."""


class ChecksumError(CallerError):
    """A pull's body is not what its checksum says."""


class ConnectionLostError(CallerError):
    """The connection ended by a close or by idle timeout."""

    def __init__(self, error_code: int, reason: str) -> None:
        super().__init__(f'{error_code:#x} {reason}')
        self.error_code = error_code
        self.reason = reason


class StreamResetError(CallerError):
    """The other end reset the request's stream."""

    def __init__(self, error_code: int) -> None:
        super().__init__(hex(error_code))
        self.error_code = error_code

    @property
    def rejected(self) -> bool:
        """Whether the code says that the request was not processed."""
        return self.error_code == H3_REQUEST_REJECTED
