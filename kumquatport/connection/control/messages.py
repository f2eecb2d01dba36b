"""Messages that every peer supports."""

import typing

from kumquatport.connection.control import const, frame


class ErrorReply(typing.NamedTuple):
    """Reply to a request that failed.

    Attributes:
        code: Stable error code.
        reason: Description of the error, for logs.
    """

    code: str
    reason: str


frame.register(const.KIND_ERROR_REPLY, ErrorReply)
