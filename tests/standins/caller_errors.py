"""Errors of the HTTP/3 client for tests."""

H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C


class CallerError(Exception):
    """Base class of the client's errors."""


class HandshakeTimeoutError(CallerError):
    """The handshake did not complete in time."""


class ResponseTimeoutError(CallerError):
    """The response did not arrive, or not completely, in time."""


class StatelessResetError(CallerError):
    """The peer no longer knows the connection and sent a reset."""


class GoawayError(CallerError):
    """The peer accepts no new requests on this connection."""


class ChecksumError(CallerError):
    """The body of a pull does not match its checksum."""


class ConnectionLostError(CallerError):
    """The connection was closed or reached its idle timeout."""

    def __init__(self, error_code: int, reason: str) -> None:
        super().__init__(f'{error_code:#x} {reason}')
        self.error_code = error_code
        self.reason = reason


class StreamResetError(CallerError):
    """The peer reset the stream of the request."""

    def __init__(self, error_code: int) -> None:
        super().__init__(hex(error_code))
        self.error_code = error_code

    @property
    def rejected(self) -> bool:
        """Whether the error code means that the request was not processed."""
        return self.error_code == H3_REQUEST_REJECTED
