"""HTTP/3 connection of one caller, with a task for each request."""

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
_CONNECTION_NUMBERS = itertools.count(1)
_STREAM_ID_STEP = 4

Handle = abc.Callable[
    [stream.RequestHead, stream.Exchange],
    abc.Awaitable[None],
]


class SessionCallbacks(typing.NamedTuple):
    """Callbacks for the events of one connection.

    Attributes:
        issued: Called with each new connection ID.
        retired: Called with each retired connection ID.
        established: Called when the handshake is complete.
        ended: Called once when the connection has ended.
    """

    issued: abc.Callable[[bytes], None]
    retired: abc.Callable[[bytes], None]
    established: abc.Callable[[], None]
    ended: abc.Callable[[], None]


class Session(protocol.QuicConnectionProtocol):
    """HTTP/3 connection of one caller.

    Attributes:
        number: Number of the connection, unique in this process.
        established: Whether the handshake is complete.
    """

    def __init__(
        self,
        quic: issuing.IssuingConnection,
        handle: Handle,
    ) -> None:
        """Wrap a QUIC connection.

        Args:
            quic: The QUIC connection.
            handle: Handles one request to its end.
        """
        super().__init__(quic)
        self.number = next(_CONNECTION_NUMBERS)
        self.established = False
        self._connection = quic
        self._handle = handle
        self._http: h3_connection.H3Connection | None = None
        self._bodies: dict[int, stream.BodyBuffer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._progress = asyncio.Event()
        self._next_stream = 0
        self._first_refused_stream: int | None = None
        self._on_established: abc.Callable[[], None] | None = None

    @property
    def requests_in_progress(self) -> int:
        """Number of requests that are not completely answered."""
        return len(self._tasks)

    def set_callbacks(self, callbacks: SessionCallbacks) -> None:
        """Set the callbacks for the events of this connection."""
        self._connection_id_issued_handler = callbacks.issued
        self._connection_id_retired_handler = callbacks.retired
        self._connection_terminated_handler = callbacks.ended
        self._on_established = callbacks.established

    def go_away(self) -> None:
        """Send GOAWAY, so that new requests use another connection."""
        if self._http is None or self._first_refused_stream is not None:
            return
        self._first_refused_stream = self._next_stream
        frame = h3_connection.encode_frame(
            h3_connection.FrameType.GOAWAY,
            encode_uint_var(self._next_stream),
        )
        control_stream = self._http._local_control_stream_id
        self._quic.send_stream_data(typing.cast(int, control_stream), frame)
        self.transmit()

    def datagram_received(
        self,
        data: bytes | str,
        addr: typing.Any,
    ) -> None:
        """Process a packet of the caller.

        Args:
            data: The packet.
            addr: IPv4 address and UDP port of the caller.
        """
        now = self._loop.time()
        self._quic.receive_datagram(typing.cast(bytes, data), addr, now=now)
        self._process_events()
        # Deferred, so that the acknowledgement shares a datagram with what the
        # request's task sends in the same iteration of the event loop.
        self._transmit_soon()
        self._progress.set()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Process an event of the QUIC connection.

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
        if self._on_established is not None:
            self._on_established()

    def _http_event_received(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            self._open_request(event)
        if isinstance(event, h3_events.DataReceived):
            body = self._bodies.get(event.stream_id)
            if body is not None:
                body.feed(event.data, end=event.stream_ended)

    def _open_request(self, event: h3_events.HeadersReceived) -> None:
        body = self._bodies.get(event.stream_id)
        if body is not None:
            # Trailers end the body; their fields are not forwarded.
            body.feed(b'', end=event.stream_ended)
            return
        if self._is_refused(event.stream_id):
            self._reset(event.stream_id, const.H3_REQUEST_REJECTED)
            return
        body = stream.BodyBuffer(const.MAX_BODY_BYTES)
        body.feed(b'', end=event.stream_ended)
        self._bodies[event.stream_id] = body
        head = _request_head(event.headers, self.number)
        task = asyncio.create_task(
            self._async_run(event.stream_id, head, body),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_refused(self, stream_id: int) -> bool:
        if (
            self._first_refused_stream is not None
            and stream_id >= self._first_refused_stream
        ):
            return True
        self._next_stream = max(self._next_stream, stream_id + _STREAM_ID_STEP)
        return False

    async def _async_run(
        self,
        stream_id: int,
        head: stream.RequestHead,
        body: stream.BodyBuffer,
    ) -> None:
        try:
            await self._handle(head, self._exchange(stream_id, body))
        except stream.StreamClosedError:
            _LOGGER.debug('caller cancelled a request', path=head.path)
        except exceptions.KumquatportError as err:
            # An incomplete response must not look complete to the caller.
            _LOGGER.info('request aborted', code=err.code, path=head.path)
            self._reset(stream_id, const.H3_INTERNAL_ERROR)
        except Exception:
            _LOGGER.exception('request failed', path=head.path)
            self._reset(stream_id, const.H3_INTERNAL_ERROR)
        finally:
            self._bodies.pop(stream_id, None)

    def _exchange(
        self,
        stream_id: int,
        body: stream.BodyBuffer,
    ) -> stream.Exchange:
        async def async_send_head(status: int, headers: stream.Headers) -> None:
            fields = [(b':status', str(status).encode())]
            fields.extend(
                (name.encode(), text.encode()) for name, text in headers
            )
            self._require_http(body).send_headers(stream_id, fields)
            self._transmit_soon()

        async def async_send_body(part: bytes, end: bool) -> None:
            self._require_http(body).send_data(stream_id, part, end)
            self._transmit_soon()
            await self._async_wait_for_send_buffer(stream_id, body)

        return stream.Exchange(
            async_read_body=body.async_read,
            async_send_head=async_send_head,
            async_send_body=async_send_body,
            reset=functools.partial(self._reset, stream_id),
            cancelled=body.cancelled,
        )

    def _require_http(
        self, body: stream.BodyBuffer
    ) -> h3_connection.H3Connection:
        if self._http is None or body.cancelled.is_set():
            raise stream.StreamClosedError('the caller has disconnected')
        return self._http

    async def _async_wait_for_send_buffer(
        self,
        stream_id: int,
        body: stream.BodyBuffer,
    ) -> None:
        while (
            self._connection.buffered_bytes(stream_id) > const.SEND_BUFFER_BYTES
        ):
            if body.cancelled.is_set():
                raise stream.StreamClosedError('the caller has disconnected')
            self._progress.clear()
            await self._progress.wait()

    def _reset(self, stream_id: int, error_code: int) -> None:
        if self._closed.is_set():
            return
        self._quic.reset_stream(stream_id, error_code)
        self._quic.stop_stream(stream_id, error_code)
        self.transmit()

    def _cancel(self, stream_id: int) -> None:
        body = self._bodies.get(stream_id)
        if body is not None:
            body.cancel()
            self._progress.set()

    def _cancel_all(self) -> None:
        for body in self._bodies.values():
            body.cancel()
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
