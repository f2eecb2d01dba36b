"""A request handler in this process beside a backend server.

The backend server is a process of its own, or, where time is simulated, in
the same event loop.
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
# The stand-in's times are log-normal; this is their mean over their median.
MEAN_TO_MEDIAN_RATIO = 1.046
SLOTS = 5

MakeHead = abc.Callable[[int], messages.RequestHead]


class Endpoint(typing.NamedTuple):
    """Where a backend server listens."""

    address: str
    port: int


class Call(typing.NamedTuple):
    """One request and what its caller got.

    Attributes:
        answer: The answer.
        began_at: When it was made, on the event loop's clock.
        took_s: Until its answer had ended.
        decided_s: Until it was refused, None if it wasn't.
    """

    answer: exchanges.RecordedExchange
    started_at: float
    duration_s: float
    refused_after_s: float | None = None

    @property
    def succeeded(self) -> bool:
        """Whether it was answered whole."""
        return self.answer.status == 200 and self.answer.ended


class ServerProcess(processes.Process):
    """A backend server as a process of its own."""

    def __init__(self, endpoint: Endpoint, options: abc.Sequence[str]) -> None:
        """Prepare the process; ``options`` are the stand-in's."""
        self.folder = tempfile.TemporaryDirectory(prefix='kumquatport-beside-')
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

    async def async_control(self, order: dict[str, typing.Any]) -> dict:
        return await asyncio.to_thread(
            processes.post_json, f'{self.url}/control', order
        )

    async def async_stop(self) -> None:
        processes.end_all([self], STOP_TIMEOUT_S)


class LocalServer:
    """A backend server in this event loop."""

    def __init__(self, endpoint: Endpoint, options: abc.Sequence[str]) -> None:
        """Prepare it; ``options`` are the stand-in's."""
        self._options = backend_server.parse_options(
            [_listen(endpoint), *options]
        )
        self._stack = contextlib.AsyncExitStack()
        self._server: backend_server.BackendServer | None = None

    def log_text(self) -> str:
        """Return nothing: what it logs goes where this process logs."""
        return ''

    async def async_start(self) -> None:
        serving = backend_server.async_serve(self._options)
        self._server = await self._stack.enter_async_context(serving)

    async def async_control(self, order: dict[str, typing.Any]) -> dict:
        self._server.control(order)
        return self._server.report()

    async def async_stop(self) -> None:
        await self._stack.aclose()


class HandlerHarness:
    """The handler, its backend server and what they counted."""

    def __init__(self, server: ServerProcess | LocalServer) -> None:
        """Use a backend server that has not started."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.refused_at: dict[asyncio.Task | None, float] = {}
        self.server = server
        self.handler: handler.RequestHandler

    @property
    def log(self) -> str:
        return self.server.log_text()

    async def async_control(self, **order: typing.Any) -> dict:
        """Give the backend server an order; return its counts."""
        return await self.server.async_control(order)

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
        """Make one request and return once it is over."""
        recorded = exchanges.RecordedExchange(body)
        began_at = clocks.now()
        await self.handler.async_handle(head, recorded.exchange)
        took_s = clocks.now() - began_at
        decided_at = self.refused_at.pop(asyncio.current_task(), None)
        if decided_at is None:
            return Call(recorded, began_at, took_s)
        return Call(recorded, began_at, took_s, decided_at - began_at)

    def increment(self, name: str, amount: int) -> None:
        """Count; a refusal is decided when it is counted."""
        self.counts[name] += amount
        if name.startswith('refused.'):
            self.refused_at[asyncio.current_task()] = clocks.now()

    async def async_open_loop(
        self,
        rate: float,
        duration_s: float,
        make: MakeHead,
    ) -> list[Call]:
        """Make requests at a steady rate, whatever becomes of them."""
        began_at = clocks.now()
        tasks = []
        for number in range(int(rate * duration_s)):
            due_s = began_at + number / rate - clocks.now()
            if due_s > 0:
                await asyncio.sleep(due_s)
            call = self.async_call(make(number))
            tasks.append(asyncio.create_task(call))
        return await asyncio.gather(*tasks)


@contextlib.asynccontextmanager
async def async_harness(
    endpoint: Endpoint,
    options: abc.Sequence[str] = (),
    step: sample.Step = gradient.step,
    **service: typing.Any,
) -> abc.AsyncIterator[HandlerHarness]:
    """Run both; ``service`` are changes to the document's service."""
    if isinstance(asyncio.get_running_loop(), clocks.SimulatedLoop):
        beside = HandlerHarness(LocalServer(endpoint, options))
    else:
        beside = HandlerHarness(ServerProcess(endpoint, options))
    beside.handler = handler.RequestHandler(
        endpoint,
        messages.Metrics(beside.increment, _discard, _discard),
        clocks.now,
        step=step,
    )
    entry = documents.service('storefront', '127.0.0.1:4433', 1, **service)
    try:
        await beside.server.async_start()
        beside.handler.configure(entry)
        async with beside.handler:
            yield beside
    finally:
        await beside.server.async_stop()


def _listen(endpoint: Endpoint) -> str:
    return f'--listen={endpoint.address}:{endpoint.port}'


def capacity(median_s: float) -> float:
    """Return the requests a second that a warm backend server serves."""
    return SLOTS / (median_s * MEAN_TO_MEDIAN_RATIO)


def goodput(calls: abc.Sequence[Call], since: float, until: float) -> float:
    """Return whole answers a second that ended in a span of time."""
    ended = [
        call.started_at + call.duration_s for call in calls if call.succeeded
    ]
    return sum(since <= moment < until for moment in ended) / (until - since)


def p99_s(calls: abc.Sequence[Call]) -> float:
    """Return the 99th percentile of the time of good answers."""
    taken = [call.duration_s for call in calls if call.succeeded]
    return statistics.quantiles(taken, n=100)[-1]


def _discard(*ignored: object) -> None:
    """Drop a gauge or duration."""
