"""Links of the fault-injecting proxy, one class per protocol."""

import asyncio
import contextlib
import socket
import struct
import time
import typing

from tests.standins import fabric, fault_rules, runner

CHUNK_BYTES = 65536
NO_LINGER = struct.pack('ii', 1, 0)


class Spec(typing.NamedTuple):
    """Endpoints of a link; ``protocol`` is tcp or udp."""

    name: str
    protocol: str
    listen: runner.Endpoint
    target: runner.Endpoint


class Link:
    """Base class of the links."""

    def __init__(self, spec: Spec, seed: int) -> None:
        self.spec = spec
        self.directions = {
            name: fault_rules.Direction(f'{seed}/{spec.name}/{name}')
            for name in fault_rules.DIRECTIONS
        }

    @property
    def forward(self) -> fault_rules.Direction:
        return self.directions[fault_rules.FORWARD]

    @property
    def backward(self) -> fault_rules.Direction:
        return self.directions[fault_rules.BACKWARD]

    def set_rules(self, changes: dict[str, dict]) -> None:
        """Set the rules of both directions; unnamed faults are cleared."""
        both = changes.get(fault_rules.BOTH, {})
        for name, direction in self.directions.items():
            entry = {**both, **changes.get(name, {})}
            direction.set_rules(fault_rules.Rules(**entry))

    def report(self) -> dict:
        return {
            name: {**direction.counts, 'rules': direction.rules._asdict()}
            for name, direction in self.directions.items()
        }

    def reset(self) -> None:
        """Reset open connections; no effect on a connectionless protocol."""

    def stop(self) -> None:
        raise NotImplementedError


class UdpLink(Link):
    """Relays datagrams with one upstream socket per client address."""

    def __init__(self, spec: Spec, seed: int) -> None:
        super().__init__(spec, seed)
        self._loop = asyncio.get_running_loop()
        self._upstreams: dict[runner.Endpoint, socket.socket] = {}
        self._listener = fabric.bind(*spec.listen)
        self._loop.add_reader(self._listener, self._on_listener_readable)

    def stop(self) -> None:
        for sock in (self._listener, *self._upstreams.values()):
            self._loop.remove_reader(sock)
            sock.close()

    def _on_listener_readable(self) -> None:
        for datagram, client in fabric.receive(self._listener):
            upstream = self._upstreams.get(client) or self._open_upstream(
                client
            )
            self._relay_datagram(
                self.forward, upstream, datagram, self.spec.target
            )

    def _open_upstream(self, client: runner.Endpoint) -> socket.socket:
        upstream = fabric.bind(self.spec.listen[0], 0)
        self._upstreams[client] = upstream

        def _relay_answers() -> None:
            for datagram, _ in fabric.receive(upstream):
                self._relay_datagram(
                    self.backward, self._listener, datagram, client
                )

        self._loop.add_reader(upstream, _relay_answers)
        return upstream

    def _relay_datagram(
        self,
        direction: fault_rules.Direction,
        sock: socket.socket,
        datagram: bytes,
        target: runner.Endpoint,
    ) -> None:
        def _send() -> None:
            with contextlib.suppress(OSError):
                sock.sendto(datagram, target)

        direction.process_datagram(_send)


class TcpLink(Link):
    """Relays byte streams both ways; a cut or a freeze stalls them."""

    def __init__(self, spec: Spec, seed: int) -> None:
        super().__init__(spec, seed)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(spec.listen)
        self._socket.listen(1024)
        self._track_task(asyncio.create_task(self._async_listen()))

    def reset(self) -> None:
        """Reset all open connections with RST."""
        for writer in tuple(self._writers):
            _reset(writer)

    def stop(self) -> None:
        self.reset()
        for task in tuple(self._tasks):
            task.cancel()

    def _track_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_listen(self) -> None:
        server = await asyncio.start_server(
            self._async_handle_connection, sock=self._socket
        )
        async with server:
            await server.serve_forever()

    async def _async_handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.forward.counts['connections'] += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.spec.target
            )
        except OSError:
            _reset(writer)
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    _async_pump(self.forward, reader, target_writer)
                )
                group.create_task(
                    _async_pump(self.backward, target_reader, writer)
                )
        except* (OSError, asyncio.CancelledError):
            # Python 3.11 logs a cancelled connection handler as an error.
            self.forward.counts['broken'] += 1
        finally:
            self._writers -= pair
            for open_writer in pair:
                open_writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


async def _async_pump(
    direction: fault_rules.Direction,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=64)
    async with asyncio.TaskGroup() as group:
        group.create_task(_async_write(direction, queue, writer))
        chunk = b'-'
        while chunk:
            chunk = await reader.read(CHUNK_BYTES)
            if chunk and direction.draw_reset():
                _reset(writer)
                raise ConnectionResetError
            await queue.put((time.monotonic() + direction.draw_delay(), chunk))


async def _async_write(
    direction: fault_rules.Direction,
    queue: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        due, chunk = await queue.get()
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await direction.async_wait_unblocked()
        if not chunk:
            writer.write_eof()
            return
        writer.write(chunk)
        await writer.drain()


def open_link(spec: Spec, seed: int) -> Link:
    """Open a link for the protocol of the spec."""
    kinds = {'tcp': TcpLink, 'udp': UdpLink}
    return kinds[spec.protocol](spec, seed)
