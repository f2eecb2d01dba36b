"""Steps that start a request handler in front of a backend server."""

import asyncio
import os
import typing
from collections import abc

import behave
from behave import runner

from tests import handler_harness, network
from tests.builders import exchanges

PORT = 8000
SUBNET = 252
PROCESS_SLOTS = 50
HOSTS_PER_PROCESS = 5
BASELINE_LOAD_FACTOR = 1.0
BASELINE_TIMEOUT_S = 20.0
POLL_S = 0.02


class HarnessGroup:
    """Harnesses of a scenario, stopped when its exit stack is closed."""

    def __init__(self, context: runner.Context) -> None:
        self._context = context
        self.harnesses: list[handler_harness.HandlerHarness] = []
        context.deployments.append(self)

    def start(self, **options: typing.Any) -> handler_harness.HandlerHarness:
        """Start a backend server and a handler in the loop of the scenario."""
        endpoint = handler_harness.Endpoint(self._address(), PORT)
        entering = handler_harness.async_harness(endpoint, **options)
        stack = self._context.stack
        harness = self._context.run(stack.enter_async_context(entering))
        self.harnesses.append(harness)
        return harness

    def stop(self, *, second_signal: bool) -> None:
        """Do nothing: closing the exit stack has stopped the harnesses."""

    def check_logs(self) -> None:
        for harness in self.harnesses:
            assert 'Traceback' not in harness.log, harness.log

    def remove(self) -> None:
        """Do nothing: the temporary folders delete themselves."""

    def _address(self) -> str:
        block = os.environ.get(network.BLOCK_VARIABLE, network.DEFAULT_BLOCK)
        host = (
            os.getpid() % PROCESS_SLOTS * HOSTS_PER_PROCESS
            + len(self.harnesses)
            + 1
        )
        return f'{block}.{SUBNET}.{host}'


@behave.given(
    'a request handler in front of a {state} backend server'
    ' with {median_ms:d} ms median service time'
)
def step_harness(context: runner.Context, state: str, median_ms: int) -> None:
    _start(context, state, median_ms)


@behave.given(
    'a request handler in front of a {state} backend server'
    ' with {median_ms:d} ms median service time and seed {seed:d}'
)
def step_seeded_harness(
    context: runner.Context, state: str, median_ms: int, seed: int
) -> None:
    _start(context, state, median_ms, [f'--seed={seed}'])


def _start(
    context: runner.Context,
    state: str,
    median_ms: int,
    options: abc.Sequence[str] = (),
) -> None:
    context.harness_group = HarnessGroup(context)
    context.median_s = median_ms / 1000
    context.capacity = handler_harness.capacity(context.median_s)
    server_options = [f'--service-s={context.median_s}', *options]
    if state == 'cold':
        server_options.append('--cold')
    context.harness = context.harness_group.start(options=server_options)


@behave.given('the request handler has measured its baseline latency')
def step_baseline(context: runner.Context) -> None:
    context.run(
        async_confirm_baseline(
            context.harness, context.capacity * BASELINE_LOAD_FACTOR
        )
    )


async def async_confirm_baseline(
    harness: handler_harness.HandlerHarness, rate: float
) -> None:
    """Send requests until the limit has confirmed the baseline latency.

    Args:
        harness: Handler that receives the requests.
        rate: Requests per second.
    """
    load = asyncio.create_task(
        harness.async_open_loop(
            rate, BASELINE_TIMEOUT_S, lambda number: exchanges.head()
        )
    )
    while not load.done():
        await asyncio.sleep(POLL_S)
        if harness.handler.current_limit.state.baseline_confirmed:
            load.cancel()
            break
    await asyncio.gather(load, return_exceptions=True)
    assert harness.handler.current_limit.state.baseline_confirmed
    await harness.async_idle()
