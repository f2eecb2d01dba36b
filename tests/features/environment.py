"""Hooks of behave: an event loop for each scenario, cleanup of deployments."""

import asyncio
import contextlib
import logging
import threading
import typing
from collections import abc

from behave import model, runner

from tests import clocks

RUN_TIMEOUT_S = 300.0
LOOP_JOIN_S = 5.0
TAG_SIMULATED = 'simulated-time'


def before_all(context: runner.Context) -> None:
    """Log only warnings and errors of the QUIC library of the callers."""
    logging.getLogger('quic').setLevel(logging.WARNING)


def before_feature(context: runner.Context, feature: model.Feature) -> None:
    """Prepare ``context.shared``, deployments shared by several scenarios.

    They are stopped after the feature, and after a scenario that failed.
    """
    context.shared = {}


def after_feature(context: runner.Context, feature: model.Feature) -> None:
    """Stop the shared deployments by PID and check their logs."""
    _stop(context.shared.values(), keep=False)
    context.shared.clear()


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Start an event loop that also runs between steps.

    ``context.run(coroutine)`` runs a coroutine in it and returns its result.
    ``context.deployments`` are stopped and their logs checked after the scenario.
    ``context.stack`` is closed in the loop before that. Where the scenario's
    time is simulated, its loop does not run between steps.
    """
    context.deployments = []
    context.stack = contextlib.AsyncExitStack()
    context.loop_thread = None
    if TAG_SIMULATED in scenario.effective_tags:
        context.loop = clocks.SimulatedLoop()
        context.run = context.loop.run_until_complete
        return
    context.loop = asyncio.new_event_loop()
    context.loop_thread = threading.Thread(
        target=context.loop.run_forever, daemon=True
    )
    context.loop_thread.start()

    def _run(coroutine: abc.Coroutine) -> typing.Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, context.loop)
        return future.result(RUN_TIMEOUT_S)

    context.run = _run


def after_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Stop the deployments by PID and check their logs."""
    failed = scenario.status != model.Status.passed
    ending = list(context.deployments)
    if failed:
        ending += context.shared.values()
        context.shared.clear()
    context.run(context.stack.aclose())
    context.run(_async_cancel_all())
    if context.loop_thread is not None:
        context.loop.call_soon_threadsafe(context.loop.stop)
        context.loop_thread.join(LOOP_JOIN_S)
    context.loop.close()
    _stop(ending, keep=failed)
    for deployment in context.shared.values():
        deployment.check_logs()


def _stop(deployments: abc.Iterable[typing.Any], *, keep: bool) -> None:
    ending = list(deployments)
    for deployment in ending:
        deployment.stop(second_signal=True)
    for deployment in ending:
        deployment.check_logs()
        if not keep:
            deployment.remove()


async def _async_cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
