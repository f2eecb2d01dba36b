"""Callers that send feeds, orders and pulls during a test."""

import asyncio
import collections
import itertools
import socket
import time
import typing
from collections import abc

from kumquatport.connection.connection_id import codec
from tests import deployment, workload
from tests.builders import settings
from tests.standins import caller
from tests.standins import caller_errors as errors

FEED_TIMEOUT_S = 12.0
REQUEST_INTERVAL_S = 0.05
# A caller that only receives must send packets to detect a lost flow.
KEEPALIVE_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.2
STOP_TIMEOUT_S = 20.0


class Observation(typing.NamedTuple):
    """A result observed by a caller.

    Attributes:
        observed_at: Monotonic seconds.
        service: Service that was called.
        kind: feed, order, pull or small.
        result: HTTP status, or the error.
        duration_s: Seconds of the request, or since the flow was opened.
        server: Backend server of the flow, if known to the caller.
    """

    observed_at: float
    service: str
    kind: str
    result: str
    duration_s: float
    server: str = ''


class Traffic:
    """Runs callers until it is stopped."""

    def __init__(self, target: deployment.Deployment) -> None:
        self.broken: list[Observation] = []
        self.answered: list[Observation] = []
        self.refused: list[Observation] = []
        self.feeds: dict[int, Observation] = {}
        self._decode = codec.make_decoder(bytes.fromhex(settings.SHARED_KEY))
        self._target = target
        self._tasks: list[asyncio.Task] = []
        self._stopping = False

    async def async_start(
        self, feeds: int, workers: int, services: abc.Sequence[str] = ()
    ) -> None:
        """Open feeds and start workers at each service.

        Args:
            feeds: Feeds for each service, open until the stop.
            workers: Callers for each service that send one request after
                another: orders, small requests and pulls in turn.
            services: Services to call; all by default.
        """
        for service in services or self._target.plan.service_names:
            for _ in range(feeds):
                self._start_task(self._async_feed(service))
            for _ in range(workers):
                self._start_task(self._async_work(service))
        await asyncio.sleep(1)

    async def async_wait_feeds(self, feeds: int) -> None:
        """Wait until the given number of feeds has sent a line."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while len(self.feeds) < feeds:
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def async_stop(self) -> None:
        """Let callers complete their requests, then stop them."""
        self._stopping = True
        await asyncio.wait(self._tasks, timeout=STOP_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()

    def results(self) -> collections.Counter[str]:
        """Count observations by kind and result."""
        observations = (*self.answered, *self.refused, *self.broken)
        return collections.Counter(
            f'{observation.kind} {observation.result}'
            for observation in observations
        )

    def _start_task(self, work: abc.Coroutine) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _async_open(self, service: str) -> caller.Connection:
        while True:
            try:
                return await caller.async_connect(
                    self._target.service_endpoint(service),
                    self._target.ca,
                    service,
                    local=(self._target.caller_address, 0),
                )
            except errors.CallerError as error:
                # Not counted as broken, because no connection was established.
                self.refused.append(_observe(service, 'open', repr(error), 0))
                if self._stopping:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)

    async def _async_feed(self, service: str) -> None:
        connection = await self._async_open(service)
        exchange = connection.start('GET', '/feed', workload.CLIENT_ACCOUNT)
        keepalive = asyncio.create_task(_async_keep_alive(connection))
        started = time.monotonic()
        expected = 0
        try:
            async for line in exchange.async_lines(FEED_TIMEOUT_S):
                server, number = line.split()[:2]
                if int(number) != expected:
                    raise errors.ChecksumError(expected)
                expected += 1
                open_s = time.monotonic() - started
                observation = _observe(service, 'feed', server, open_s)
                self.feeds[id(exchange)] = observation
                if self._stopping:
                    exchange.cancel()
                    break
            else:
                raise errors.ChecksumError(expected)
        except errors.CallerError as error:
            open_s = time.monotonic() - started
            flow_server = self._server_of(connection)
            observation = _observe(
                service, 'feed', repr(error), open_s, flow_server
            )
            self.broken.append(observation)
        finally:
            keepalive.cancel()
            await connection.async_close()

    def _server_of(self, connection: caller.Connection) -> str:
        """Return the backend server of a connection, by its connection ID."""
        decoded = self._decode(connection._quic._peer_cid.cid)
        address = socket.inet_ntoa(decoded.packed_address)
        for name in self._target.agents:
            if self._target.address(name) == address:
                return f'{name}-server'
        return ''

    async def _async_work(self, service: str) -> None:
        connection = await self._async_open(service)
        kinds = ('order', 'small', 'pull')
        turn = 0
        while not self._stopping:
            kind = kinds[turn % len(kinds)]
            turn += 1
            if connection.goaway:
                await connection.async_close()
                connection = await self._async_open(service)
            if not await self._async_request(connection, service, kind):
                await connection.async_close()
                connection = await self._async_open(service)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await connection.async_close()

    async def _async_request(
        self, connection: caller.Connection, service: str, kind: str
    ) -> bool:
        """Send one request; return whether the connection is usable."""
        started = time.monotonic()
        try:
            outcome = await workload.KINDS[kind](connection, service)
        except errors.GoawayError:
            return False
        except errors.CallerError as error:
            seconds = time.monotonic() - started
            server = self._server_of(connection)
            observation = _observe(service, kind, repr(error), seconds, server)
            is_refused = getattr(error, 'rejected', False)
            observations = self.refused if is_refused else self.broken
            observations.append(observation)
            return False
        observations = self.answered if outcome.is_correct else self.refused
        observations.append(
            _observe(service, kind, outcome.result, outcome.duration_s)
        )
        return True


async def _async_keep_alive(connection: caller.Connection) -> None:
    for number in itertools.count():
        await asyncio.sleep(KEEPALIVE_INTERVAL_S)
        connection._quic.send_ping(number)
        connection.transmit()


def _observe(
    service: str, kind: str, result: str, seconds: float, server: str = ''
) -> Observation:
    return Observation(time.monotonic(), service, kind, result, seconds, server)
