"""An attempt to send a request, and whether any of it may have arrived."""

import types
import typing

import aiohttp

from kumquatport.request import errors


class Attempt:
    """State of one attempt.

    ``may_have_sent`` is set when the request gets a connection: from then on
    bytes of it may have reached the backend server. The HTTP client would
    resend some methods by itself when a connection breaks; a second connection
    for the same attempt is refused to prevent that.
    """

    def __init__(self) -> None:
        """Start without a connection."""
        self.may_have_sent = False
        self._connecting = False

    def note_connecting(self) -> None:
        """Note that a new connection is being opened.

        Raises:
            errors.AnswerMissingError: A connection was opened or used before.
        """
        if self._connecting or self.may_have_sent:
            raise errors.AnswerMissingError('refused to send the request twice')
        self._connecting = True

    def note_connected(self) -> None:
        """Note that the request has got a connection.

        Raises:
            errors.AnswerMissingError: The request got a connection before.
        """
        if self.may_have_sent:
            raise errors.AnswerMissingError('refused to send the request twice')
        self.may_have_sent = True


_Context: typing.TypeAlias = types.SimpleNamespace


def trace_config() -> aiohttp.TraceConfig:
    """Return trace hooks that update the ``Attempt`` in the request context."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_async_connecting)
    config.on_connection_create_end.append(_async_connected)
    config.on_connection_reuseconn.append(_async_connected)
    return config


async def _async_connecting(
    session: aiohttp.ClientSession,
    context: _Context,
    params: object,
) -> None:
    context.trace_request_ctx.note_connecting()


async def _async_connected(
    session: aiohttp.ClientSession,
    context: _Context,
    params: object,
) -> None:
    context.trace_request_ctx.note_connected()
