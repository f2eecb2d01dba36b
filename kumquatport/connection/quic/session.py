"""One caller's HTTP/3 connection: a task for each of its requests."""

import asyncio
import functools
import itertools
import typing
from collections import abc

import structlog
from aioquic.asyncio import protocol
from aioquic.buffer import encode_uint_var
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import events as quic_events

from kumquatport import exceptions
from kumquatport.connection.quic import const, issuing, stream

_LOGGER = structlog.get_logger(__name__)
_NUMBERS = itertools.count(1)
_STREAM_STEP = 4

Handle = abc.Callable[
    [stream.RequestHead, stream.Exchange],
    abc.Awaitable[None],
]


class SessionCallbacks(typing.NamedTuple):
    """Who is told what becomes of a connection.

    Attributes:
        issued: Called with each new connection ID.
        retired: Called with each connection ID that is used no more.
        established: Called when the handshake is complete.
        ended: Called once when the connection has ended.
    """

    issued: abc.Callable[[bytes], None]
    retired: abc.Callable[[bytes], None]
    established: abc.Callable[[], None]
    ended: abc.Callable[[], None]


class Session(protocol.QuicConnectionProtocol):
    """A connection of one caller, held by this agent until it ends."""

    def __init__(
        self,
        quic: issuing.IssuingConnection,
        handle: Handle,
    ) -> None:
        """Wrap a QUIC connection.

        Args:
            quic: The connection.
            handle: Runs one whole request.
        """
        super().__init__(quic)
        self.number = next(_NUMBERS)
        self.established = False
        self._connection = quic
        self._handle = handle
        self._http: h3_connection.H3Connection | None = None
        self._bodies: dict[int, stream.BodyBuffer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._progress = asyncio.Event()
        self._next_stream = 0
        self._first_refused_stream: int | None = None
        self._established: abc.Callable[[], None] | None = None

    @property
    def requests_in_progress(self) -> int:
        """Number of requests that have not been answered to the end."""
        return len(self._tasks)

    def set_callbacks(self, watchers: SessionCallbacks) -> None:
        """Set who is told what becomes of this connection."""
        self._connection_id_issued_handler = watchers.issued
        self._connection_id_retired_handler = watchers.retired
        self._connection_terminated_handler = watchers.ended
        self._established = watchers.established

    def go_away(self) -> None:
        """Tell the caller to open new requests on another connection."""
        if self._http is None or self._first_refused_stream is not None:
            return
        self._first_refused_stream = self._next_stream
        frame = h3_connection.encode_frame(
            h3_connection.FrameType.GOAWAY,
            encode_uint_var(self._next_stream),
        )
        control = self._http._local_control_stream_id
        self._quic.send_stream_data(typing.cast(int, control), frame)
        self.transmit()

    def datagram_received(
        self,
        data: bytes | str,
        addr: typing.Any,
    ) -> None:
        """Take a packet of the caller.

        Args:
            data: The packet.
            addr: The caller's IP number and UDP port.
        """
        now = self._loop.time()
        self._quic.receive_datagram(typing.cast(bytes, data), addr, now=now)
        self._process_events()
        # Soon, not now: the acknowledgement then shares a datagram with what
        # the request's task sends in the same pass of the loop.
        self._transmit_soon()
        self._progress.set()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Take an event of the QUIC connection.

        Args:
            event: The event.
        """
        if isinstance(event, quic_events.HandshakeCompleted):
            self._establish()
        if isinstance(event, quic_events.ConnectionTerminated):
            self._cancel_all()
        if isinstance(event, quic_events.StreamReset):
            self._cancel(event.stream_id)
        if isinstance(event, quic_events.StopSendingReceived):
            self._cancel(event.stream_id)
        if self._http is None:
            return
        for http_event in self._http.handle_event(event):
            self._http_event_received(http_event)

    def _establish(self) -> None:
        self.established = True
        self._http = h3_connection.H3Connection(self._quic)
        if self._established is not None:
            self._established()

    def _http_event_received(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            self._open_request(event)
        if isinstance(event, h3_events.DataReceived):
            inbox = self._bodies.get(event.stream_id)
            if inbox is not None:
                inbox.feed(event.data, end=event.stream_ended)

    def _open_request(self, event: h3_events.HeadersReceived) -> None:
        inbox = self._bodies.get(event.stream_id)
        if inbox is not None:
            # Trailers: they end the body and carry nothing we pass on.
            inbox.feed(b'', end=event.stream_ended)
            return
        if self._is_refused(event.stream_id):
            self._reset(event.stream_id, const.H3_REQUEST_REJECTED)
            return
        inbox = stream.BodyBuffer(const.MAX_BODY_BYTES)
        inbox.feed(b'', end=event.stream_ended)
        self._bodies[event.stream_id] = inbox
        head = _request_head(event.headers, self.number)
        task = asyncio.create_task(
            self._async_run(event.stream_id, head, inbox),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_refused(self, stream_id: int) -> bool:
        if (
            self._first_refused_stream is not None
            and stream_id >= self._first_refused_stream
        ):
            return True
        self._next_stream = max(self._next_stream, stream_id + _STREAM_STEP)
        return False

    async def _async_run(
        self,
        stream_id: int,
        head: stream.RequestHead,
        inbox: stream.BodyBuffer,
    ) -> None:
        try:
            await self._handle(head, self._exchange(stream_id, inbox))
        except stream.StreamClosedError:
            _LOGGER.debug('caller left a request', path=head.path)
        except exceptions.KumquatportError as err:
            # A broken answer must not look like a whole one.
            _LOGGER.info('request broken', code=err.code, path=head.path)
            self._reset(stream_id, const.H3_INTERNAL_ERROR)
        except Exception:
            _LOGGER.exception('request failed', path=head.path)
            self._reset(stream_id, const.H3_INTERNAL_ERROR)
        finally:
            self._bodies.pop(stream_id, None)

    def _exchange(
        self,
        stream_id: int,
        inbox: stream.BodyBuffer,
    ) -> stream.Exchange:
        async def async_send_head(status: int, headers: stream.Headers) -> None:
            fields = [(b':status', str(status).encode())]
            fields.extend(
                (name.encode(), text.encode()) for name, text in headers
            )
            self._open_http(inbox).send_headers(stream_id, fields)
            self._transmit_soon()

        async def async_send_body(part: bytes, end: bool) -> None:
            self._open_http(inbox).send_data(stream_id, part, end)
            self._transmit_soon()
            await self._async_wait_for_room(stream_id, inbox)

        return stream.Exchange(
            async_read_body=inbox.async_read,
            async_send_head=async_send_head,
            async_send_body=async_send_body,
            reset=functools.partial(self._reset, stream_id),
            cancelled=inbox.cancelled,
        )

    def _open_http(
        self, inbox: stream.BodyBuffer
    ) -> h3_connection.H3Connection:
        if self._http is None or inbox.cancelled.is_set():
            raise stream.StreamClosedError('the caller has gone')
        return self._http

    async def _async_wait_for_room(
        self,
        stream_id: int,
        inbox: stream.BodyBuffer,
    ) -> None:
        while (
            self._connection.buffered_bytes(stream_id) > const.SEND_BUFFER_BYTES
        ):
            if inbox.cancelled.is_set():
                raise stream.StreamClosedError('the caller has gone')
            self._progress.clear()
            await self._progress.wait()

    def _reset(self, stream_id: int, error_code: int) -> None:
        if self._closed.is_set():
            return
        self._quic.reset_stream(stream_id, error_code)
        self._quic.stop_stream(stream_id, error_code)
        self.transmit()

    def _cancel(self, stream_id: int) -> None:
        inbox = self._bodies.get(stream_id)
        if inbox is not None:
            inbox.cancel()
            self._progress.set()

    def _cancel_all(self) -> None:
        for inbox in self._bodies.values():
            inbox.cancel()
        self._progress.set()


def _request_head(
    fields: list[tuple[bytes, bytes]],
    connection: int,
) -> stream.RequestHead:
    headers = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in fields
    )
    pseudo = dict(field for field in headers if field[0].startswith(':'))
    return stream.RequestHead(
        method=pseudo.get(':method', ''),
        path=pseudo.get(':path', ''),
        authority=pseudo.get(':authority', ''),
        headers=tuple(field for field in headers if field[0][:1] != ':'),
        connection=connection,
    )
