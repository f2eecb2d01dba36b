"""Child process of the agent's benchmark: a bare HTTP/3 server."""

import asyncio
import json
import os
import pathlib
import weakref

from aioquic.asyncio import protocol, server
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, events

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_STAT_UTIME = 13
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(') ')[2].split()
    user, system = fields[_STAT_UTIME - 2], fields[_STAT_UTIME - 1]
    return (int(user) + int(system)) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
    return int(statm.split()[1]) * _PAGE_BYTES


_CONNECTIONS: weakref.WeakKeyDictionary[
    protocol.QuicConnectionProtocol,
    h3_connection.H3Connection,
] = weakref.WeakKeyDictionary()


class _Bare(protocol.QuicConnectionProtocol):
    _http: h3_connection.H3Connection | None = None

    def quic_event_received(self, event: events.QuicEvent) -> None:
        if isinstance(event, events.ProtocolNegotiated):
            _CONNECTIONS[self] = h3_connection.H3Connection(self._quic)
        http = _CONNECTIONS.get(self)
        if http is None:
            return
        for one in http.handle_event(event):
            if isinstance(one, h3_events.HeadersReceived):
                self._answer(http, one)

    def _answer(
        self,
        http: h3_connection.H3Connection,
        asked: h3_events.HeadersReceived,
    ) -> None:
        echo = dict(asked.headers).get(b'x-echo', b'').decode()
        content = {'server': 'bare', 'service': 'storefront', 'echo': echo}
        body = json.dumps(content).encode()
        fields = [
            (b':status', b'200'),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        http.send_headers(asked.stream_id, fields)
        http.send_data(asked.stream_id, body, end_stream=True)
        self.transmit()


def run_bare(address: str, port: int, folder: str) -> None:
    """Serve until the process is ended."""
    asyncio.run(_async_bare(address, port, pathlib.Path(folder)))


async def _async_bare(address: str, port: int, folder: pathlib.Path) -> None:
    settings = configuration.QuicConfiguration(
        is_client=False,
        alpn_protocols=h3_connection.H3_ALPN,
    )
    settings.load_cert_chain(folder / 'cert.pem', folder / 'key.pem')
    await server.serve(
        address,
        port,
        configuration=settings,
        create_protocol=_Bare,
    )
    await asyncio.Event().wait()
