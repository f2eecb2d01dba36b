"""What can become of a request that got no whole answer.

The class says what is known of its outcome: a ``RefusedError`` did not run,
an ``OutcomeLostError`` may have run.
"""

import typing

from kumquatport import exceptions


class RequestRefusedError(exceptions.RefusedError):
    """The request did not run; it may be sent again after a while.

    Attributes:
        status: HTTP status of the answer.
        retry_after_s: When to come back, in seconds from now.
    """

    code = 'KQ-5010'
    status: typing.ClassVar[int] = 503

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        """Say why, and when to come back."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class QueueFullError(RequestRefusedError):
    """More work waits than this backend server gets through in time."""

    code = 'KQ-5011'


class DeadlineUnmeetableError(RequestRefusedError):
    """The request would not begin early enough to meet its deadline."""

    code = 'KQ-5012'


class QueueTimeoutError(RequestRefusedError):
    """The request waited as long as it may and got no slot."""

    code = 'KQ-5013'


class BackendServerUnreachableError(RequestRefusedError):
    """No connection to the backend server could be opened."""

    code = 'KQ-5014'


class ConnectionsFullError(RequestRefusedError):
    """The backend server holds as many connections as it may."""

    code = 'KQ-5015'


class LeavingError(RequestRefusedError):
    """The backend server is leaving and takes no new work."""

    code = 'KQ-5016'


class NotConfiguredError(RequestRefusedError):
    """No document has named this agent's service yet."""

    code = 'KQ-5017'


class RequestMalformedError(RequestRefusedError):
    """The request's head can't be carried over HTTP/1.1."""

    code = 'KQ-5018'
    status = 400


class HeadersTooLargeError(RequestRefusedError):
    """The request's headers are over the size limit."""

    code = 'KQ-5019'
    status = 431


class BodyTooLargeError(RequestRefusedError):
    """The request's body is over the size limit."""

    code = 'KQ-5024'
    status = 413


class RequestLostError(exceptions.OutcomeLostError):
    """The request may have run, and no answer can be had.

    Attributes:
        status: HTTP status of the answer.
        retry_after_s: When to ask what became of it, in seconds from now.
    """

    code = 'KQ-5020'
    status: typing.ClassVar[int] = 504

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        """Say what happened, and when to ask again."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class AnswerTimeoutError(RequestLostError):
    """The deadline passed after the request had been sent."""

    code = 'KQ-5021'


class AnswerMissingError(RequestLostError):
    """The backend server's connection broke before any answer came."""

    code = 'KQ-5022'


class AnswerBrokenError(RequestLostError):
    """The answer broke off after its head had gone to the caller.

    The caller's stream is reset, never ended as if the answer were whole.
    """

    code = 'KQ-5023'


RequestError: typing.TypeAlias = RequestRefusedError | RequestLostError
REQUEST_ERRORS = (RequestRefusedError, RequestLostError)
