"""A plain HTTP/3 server for tests of the caller."""

import asyncio
import pathlib

from aioquic import asyncio as quic_asyncio
from aioquic.asyncio import protocol as quic_protocol
from aioquic.asyncio import server as quic_server
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, events

from tests.standins import pull

H3_REQUEST_REJECTED = 0x10B


class EchoServer(quic_protocol.QuicConnectionProtocol):
    """Serves ``/echo``, ``/pull/x``, ``/feed``, ``/reject`` and other paths."""

    def quic_event_received(self, event: events.QuicEvent) -> None:
        if isinstance(event, events.ProtocolNegotiated):
            self._h3 = h3_connection.H3Connection(self._quic)
        if not hasattr(self, '_h3'):
            return
        for h3_event in self._h3.handle_event(event):
            if isinstance(h3_event, h3_events.HeadersReceived):
                self._answer(h3_event.stream_id, dict(h3_event.headers))

    def _answer(self, stream_id: int, fields: dict[bytes, bytes]) -> None:
        path = fields[b':path'].decode()
        if path == '/silent':
            return
        if path == '/reject':
            self._quic.reset_stream(stream_id, H3_REQUEST_REJECTED)
        elif path == '/goaway':
            self._send_goaway(stream_id)
        elif path.startswith('/pull'):
            self._pull(stream_id, path, int(path.rpartition('=')[2]))
        else:
            self._send(stream_id, fields.get(b'x-echo', b''), {})
        self.transmit()

    def _send_goaway(self, stream_id: int) -> None:
        frame = h3_connection.encode_frame(
            h3_connection.FrameType.GOAWAY, b'\x00'
        )
        self._quic.send_stream_data(
            self._h3._local_control_stream_id, frame, False
        )
        self._send(stream_id, b'last', {})

    def _pull(self, stream_id: int, path: str, size: int) -> None:
        name = 'other' if 'broken' in path else 'x'
        body = b''.join(pull.chunks(name, size))
        checksum = pull.checksum('x', size).encode()
        self._send(stream_id, body, {b'x-checksum': checksum})

    def _send(
        self, stream_id: int, body: bytes, extra: dict[bytes, bytes]
    ) -> None:
        fields = [(b':status', b'200'), *extra.items()]
        self._h3.send_headers(stream_id, fields)
        self._h3.send_data(stream_id, body, end_stream=True)


async def async_serve(
    address: str, port: int, folder: pathlib.Path
) -> quic_server.QuicServer:
    """Serve with the development certificate in a folder."""
    settings = configuration.QuicConfiguration(
        is_client=False, alpn_protocols=h3_connection.H3_ALPN
    )
    settings.load_cert_chain(folder / 'cert.pem', folder / 'key.pem')
    return await quic_asyncio.serve(
        address,
        port,
        configuration=settings,
        create_protocol=EchoServer,
    )


async def async_wait_delivery() -> None:
    """Wait until datagrams in flight have arrived."""
    await asyncio.sleep(0.05)
