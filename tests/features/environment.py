"""What holds for every scenario: a running loop, deployments that end."""

import asyncio
import logging
import threading
import typing
from collections import abc

from behave import model, runner

RUN_TIMEOUT_S = 300.0
LOOP_JOIN_S = 5.0


def before_all(context: runner.Context) -> None:
    """Keep the caller's library quiet."""
    logging.getLogger('quic').setLevel(logging.WARNING)


def before_scenario(context: runner.Context, scenario: model.Scenario) -> None:
    """Start an event loop that runs between steps too.

    ``context.run(coroutine)`` runs a coroutine in it and returns its result.
    ``context.deployments`` is ended, and its logs checked, after the scenario.
    """
    context.deployments = []
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
    """End the deployments by pid and check what they logged."""
    for deployment in context.deployments:
        deployment.stop(hurry=True)
    context.run(_async_cancel_all())
    context.loop.call_soon_threadsafe(context.loop.stop)
    context.loop_thread.join(LOOP_JOIN_S)
    context.loop.close()
    for deployment in context.deployments:
        deployment.check_logs()
        if scenario.status == model.Status.passed:
            deployment.remove()


async def _async_cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
