"""HTTP/3 client for tests, usable as a library and from a command line."""

import argparse
import asyncio
import contextlib
import hashlib
import json
import pathlib
import socket
import ssl
from collections import abc

from aioquic.asyncio import protocol as quic_protocol
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, events
from aioquic.quic import connection as quic_connection

from tests.standins import caller_errors as errors
from tests.standins import caller_exchange, runner

HANDSHAKE_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = caller_exchange.ANSWER_TIMEOUT_S
IDLE_TIMEOUT_S = 60.0
RESET_TOKEN_BYTES = 16
MIN_RESET_BYTES = 21
LONG_HEADER_BIT = 0x80
BUFFER_BYTES = 1 << 20

Headers = abc.Mapping[str, str]


class _H3Connection(h3_connection.H3Connection):
    """Records GOAWAY, which aioquic ignores."""

    goaway = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == h3_connection.FrameType.GOAWAY:
            self.goaway = True


class Connection(quic_protocol.QuicConnectionProtocol):
    """One HTTP/3 connection to a service address."""

    def __init__(self, quic: quic_connection.QuicConnection, name: str) -> None:
        super().__init__(quic)
        self.lost: errors.CallerError | None = None
        self.ready = asyncio.Event()
        self.sent: list[bytes] = []
        self.recording = False
        self._name = name
        self._h3 = _H3Connection(quic)
        self._exchanges: dict[int, caller_exchange.Exchange] = {}

    @property
    def goaway(self) -> bool:
        """Whether the peer sent GOAWAY and takes no new requests."""
        return self._h3.goaway

    @property
    def transport(self) -> asyncio.DatagramTransport:
        """The UDP transport, for tests that send raw datagrams."""
        return self._transport

    @property
    def local_endpoint(self) -> runner.Endpoint:
        return self._transport.get_extra_info('sockname')

    def start(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
    ) -> caller_exchange.Exchange:
        """Send a request; the exchange yields its response."""
        if self.lost is not None:
            raise self.lost
        if self.goaway:
            raise errors.GoawayError
        stream_id = self._quic.get_next_available_stream_id()
        exchange = caller_exchange.Exchange(stream_id, self.cancel)
        self._exchanges[stream_id] = exchange
        fields = {
            ':method': method,
            ':scheme': 'https',
            ':authority': self._name,
            ':path': path,
            **(headers or {}),
        }
        self._h3.send_headers(
            stream_id,
            [(key.encode(), value.encode()) for key, value in fields.items()],
            end_stream=not body,
        )
        if body:
            self._h3.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return exchange

    async def async_request(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> caller_exchange.Response:
        """Send a request and wait for the complete response."""
        exchange = self.start(method, path, headers, body)
        return await exchange.async_answer(timeout_s)

    async def async_pull(
        self,
        name: str,
        size: int,
        headers: Headers | None = None,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> caller_exchange.Response:
        """Pull a body; raise ``ChecksumError`` if a 200 is incomplete."""
        answer = await self.async_request(
            'GET', f'/pull/{name}?bytes={size}', headers, b'', timeout_s
        )
        digest = hashlib.sha256(answer.body).hexdigest()
        complete = len(answer.body) == size
        if answer.status == 200 and not (
            complete and digest == answer.headers.get('x-checksum')
        ):
            raise errors.ChecksumError(len(answer.body))
        return answer

    async def async_ping(self, timeout_s: float = ANSWER_TIMEOUT_S) -> None:
        """Wait until the peer acknowledges a PING."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.ping()
        except TimeoutError as error:
            raise errors.ResponseTimeoutError(timeout_s) from error
        except ConnectionError as error:
            raise self.lost or error from error

    def cancel(self, stream_id: int) -> None:
        """Reset the stream of a request and ask the peer to stop sending."""
        code = errors.H3_REQUEST_CANCELLED
        with contextlib.suppress(AssertionError, ValueError):
            self._quic.stop_stream(stream_id, code)
        with contextlib.suppress(AssertionError, ValueError):
            self._quic.reset_stream(stream_id, code)
        self.transmit()

    async def async_close(self) -> None:
        """Close the connection and its socket."""
        self.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.wait_closed()
        self._mark_lost(errors.ConnectionLostError(0, 'closed here'))
        self.abandon()

    def abandon(self) -> None:
        """Close the socket without notice, as a crashed client would."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transport.close()

    def datagram_received(self, data: bytes, addr: runner.Endpoint) -> None:
        if self._is_stateless_reset(data):
            self._mark_lost(errors.StatelessResetError())
            return
        super().datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore socket errors; QUIC timers handle the loss."""

    def transmit(self) -> None:
        if self._transport.is_closing():
            return
        if self.recording:
            self._send_and_record()
        super().transmit()

    def quic_event_received(self, event: events.QuicEvent) -> None:
        if isinstance(event, events.HandshakeCompleted):
            self.ready.set()
        elif isinstance(event, events.ConnectionTerminated):
            self._mark_lost(
                errors.ConnectionLostError(
                    event.error_code, event.reason_phrase
                )
            )
        elif isinstance(event, events.StreamReset):
            self._deliver_event(
                event.stream_id, errors.StreamResetError(event.error_code)
            )
        for h3_event in self._h3.handle_event(event):
            self._deliver_event(h3_event.stream_id, h3_event)

    def _send_and_record(self) -> None:
        # Sends all datagrams due now, so that the parent class finds none.
        now = self._loop.time()
        for data, addr in self._quic.datagrams_to_send(now=now):
            self.sent.append(data)
            self._transport.sendto(data, addr)

    def _deliver_event(
        self, stream_id: int, event: h3_events.H3Event | Exception
    ) -> None:
        exchange = self._exchanges.get(stream_id)
        if exchange is None:
            return
        exchange.deliver(event)
        ended = isinstance(event, Exception) or event.stream_ended
        if ended:
            del self._exchanges[stream_id]

    def _mark_lost(self, error: errors.CallerError) -> None:
        if self.lost is not None:
            return
        self.lost = error
        self.ready.set()
        for stream_id in tuple(self._exchanges):
            self._deliver_event(stream_id, error)

    def _is_stateless_reset(self, data: bytes) -> bool:
        if len(data) < MIN_RESET_BYTES or data[0] & LONG_HEADER_BIT:
            return False
        known = [self._quic._peer_cid, *self._quic._peer_cid_available]
        token = bytes(data[-RESET_TOKEN_BYTES:])
        return any(token == peer.stateless_reset_token for peer in known)


async def async_connect(
    endpoint: runner.Endpoint,
    ca: pathlib.Path | None,
    name: str = 'localhost',
    *,
    local: runner.Endpoint = ('127.0.0.1', 0),
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    recording: bool = False,
) -> Connection:
    """Open a connection to a service address.

    Args:
        endpoint: Service address.
        ca: Trusted CA certificate; None disables verification.
        name: Server name expected in the certificate.
        local: Local address and port; port 0 means any.
        timeout_s: Limit of the handshake in seconds.
        idle_timeout_s: Offered QUIC idle timeout in seconds.
        recording: Whether to keep a copy of each datagram sent.

    Raises:
        HandshakeTimeoutError: The handshake took longer than ``timeout_s``.
    """
    settings = configuration.QuicConfiguration(
        is_client=True,
        alpn_protocols=h3_connection.H3_ALPN,
        server_name=name,
        idle_timeout=idle_timeout_s,
    )
    if ca is None:
        settings.verify_mode = ssl.CERT_NONE
    else:
        settings.load_verify_locations(str(ca))
    quic = quic_connection.QuicConnection(configuration=settings)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(local)
    _, connection = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Connection(quic, name), sock=sock
    )
    connection.recording = recording
    connection.connect(endpoint)
    await _async_handshake(connection, timeout_s)
    return connection


async def _async_handshake(connection: Connection, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await connection.ready.wait()
    except TimeoutError as error:
        connection.abandon()
        raise errors.HandshakeTimeoutError(timeout_s) from error
    except asyncio.CancelledError:
        connection.abandon()
        raise
    if connection.lost is not None:
        connection.abandon()
        raise connection.lost


@contextlib.asynccontextmanager
async def connected(
    endpoint: runner.Endpoint,
    ca: pathlib.Path | None,
    name: str = 'localhost',
    **options: object,
) -> abc.AsyncIterator[Connection]:
    """Open a connection for a block; takes options of ``async_connect``."""
    connection = await async_connect(endpoint, ca, name, **options)
    try:
        yield connection
    finally:
        await connection.async_close()


async def _async_main(options: argparse.Namespace) -> None:
    headers = dict(pair.split('=', 1) for pair in options.header)
    async with connected(options.to, options.ca, options.name) as connection:
        exchanges = [
            connection.start(
                options.method, options.path, headers, options.body.encode()
            )
            for _ in range(options.count)
        ]
        for exchange in exchanges:
            answer = await exchange.async_answer()
            print(
                json.dumps(
                    {
                        'status': answer.status,
                        'bytes': len(answer.body),
                        'seconds': round(answer.seconds, 4),
                        'body': answer.body[:200].decode(errors='replace'),
                    }
                )
            )


def main() -> None:
    """Run the caller from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--to', type=runner.parse_endpoint, required=True)
    parser.add_argument('--ca', type=pathlib.Path)
    parser.add_argument('--name', default='localhost')
    parser.add_argument('--method', default='GET')
    parser.add_argument('--path', default='/')
    parser.add_argument('--body', default='')
    parser.add_argument(
        '--header', action='append', default=[], metavar='NAME=VALUE'
    )
    parser.add_argument('--count', type=int, default=1, help='requests at once')
    asyncio.run(_async_main(parser.parse_args()))


if __name__ == '__main__':
    main()
