"""Kinds of message that every peer understands."""

import typing

from kumquatport.connection.control import const, frame


class ErrorReply(typing.NamedTuple):
    """Answer in place of the one asked for.

    Attributes:
        code: Stable code of the error.
        reason: What went wrong, for logs.
    """

    code: str
    reason: str


frame.register(const.KIND_ERROR_REPLY, ErrorReply)
