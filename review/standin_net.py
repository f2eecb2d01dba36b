"""Sockets on loopback addresses, and small HTTP calls."""

import asyncio
import contextlib
import socket


def udp(address, port, handle):
    """Bind a UDP socket whose datagrams go to ``handle``."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    bound.bind((address, port))
    loop = asyncio.get_running_loop()

    def read():
        while True:
            try:
                datagram = bound.recvfrom(4096)[0]
            except BlockingIOError:
                return
            except OSError:
                if bound.fileno() < 0:
                    return
                continue
            handle(datagram)
            if bound.fileno() < 0:
                return

    loop.add_reader(bound, read)
    return _Bound(loop, bound)


class _Bound:
    def __init__(self, loop, bound):
        self._loop = loop
        self._bound = bound

    def sendto(self, datagram, target):
        self._bound.sendto(datagram, target)

    def close(self):
        self._loop.remove_reader(self._bound)
        self._bound.close()


def send(bound, datagram, target):
    """Send; a datagram that nobody takes is lost."""
    with contextlib.suppress(OSError):
        bound.sendto(datagram, target)


async def call(method, address, port, path, body, timeout_s=1.0):
    """Make an HTTP call; return the status, None without an answer in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                head = (
                    f'{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\n'
                    f'Content-Length: {len(body or b"")}\r\n'
                    'Content-Type: application/json\r\n'
                    'Connection: close\r\n\r\n'
                )
                writer.write(head.encode() + (body or b''))
                line = await reader.readline()
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return None
