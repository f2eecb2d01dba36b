"""Errors of requests that got no complete answer.

The base class tells the outcome: a request with a ``RefusedError`` did not
run, one with an ``OutcomeLostError`` may have run.
"""

import typing

from kumquatport import exceptions


class RequestRefusedError(exceptions.RefusedError):
    """The request did not run; it may be sent again later.

    Attributes:
        status: HTTP status of the error response.
        retry_after_s: When to retry, in seconds from now.
    """

    code = 'KQ-5010'
    status: typing.ClassVar[int] = 503

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        """Initialize with the reason and when to retry, in seconds."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class QueueFullError(RequestRefusedError):
    """More requests wait than the backend server can process in time."""

    code = 'KQ-5011'


class DeadlineUnmeetableError(RequestRefusedError):
    """The deadline passed before the request could start."""

    code = 'KQ-5012'


class QueueTimeoutError(RequestRefusedError):
    """The request got no slot within the maximum wait."""

    code = 'KQ-5013'


class BackendServerUnreachableError(RequestRefusedError):
    """No connection to the backend server could be opened."""

    code = 'KQ-5014'


class ConnectionsFullError(RequestRefusedError):
    """All connections to the backend server that feeds may use are in use."""

    code = 'KQ-5015'


class LeavingError(RequestRefusedError):
    """The backend server is leaving and accepts no new requests."""

    code = 'KQ-5016'


class NotConfiguredError(RequestRefusedError):
    """No document with this agent's service has been received yet."""

    code = 'KQ-5017'


class RequestMalformedError(RequestRefusedError):
    """The head of the request can't be sent over HTTP/1.1."""

    code = 'KQ-5018'
    status = 400


class HeadersTooLargeError(RequestRefusedError):
    """The headers of the request exceed their size limit."""

    code = 'KQ-5019'
    status = 431


class BodyTooLargeError(RequestRefusedError):
    """The body of the request exceeds its size limit."""

    code = 'KQ-5024'
    status = 413


class RequestLostError(exceptions.OutcomeLostError):
    """The request may have run, but no answer is available.

    Attributes:
        status: HTTP status of the error response.
        retry_after_s: When to ask for the outcome, in seconds from now.
    """

    code = 'KQ-5020'
    status: typing.ClassVar[int] = 504

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        """Initialize with the reason and when to ask again, in seconds."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class AnswerTimeoutError(RequestLostError):
    """The deadline passed after the request was sent."""

    code = 'KQ-5021'


class AnswerMissingError(RequestLostError):
    """The connection to the backend server broke before any answer."""

    code = 'KQ-5022'


class AnswerBrokenError(RequestLostError):
    """The answer was cut off after its head had been sent to the caller.

    The caller's stream is reset, so that the answer can't pass for complete.
    """

    code = 'KQ-5023'


RequestError: typing.TypeAlias = RequestRefusedError | RequestLostError
REQUEST_ERRORS = (RequestRefusedError, RequestLostError)
