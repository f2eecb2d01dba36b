"""One try to send a request, and whether any of it can have arrived."""

import types
import typing

import aiohttp

from kumquatport.request import errors


class Attempt:
    """What is known of one try.

    ``begun`` is set when a connection is handed to the request: from then on
    a byte of it may have reached the backend server. The HTTP client would
    send some methods again by itself when a connection breaks; asking for a
    second connection for the same attempt is refused instead.
    """

    def __init__(self) -> None:
        """Begin with nothing sent."""
        self.may_have_sent = False
        self._connecting = False

    def note_connecting(self) -> None:
        """Note that a new connection is being opened.

        Raises:
            errors.AnswerMissingError: A connection was handed out before.
        """
        if self._connecting or self.may_have_sent:
            raise errors.AnswerMissingError('sending again was refused')
        self._connecting = True

    def note_connected(self) -> None:
        """Note that a connection is handed to the request.

        Raises:
            errors.AnswerMissingError: A connection was handed out before.
        """
        if self.may_have_sent:
            raise errors.AnswerMissingError('sending again was refused')
        self.may_have_sent = True


_Context: typing.TypeAlias = types.SimpleNamespace


def trace_config() -> aiohttp.TraceConfig:
    """Return hooks that keep the ``Attempt`` given as request context."""
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
