"""Bare aioquic server with the responses of the backend server stand-in.

Usage: ``python -m bench.bare_http3 ADDRESS PORT FOLDER``, where the folder
contains ``cert.pem`` and ``key.pem``.
"""

import asyncio
import json
import pathlib
import sys

from aioquic import asyncio as quic_asyncio
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, events


class FixedResponseProtocol(quic_asyncio.QuicConnectionProtocol):
    """Answers every request with a small JSON document."""

    def quic_event_received(self, event: events.QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, events.ProtocolNegotiated):
            self._http = h3_connection.H3Connection(self._quic)
        if not hasattr(self, '_http'):
            return
        for http_event in self._http.handle_event(event):
            if isinstance(http_event, h3_events.HeadersReceived):
                self._answer(http_event.stream_id, dict(http_event.headers))

    def _answer(self, stream_id: int, fields: dict[bytes, bytes]) -> None:
        document = {
            'path': fields[b':path'].decode(),
            'service': 'storefront',
            'server': 'storefront-1-server',
            'echo': fields.get(b'x-echo', b'').decode(),
        }
        body = json.dumps(document).encode()
        head = [
            (b':status', b'200'),
            (b'content-type', b'application/json; charset=utf-8'),
            (b'content-length', str(len(body)).encode()),
        ]
        self._http.send_headers(stream_id, head)
        self._http.send_data(stream_id, body, end_stream=True)
        self.transmit()


async def _async_main(address: str, port: int, folder: pathlib.Path) -> None:
    settings = configuration.QuicConfiguration(
        is_client=False, alpn_protocols=h3_connection.H3_ALPN
    )
    settings.load_cert_chain(folder / 'cert.pem', folder / 'key.pem')
    await quic_asyncio.serve(
        address,
        port,
        configuration=settings,
        create_protocol=FixedResponseProtocol,
    )
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(
        _async_main(sys.argv[1], int(sys.argv[2]), pathlib.Path(sys.argv[3]))
    )
