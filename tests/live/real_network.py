"""Clock, timers and sockets for the emulator's clients and servers."""

import asyncio
import contextlib
import random
import socket
import typing
from collections import abc

Handler = abc.Callable[[bytes, tuple[str, int]], None]


class RealNetwork:
    """The part of ``Simulation`` that clients and backend servers use.

    It uses the time of the event loop and real sockets.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []

    @property
    def time(self) -> float:
        return self._loop.time()

    def call_later(self, delay_s: float, call: abc.Callable[[], None]) -> None:
        self._loop.call_later(delay_s, call)

    def listen(self, address: str, port: int, handler: Handler) -> typing.Any:
        """Bind a socket; return a function that sends from it."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        bound.bind((address, port))
        self._sockets.append(bound)

        def send(datagram: bytes, target: tuple[str, int]) -> None:
            # A datagram that cannot be sent is lost, as on any network.
            with contextlib.suppress(OSError):
                bound.sendto(datagram, target)

        self._loop.add_reader(bound, _read_all, bound, handler)
        return send

    def create_port_switch(
        self, address: str, port: int
    ) -> abc.Callable[[bool], None]:
        """Return a function that opens or closes a TCP port.

        Connections are accepted and closed at once; they only show that the
        port is open.
        """
        listening: list[socket.socket] = []

        def set_open(is_open: bool) -> None:
            while listening:
                closing = listening.pop()
                self._sockets.remove(closing)
                self._loop.remove_reader(closing)
                closing.close()
            if is_open:
                bound = socket.create_server((address, port), backlog=128)
                bound.setblocking(False)
                listening.append(bound)
                self._sockets.append(bound)
                self._loop.add_reader(bound, _accept_all, bound)

        return set_open

    def close(self) -> None:
        for bound in self._sockets:
            self._loop.remove_reader(bound)
            bound.close()
        self._sockets.clear()


def _read_all(bound: socket.socket, handler: Handler) -> None:
    while True:
        try:
            datagram, source = bound.recvfrom(4096)
        except BlockingIOError:
            return
        except OSError:
            # Reports that an earlier datagram was refused: its agent is down.
            continue
        handler(datagram, source)


def _accept_all(bound: socket.socket) -> None:
    with contextlib.suppress(BlockingIOError):
        while True:
            connection, _ = bound.accept()
            connection.close()
