"""Runs a request handler in this process against one backend server.

The backend server is a separate process or, with simulated time, runs in the
same event loop.
"""

import asyncio
import collections
import contextlib
import pathlib
import statistics
import tempfile
import typing
from collections import abc

from kumquatport.request import handler, messages
from kumquatport.request.limit import gradient, sample
from tests import clocks, processes
from tests.builders import documents, exchanges
from tests.standins import backend_server

READY_TIMEOUT_S = 10.0
IDLE_POLL_S = 0.01
STOP_TIMEOUT_S = 1.0
# The service times of the stand-in follow a log-normal distribution.
MEAN_TO_MEDIAN_RATIO = 1.046
SLOTS = 5

MakeHead = abc.Callable[[int], messages.RequestHead]


class Endpoint(typing.NamedTuple):
    """Address and port at which a backend server listens."""

    address: str
    port: int


class Call(typing.NamedTuple):
    """A request and its response.

    Attributes:
        answer: Recorded response.
        started_at: Start of the request, in seconds on ``clocks.now``.
        duration_s: Seconds until the end of the response.
        refused_after_s: Seconds until it was refused, None if it was not.
    """

    answer: exchanges.RecordedExchange
    started_at: float
    duration_s: float
    refused_after_s: float | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the complete response was successful."""
        return self.answer.status == 200 and self.answer.ended


class ServerProcess(processes.Process):
    """A backend server in a separate process."""

    def __init__(self, endpoint: Endpoint, options: abc.Sequence[str]) -> None:
        """Prepare the process with command line options of the stand-in."""
        self.folder = tempfile.TemporaryDirectory(prefix='kumquatport-harness-')
        self.url = f'http://{endpoint.address}:{endpoint.port}'
        super().__init__(
            'server',
            'tests.standins.backend_server',
            [_listen(endpoint), *options],
            pathlib.Path(self.folder.name) / 'server.log',
        )

    async def async_start(self) -> None:
        self.start()
        await asyncio.to_thread(
            processes.wait_ready,
            self,
            f'{self.url}/control/counts',
            READY_TIMEOUT_S,
        )

    async def async_control(self, command: dict[str, typing.Any]) -> dict:
        return await asyncio.to_thread(
            processes.post_json, f'{self.url}/control', command
        )

    async def async_stop(self) -> None:
        processes.end_all([self], STOP_TIMEOUT_S)


class LocalServer:
    """A backend server in this event loop."""

    def __init__(self, endpoint: Endpoint, options: abc.Sequence[str]) -> None:
        """Prepare the server with command line options of the stand-in."""
        self._options = backend_server.parse_options(
            [_listen(endpoint), *options]
        )
        self._stack = contextlib.AsyncExitStack()
        self._server: backend_server.BackendServer | None = None

    def log_text(self) -> str:
        """Return an empty text: the server logs to the output of this process."""
        return ''

    async def async_start(self) -> None:
        serving = backend_server.async_serve(self._options)
        self._server = await self._stack.enter_async_context(serving)

    async def async_control(self, command: dict[str, typing.Any]) -> dict:
        self._server.control(command)
        return self._server.report()

    async def async_stop(self) -> None:
        await self._stack.aclose()


class HandlerHarness:
    """A request handler, its backend server and the handler's counters."""

    def __init__(self, server: ServerProcess | LocalServer) -> None:
        """Prepare to use a backend server that has not started."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.refused_at: dict[asyncio.Task | None, float] = {}
        self.server = server
        self.handler: handler.RequestHandler

    @property
    def log(self) -> str:
        return self.server.log_text()

    async def async_control(self, **command: typing.Any) -> dict:
        """Send a control command to the backend server; return its counts."""
        return await self.server.async_control(command)

    async def async_report(self) -> dict:
        return await self.async_control()

    async def async_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.handler.requests_in_progress:
            await asyncio.sleep(IDLE_POLL_S)

    async def async_call(
        self,
        head: messages.RequestHead,
        body: abc.Sequence[bytes] = (),
    ) -> Call:
        """Send a request and return after its response has ended."""
        recorded = exchanges.RecordedExchange(body)
        started_at = clocks.now()
        await self.handler.async_handle(head, recorded.exchange)
        duration_s = clocks.now() - started_at
        refused_at = self.refused_at.pop(asyncio.current_task(), None)
        if refused_at is None:
            return Call(recorded, started_at, duration_s)
        return Call(recorded, started_at, duration_s, refused_at - started_at)

    def increment(self, name: str, amount: int) -> None:
        """Increment a counter; record the time of refusals."""
        self.counts[name] += amount
        if name.startswith('refused.'):
            self.refused_at[asyncio.current_task()] = clocks.now()

    async def async_open_loop(
        self,
        rate: float,
        duration_s: float,
        make_head: MakeHead,
    ) -> list[Call]:
        """Send requests at a fixed rate without waiting for responses."""
        started_at = clocks.now()
        tasks = []
        for number in range(int(rate * duration_s)):
            due_s = started_at + number / rate - clocks.now()
            if due_s > 0:
                await asyncio.sleep(due_s)
            call = self.async_call(make_head(number))
            tasks.append(asyncio.create_task(call))
        return await asyncio.gather(*tasks)


@contextlib.asynccontextmanager
async def async_harness(
    endpoint: Endpoint,
    options: abc.Sequence[str] = (),
    step: sample.Step = gradient.step,
    **service: typing.Any,
) -> abc.AsyncIterator[HandlerHarness]:
    """Run a handler and its backend server.

    Args:
        endpoint: Where the backend server listens.
        options: Command line options of the backend server.
        step: Step function of the concurrency limit.
        service: Fields of the service that replace the defaults.
    """
    if isinstance(asyncio.get_running_loop(), clocks.SimulatedLoop):
        harness = HandlerHarness(LocalServer(endpoint, options))
    else:
        harness = HandlerHarness(ServerProcess(endpoint, options))
    harness.handler = handler.RequestHandler(
        endpoint,
        messages.Metrics(harness.increment, _discard, _discard),
        clocks.now,
        step=step,
    )
    entry = documents.service('storefront', '127.0.0.1:4433', 1, **service)
    try:
        await harness.server.async_start()
        harness.handler.configure(entry)
        async with harness.handler:
            yield harness
    finally:
        await harness.server.async_stop()


def _listen(endpoint: Endpoint) -> str:
    return f'--listen={endpoint.address}:{endpoint.port}'


def capacity(median_s: float) -> float:
    """Return the throughput of a warm backend server, requests/s.

    Args:
        median_s: Median service time.
    """
    return SLOTS / (median_s * MEAN_TO_MEDIAN_RATIO)


def goodput(calls: abc.Sequence[Call], since: float, until: float) -> float:
    """Return the rate of successful responses in an interval, 1/s.

    Args:
        calls: Calls with their start and duration.
        since: Start of the interval, in seconds on ``clocks.now``.
        until: End of the interval, exclusive.
    """
    ends = [
        call.started_at + call.duration_s for call in calls if call.succeeded
    ]
    return sum(since <= end < until for end in ends) / (until - since)


def p99_s(calls: abc.Sequence[Call]) -> float:
    """Return the 99th percentile duration of the successful calls, s."""
    durations_s = [call.duration_s for call in calls if call.succeeded]
    return statistics.quantiles(durations_s, n=100)[-1]


def _discard(*ignored: object) -> None:
    """Discard a gauge or duration."""
