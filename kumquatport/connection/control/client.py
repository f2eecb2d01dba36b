"""Client of control messages."""

import asyncio
import collections
import contextlib
import typing
from collections import abc

import mode
import pynng

from kumquatport import exceptions
from kumquatport.connection.control import (
    const,
    frame,
    messages,
    threads,
    traffic,
)


class _Peer:
    """A socket to one endpoint and the number of its pending requests."""

    def __init__(self, endpoint: str) -> None:
        self.requests = 0
        self.retired = False
        self.socket = pynng.Req0(
            recv_max_size=const.MAX_FRAME_BYTES,
            reconnect_time_min=const.RECONNECT_MIN_MS,
            reconnect_time_max=const.RECONNECT_MAX_MS,
        )
        self.socket.dial(f'tcp://{endpoint}', block=False)


class ControlClient(mode.Service):
    """Sends requests to peers over a bounded pool of sockets by endpoint."""

    def __init__(self, key: bytes, counts: traffic.Traffic) -> None:
        """Create a client without sockets.

        Args:
            key: Key from ``frame.control_key``.
            counts: Counters of the traffic.
        """
        super().__init__()
        self._key = key
        self._counts = counts
        self._peers: collections.OrderedDict[str, _Peer] = (
            collections.OrderedDict()
        )
        self._request_slots = asyncio.Semaphore(const.MAX_REQUESTS)

    @property
    def open_sockets(self) -> int:
        """Number of endpoints with an open socket."""
        return len(self._peers)

    async def on_start(self) -> None:
        """Limit the threads that nng starts."""
        threads.limit_nng_threads()

    async def on_stop(self) -> None:
        """Close all sockets; pending requests fail."""
        while self._peers:
            self._peers.popitem()[1].socket.close()

    async def async_ask(
        self,
        endpoint: str,
        message: frame.Message,
        timeout: float,
    ) -> typing.Any:
        """Send a message and wait for its reply.

        Args:
            endpoint: ``address:port`` of the peer.
            message: Message of a registered type; it may be delivered more than
                once.
            timeout: Maximum wait in seconds.

        Returns:
            The reply; an ``ErrorReply`` is raised as an error instead.

        Raises:
            PeerRefusedError: The peer replied with an error.
            PeerUnavailableError: No valid reply arrived in time.
            FrameTooLongError: The message is too long for a frame.
        """
        encoded = frame.encode(message, self._key)
        try:
            async with asyncio.timeout(timeout):
                answer = await self._async_exchange(endpoint, encoded, message)
        except (TimeoutError, pynng.NNGException) as error:
            self._counts.errors[exceptions.PeerUnavailableError.code] += 1
            raise exceptions.PeerUnavailableError(
                f'{endpoint}: {error!r}',
            ) from error
        return self._decode_reply(endpoint, answer, frame.tag(encoded))

    async def _async_exchange(
        self,
        endpoint: str,
        encoded: bytes,
        message: frame.Message,
    ) -> bytes:
        async with self._request_slots:
            with self._borrow(endpoint) as peer:
                with peer.socket.new_context() as context:
                    self._counts.count_sent(message, len(encoded))
                    await context.asend(encoded)
                    return typing.cast(bytes, await context.arecv())

    def _decode_reply(
        self, endpoint: str, answer: bytes, request_tag: bytes
    ) -> typing.Any:
        try:
            reply = frame.decode(answer, self._key, request_tag)
        except exceptions.FrameError as error:
            self._counts.errors[error.code] += 1
            raise exceptions.PeerUnavailableError(
                f'{endpoint}: {error}',
            ) from error
        self._counts.count_received(reply, len(answer))
        if isinstance(reply, messages.ErrorReply):
            raise exceptions.PeerRefusedError(endpoint, *reply)
        return reply

    @contextlib.contextmanager
    def _borrow(self, endpoint: str) -> abc.Iterator[_Peer]:
        peer = self._get_peer(endpoint)
        peer.requests += 1
        try:
            yield peer
        except BaseException:
            # A socket to an unreachable peer would keep dialling forever.
            self._retire(endpoint, peer)
            raise
        finally:
            self._release(peer)

    def _release(self, peer: _Peer) -> None:
        peer.requests -= 1
        if peer.retired and not peer.requests:
            peer.socket.close()

    def _get_peer(self, endpoint: str) -> _Peer:
        if self.should_stop:
            raise exceptions.PeerUnavailableError(
                f'{endpoint}: client is stopping'
            )
        peer = self._peers.get(endpoint)
        if peer is None:
            peer = _Peer(endpoint)
            self._peers[endpoint] = peer
            self._evict()
        self._peers.move_to_end(endpoint)
        return peer

    def _evict(self) -> None:
        while len(self._peers) > const.MAX_SOCKETS:
            endpoint, oldest = next(iter(self._peers.items()))
            self._retire(endpoint, oldest)
            if not oldest.requests:
                oldest.socket.close()

    def _retire(self, endpoint: str, peer: _Peer) -> None:
        peer.retired = True
        if self._peers.get(endpoint) is peer:
            self._peers.pop(endpoint)
