"""Given steps: a request handler beside a real backend server."""

import asyncio
import os
import typing
from collections import abc

import behave
from behave import runner

from tests import beside, network
from tests.builders import exchanges

PORT = 8000
NET = 252
NETS = 50
HOSTS = 5
LEARN_RATE = 1.0
LEARN_S = 20.0
POLL_S = 0.02


class Standing:
    """Backend servers and handlers of a scenario; ended with its stack."""

    def __init__(self, context: runner.Context) -> None:
        self._context = context
        self.sides: list[beside.HandlerHarness] = []
        context.deployments.append(self)

    def enter(self, **options: typing.Any) -> beside.HandlerHarness:
        """Start a backend server and a handler; they end with the rest."""
        endpoint = beside.Endpoint(self._address(), PORT)
        made = beside.async_harness(endpoint, **options)
        stack = self._context.stack
        side = self._context.run(stack.enter_async_context(made))
        self.sides.append(side)
        return side

    def stop(self, *, second_signal: bool) -> None:
        """Nothing is left to stop once the context's stack is closed."""

    def check_logs(self) -> None:
        for side in self.sides:
            assert 'Traceback' not in side.log, side.log

    def remove(self) -> None:
        """Nothing is left: folders end with what they belong to."""

    def _address(self) -> str:
        block = os.environ.get(network.BLOCK_VARIABLE, network.DEFAULT_BLOCK)
        host = os.getpid() % NETS * HOSTS + len(self.sides) + 1
        return f'{block}.{NET}.{host}'


@behave.given(
    'a {state} backend server of {median:d} ms a request'
    ' beside a request handler'
)
def step_beside(context: runner.Context, state: str, median: int) -> None:
    _begin(context, state, median)


@behave.given(
    'a {state} backend server of {median:d} ms a request and seed {seed:d}'
    ' beside a request handler'
)
def step_seeded(
    context: runner.Context, state: str, median: int, seed: int
) -> None:
    _begin(context, state, median, [f'--seed={seed}'])


def _begin(
    context: runner.Context,
    state: str,
    median: int,
    options: abc.Sequence[str] = (),
) -> None:
    context.standing = Standing(context)
    context.median_s = median / 1000
    context.capacity = beside.capacity(context.median_s)
    chosen = [f'--service-s={context.median_s}', *options]
    if state == 'cold':
        chosen.append('--cold')
    context.side = context.standing.enter(options=chosen)


@behave.given('the request handler has learnt its latency')
def step_learnt(context: runner.Context) -> None:
    context.run(async_learn(context.side, context.capacity * LEARN_RATE))


async def async_learn(side: beside.HandlerHarness, rate: float) -> None:
    """Make requests until the limit knows the normal latency."""
    load = asyncio.create_task(
        side.async_open_loop(rate, LEARN_S, lambda number: exchanges.head())
    )
    while not load.done():
        await asyncio.sleep(POLL_S)
        if side.handler.current_limit.state.baseline_confirmed:
            load.cancel()
            break
    await asyncio.gather(load, return_exceptions=True)
    assert side.handler.current_limit.state.baseline_confirmed
    await side.async_idle()
