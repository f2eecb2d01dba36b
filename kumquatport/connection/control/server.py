"""Server of control messages."""

import typing
from collections import abc

import mode
import pynng
import structlog

from kumquatport import exceptions
from kumquatport.connection.control import (
    const,
    frame,
    messages,
    threads,
    traffic,
)

_LOGGER = structlog.get_logger(__name__)

Handler = abc.Callable[[typing.Any], abc.Awaitable[typing.Any]]


class ControlServer(mode.Service):
    """Receives control messages and dispatches them to their handlers."""

    def __init__(
        self,
        address: str,
        port: int,
        key: bytes,
        counts: traffic.Traffic,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            address: IPv4 address to listen on.
            port: TCP port to listen on.
            key: Key from ``frame.control_key``.
            counts: Counters of the traffic.
        """
        super().__init__()
        self._url = f'tcp://{address}:{port}'
        self._key = key
        self._counts = counts
        self._handlers: dict[type[typing.Any], Handler] = {}
        self._socket: pynng.Rep0 | None = None
        self._contexts: list[pynng.Context] = []

    def handle(self, message_type: type[typing.Any], handler: Handler) -> None:
        """Set the handler of all messages of a type.

        Args:
            message_type: A registered type.
            handler: Coroutine function from a message to the reply. It may
                raise a ``KumquatportError``. Messages may be delivered more
                than once.
        """
        self._handlers[message_type] = handler

    async def on_start(self) -> None:
        """Start listening.

        Raises:
            StartError: The address or port cannot be bound.
        """
        threads.limit_nng_threads()
        socket = pynng.Rep0(recv_max_size=const.MAX_FRAME_BYTES)
        try:
            socket.listen(self._url)
        except pynng.NNGException as error:
            socket.close()
            raise exceptions.StartError(f'{self._url}: {error}') from error
        self._socket = socket
        for _ in range(const.SERVER_CONTEXTS):
            context = socket.new_context()
            self._contexts.append(context)
            self.add_future(self._async_serve(context))

    async def on_stop(self) -> None:
        """Close the listener."""
        while self._contexts:
            self._contexts.pop().close()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _async_serve(self, context: pynng.Context) -> None:
        while not self.should_stop:
            try:
                await self._async_exchange(context)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # The client disconnected; the context stays usable.
                _LOGGER.debug('reply not sent', error=repr(error))

    async def _async_exchange(self, context: pynng.Context) -> None:
        encoded = await context.arecv()
        reply = await self._async_reply(encoded)
        request_tag = frame.tag(encoded)
        try:
            answer = frame.encode(reply, self._key, request_tag)
        except exceptions.FrameTooLongError as error:
            reply = self._refuse(error)
            answer = frame.encode(reply, self._key, request_tag)
        if self._socket is None:
            # The server stopped while the handler ran and closed the context.
            return
        self._counts.count_sent(reply, len(answer))
        await context.asend(answer)

    async def _async_reply(self, encoded: bytes) -> typing.Any:
        try:
            message = frame.decode(encoded, self._key)
        except exceptions.FrameError as error:
            return self._refuse(error)
        self._counts.count_received(message, len(encoded))
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            return self._refuse(exceptions.FrameKindError(name))
        try:
            return await handler(message)
        except exceptions.KumquatportError as error:
            return self._refuse(error)
        except Exception:
            _LOGGER.exception('handler failed', kind=type(message).__name__)
            return self._refuse(exceptions.KumquatportError('handler failed'))

    def _refuse(
        self,
        error: exceptions.KumquatportError,
    ) -> messages.ErrorReply:
        self._counts.errors[error.code] += 1
        return messages.ErrorReply(error.code, str(error))
