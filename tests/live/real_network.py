"""The emulator's clients and backend servers on real time and sockets."""

import asyncio
import contextlib
import random
import socket
import typing
from collections import abc

Handler = abc.Callable[[bytes, tuple[str, int]], None]


class RealNetwork:
    """What clients and backend servers need of a world, on an event loop."""

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
            # What cannot be sent is lost, as on any network.
            with contextlib.suppress(OSError):
                bound.sendto(datagram, target)

        self._loop.add_reader(bound, _read_all, bound, handler)
        return send

    def create_port_switch(
        self, address: str, port: int
    ) -> abc.Callable[[bool], None]:
        """Return a function that opens or closes a TCP port.

        Connections are taken and closed; they only show that it is open.
        """
        opened: list[socket.socket] = []

        def set_open(is_open: bool) -> None:
            while opened:
                closing = opened.pop()
                self._sockets.remove(closing)
                self._loop.remove_reader(closing)
                closing.close()
            if is_open:
                bound = socket.create_server((address, port), backlog=128)
                bound.setblocking(False)
                opened.append(bound)
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
            # An agent that is down refuses what was sent to it.
            continue
        handler(datagram, source)


def _accept_all(bound: socket.socket) -> None:
    with contextlib.suppress(BlockingIOError):
        while True:
            taken, _ = bound.accept()
            taken.close()
